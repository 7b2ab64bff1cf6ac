//! Seals a resume handle for a position in a generation, and opens it as another VM would.

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
    let event_id = handle.seal(&key);
    println!("event id: {event_id}");
    println!(
        "its owner: {:?}",
        ResumeHandle::open(&event_id, &key, "san-blas")
    );
    println!(
        "another customer: {:?}",
        ResumeHandle::open(&event_id, &key, "cuenca")
    );
}
