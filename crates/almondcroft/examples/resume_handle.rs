//! Seals a position in a generation and opens it at another VM.

use almondcroft::core::{HandleKey, ResumeHandle};

fn main() {
    let key = HandleKey::new(b"the same on all VMs");
    let handle = ResumeHandle {
        customer: "san-blas".into(),
        service: "menus".into(),
        target: "planner-01".into(),
        generation: "gen-1".into(),
        offset: 41,
        chat: false,
    };
    let text = handle.seal(&key);
    println!("event id: {text}");
    println!(
        "its owner: {:?}",
        ResumeHandle::open(&text, &key, "san-blas")
    );
    println!(
        "another customer: {:?}",
        ResumeHandle::open(&text, &key, "cuenca")
    );
}
