//! Entries of other writers that cannot be read, in the VM list and in the store.

use almondcroft_proto::object::{STATUS_PREFIX, VmStatus};
use almondcroft_standin::demo::LocalDeployment;
use almondcroftd::http::Outbound;
use almondcroftd::{HttpStore, block_on, sleep};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use trillium::Method;

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Returns the VMs that an entry VM knows.
async fn known_vms(url: &str) -> Vec<String> {
    let (outbound, time) = (Outbound::new(), Duration::from_secs(2));
    let url = format!("{url}/status");
    let call = outbound.call(Method::Get, &url, &[], Vec::new(), time);
    let bytes = Outbound::read_body(call.await.unwrap(), 1 << 20, time).await;
    let status: Value = serde_json::from_slice(&bytes.unwrap()).unwrap();
    let vms = status["vms"].as_array().unwrap().iter();
    vms.map(|vm| vm.as_str().unwrap().to_owned()).collect()
}

/// Waits until an entry VM knows another VM.
async fn wait_known(url: &str, vm: &str, what: &str) {
    for _ in 0..150 {
        if known_vms(url).await.iter().any(|known| known == vm) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{what}: {vm} is not known");
}

fn entry(id: &str, address: &str) -> Value {
    json!({"id": id, "address": address, "zone": "quito-a", "state": "live"})
}

/// Guards against a VM list that is unreadable as a whole because of one entry, and against an address that ends the
/// task that probes the VMs.
#[test]
fn vm_list_with_an_odd_entry_holds_the_others() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let urls = deployment.vm_urls();
        let sound = [entry("entry-0", &urls[0]), entry("entry-1", &urls[1])];
        let odd = |field: &str, text: &str| {
            let mut odd = entry("entry-5", "http://127.0.0.1:1");
            odd[field] = json!("@");
            odd.to_string().replace("\"@\"", text)
        };
        let deep = nested(100_000);
        for (number, text) in [
            deep.clone(),
            odd("note", &deep),
            odd("address", &deep),
            odd("address", "\"nowhere\""),
            odd("address", "\"http://127.0.0.1:65536\""),
            odd("state", "\"asleep\""),
            odd("zone", "1e400"),
            odd("id", "7"),
            "{\"id\":\"entry-1\"}".to_owned(),
            format!("\"{}\"", "x".repeat(500_000)),
        ]
        .iter()
        .enumerate()
        {
            let added = format!("added-{number}");
            let list = format!(
                "[{text},{},{text},{},{}]",
                sound[0],
                sound[1],
                entry(&added, &urls[1])
            );
            deployment.vm_list_state.set_text(list);
            wait_known(&urls[0], &added, &text[..60.min(text.len())]).await;
        }
    });
}

/// Guards against a command that ends because of one odd object.
#[test]
fn status_with_odd_objects_shows_the_others() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let store = HttpStore::new(&deployment.store.url(), Outbound::new());
        write_odd_statuses(&store).await;
        let status = almondctl::status(&store).await;
        let running = status.vms.iter().filter(|row| row.in_flight.is_some());
        assert_eq!(running.count(), 2, "{status:?}");
        assert!(status.is_converged());
    });
}

/// Guards against the revision of an odd object, after which no VM applies a configuration.
#[test]
fn apply_with_odd_objects() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let store = HttpStore::new(&deployment.store.url(), Outbound::new());
        write_odd_statuses(&store).await;
        for turn in 0..2 {
            let sheet = deployment.sheet().replace("2.5", &format!("3.{turn}"));
            let revision = deployment.apply(&sheet).await.unwrap();
            assert!(revision < 10, "{revision}");
        }
    });
}

/// Guards against a load report that ends the task that reads the reports of all engines.
#[test]
fn odd_load_reports_end_no_polls() {
    let max = format!(
        "{{\"age_ms\":{0},\"running\":{1},\"waiting\":{1},\"kv_used\":{0},\"kv_total\":{0},\"preemptions\":{0}}}",
        u64::MAX,
        u32::MAX
    );
    let huge = max.replace(&u64::MAX.to_string(), "1e400");
    let recent = max.replacen(&u64::MAX.to_string(), "0", 1);
    let empty = recent.replace(&u64::MAX.to_string(), "0");
    let reports = [
        recent,
        max,
        huge,
        empty,
        nested(30_000),
        "\"".into(),
        String::new(),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let polls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&polls);
    let count = reports.len();
    thread::spawn(move || {
        for (mut socket, report) in listener.incoming().flatten().zip(reports.iter().cycle()) {
            let _ = socket.read(&mut [0; 4_096]);
            counted.fetch_add(1, Ordering::Relaxed);
            let length = report.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
            let _ = socket.write_all((head + report.as_str()).as_bytes());
        }
    });
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let mut sheet = deployment.sheet();
        for number in ["0", "1"] {
            let row = [
                "target,odd-",
                number,
                ",,menus,,,",
                &url,
                ",quito,quito-a,,,,,,\n",
            ];
            sheet += &row.concat();
        }
        deployment.apply(&sheet).await.unwrap();
        for _ in 0..500 {
            if polls.load(Ordering::Relaxed) > count * 3 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the polls end after {}", polls.load(Ordering::Relaxed));
    });
}

async fn write_odd_statuses(store: &HttpStore) {
    let status = |address: &str, revision: u64| VmStatus {
        vm: "odd".into(),
        incarnation: u64::MAX,
        address: address.into(),
        revision,
        at_ms: u64::MAX,
    };
    let encode = |status: &VmStatus| serde_json::to_vec(status).unwrap();
    for (number, bytes) in [
        encode(&status("nowhere", 1)),
        encode(&status("http://127.0.0.1:65536", 1)),
        encode(&status("http://127.0.0.1:0", u64::MAX)),
        encode(&status("http://127.0.0.1:0", u64::MAX - 1)),
        nested(100_000).into_bytes(),
        b"{\"vm\":\"odd\",\"revision\":1e400}".to_vec(),
        b"\xff\xfe".to_vec(),
        Vec::new(),
    ]
    .into_iter()
    .enumerate()
    {
        let key = format!("{STATUS_PREFIX}odd-{number}");
        store.put_unconditional(&key, bytes).await.unwrap();
    }
}
