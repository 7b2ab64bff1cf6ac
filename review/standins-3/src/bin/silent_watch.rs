//! The connections to the store go silent for good, and a runner leaves just after.

use review_standins_3::client::call;
use review_standins_3::gateway::Gateway;
use review_standins_3::pause;
use review_standins_3::proxy::Proxy;
use review_standins_3::record::Record;
use review_standins_3::runner::Runner;
use review_standins_3::store::Store;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CONTACT_S: f64 = 4.0;
const DRAIN_S: f64 = 2.5;
const KEY: &str = "xd9dnn2ctnfzs989anu6";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","hostname":"ficu95.example","path_prefix":"/pule252/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":250,"priority":2,"service":"desk","attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

fn main() -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder for the record"));
    let temporary = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start();
    let [x, y, z] = ["i-x", "i-y", "i-z"].map(|id| Runner::start(id, 120, &record));
    store.put("config", "main", CONFIG);
    for runner in [&x, &y] {
        store.put("servers", &runner.id, &runner.entry("desk", "ready"));
    }
    let proxies = [Proxy::start(store.address), Proxy::start(store.address)];
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|i| {
            Gateway::new(
                &temporary,
                &format!("front-z-a-{}", i + 1),
                proxies[i].address,
                true,
            )
        })
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway did not become ready");
        return ExitCode::from(2);
    }
    let (over, sent) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let failed = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        for client in 0..4 {
            let (over, sent, record, to) = (
                Arc::clone(&over),
                Arc::clone(&sent),
                record.clone(),
                gateway.listen,
            );
            let failed = Arc::clone(&failed);
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("{number}{client}{count:06x}");
                    let at = record.line(&format!("send {id} to front-z-a-{}", number + 1));
                    sent.lock().expect("usable").push((id.clone(), at));
                    let answer = call(to, "POST /pule252/2f HTTP/1.1", &id, 1500, KEY, b"rent");
                    let status =
                        answer.map_or("closed".into(), |answer| answer.status().to_string());
                    record.line(&format!("answer {id} {status}"));
                    if status != "200" {
                        failed.lock().expect("usable").push(id);
                    }
                    pause(60);
                }
            }));
        }
    }
    pause(4_500);
    // A runner is added, as in scale_out; the VMs are told of it, and wait for the next change from now on.
    store.put("servers", &z.id, &z.entry("desk", "ready"));
    record.line("the store has acknowledged the entry of i-z");
    pause(150);
    let silent_at = record.line(if trouble {
        "the open connections to the store go silent for good; new ones work"
    } else {
        "nothing happens to the connections"
    });
    if trouble {
        proxies.iter().for_each(Proxy::silence);
    }
    pause(150);
    // A runner that never reports that it is draining: its entry is removed, and it serves on for a while.
    store.remove("servers", &x.id);
    let removed_at = record.line("the store has acknowledged that i-x is gone; it serves on");
    // It ends 2.5 s after the bound.
    pause(5_000);
    x.end();
    let ended_at = record.line("i-x has ended");
    pause(2_000);
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client ends"));
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.line("a gateway has ended by itself");
        return ExitCode::from(2);
    }
    let sent = sent.lock().expect("usable").clone();
    // Both were sent and run while the machines were in touch, and later than the bound.
    let from = (silent_at + CONTACT_S).max(removed_at + DRAIN_S);
    let runs = x.runs.lock().expect("usable").clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|(id, at)| {
            *at > from
                && sent
                    .iter()
                    .any(|(other, sent_at)| other == id && *sent_at > from)
        })
        .collect();
    let last = runs
        .iter()
        .map(|(_, at)| at - removed_at)
        .fold(0.0, f64::max);
    record.line(&format!(
        "{} of {} requests reached i-x later than {DRAIN_S} s after its leaving was acknowledged, from machines in touch; the last one after {last:.2} s",
        late.len(),
        sent.len()
    ));
    let failed = failed.lock().expect("usable").clone();
    let lost = runs
        .iter()
        .filter(|(id, at)| *at > from && failed.contains(id))
        .count();
    record.line(&format!(
        "{lost} requests that i-x began to run later than the bound had no success; i-x ended {:.2} s after its leaving was acknowledged",
        ended_at - removed_at
    ));
    if trouble
        && !gateways.iter().any(|gateway| {
            gateway.log().contains("store-call-failed") || gateway.log().contains("store-lost")
        })
    {
        return ExitCode::from(2);
    }
    if late.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
