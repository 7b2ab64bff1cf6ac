//! A stream without a length whose move is cut off: its engine stops it, and it looks complete.

use crate::Outcome;
use crate::engine::{Engine, Manner, PIECES};
use crate::gateway::{Gateway, Options};
use crate::http::{Peer, encode};
use crate::link;
use crate::record::Record;
use crate::store::Store;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const STREAMS: usize = 20;

/// The machines: one of them is `share` 0.1.
const MACHINES: usize = 10;

/// Time from the start of the machines to that of the traffic.
const LEAD: Duration = Duration::from_secs(16);

/// The engines at the start: two of them are replaced, a share of 0.4.
const ENGINES: usize = 5;

/// Maximum output of a long stream, in tokens.
pub const OUTPUT: u32 = 2_400;

pub const BOUNDS: &str = "{\"revoke_ms\":5000,\"drain_ms\":2500,\"grace_s\":8,\"retry_ratio\":0.2,\
    \"retry_slack\":52,\"retry_window_s\":10}";

pub const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"menus\",\"hostname\":\"menus.example\",\
    \"path_prefix\":\"/menus/\",\"kind\":\"stream\",\"timeout_ms\":39000,\"target_latency_ms\":1800,\
    \"priority\":1,\"service\":\"menu-writer\",\"attempts\":1,\"public\":false,\"sticky\":true,\
    \"resumable\":false,\"gap_aim_ms\":180}],\"services\":[{\"name\":\"menu-writer\",\
    \"health_path\":\"/health\",\"max_connections\":272,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":24,\"kv_capacity_tokens\":34277,\"kv_token_bytes\":131072,\
    \"link_mbps\":19000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\
    \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"club\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

/// Time from the first last copy to the moment at which half of the last copies that are under way lose their
/// connections; each takes 80 ms.
const RESET_AFTER: Duration = Duration::from_millis(15);

fn is_last_copy(first: &str) -> bool {
    first.starts_with("POST /api/kv-move") && first.contains("\"last\":true")
}

/// What a client got of its stream.
pub struct Got {
    pub pieces: Vec<u64>,
    /// Whether the answer ended as complete.
    pub complete: bool,
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"];
    let engines = names.map(|id| Engine::start(id, Manner::default(), record));
    let reset = trouble.then(|| Arc::new(link::Reset::new(is_last_copy, RESET_AFTER)));
    let ways: Vec<SocketAddr> = engines
        .iter()
        .map(|engine| link::start(engine.address, reset.clone(), record))
        .collect();
    let write = |index: usize, state: &str| {
        let engine = &engines[index];
        store.put(
            "servers",
            &engine.id,
            &engine.entry("menu-writer", ways[index], state),
        );
        record.line(&format!("engine {} is {state}", engine.id));
    };
    (0..ENGINES).for_each(|index| write(index, "ready"));
    store.put("config", "main", CONFIG);
    let links: Vec<_> = (0..MACHINES).map(|_| store.link()).collect();
    let gateways: Vec<Gateway> = (0..MACHINES)
        .map(|index| {
            Gateway::start(&Options {
                name: &format!("front-{}", index + 1),
                store: links[index].address,
                memory_mb: 110,
                bounds: BOUNDS,
                log: std::env::var("GATEWAY_LOG")
                    .ok()
                    .map(|log| format!("{log}-{index}").into()),
                ports: None,
            })
        })
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(10)))
    {
        record.line("the gateways do not become ready");
        return Outcome::NotRun;
    }
    // A fleet of this size shares out its budget of repeats within 14 s of its start.
    thread::sleep(LEAD);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (listen, record) = (gateways[0].listen, Arc::clone(record));
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                read_stream(listen, &format!("menu-{number:02}"), OUTPUT, &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    // Which engines are replaced is the platform's choice: here the two that share most backups.
    let shared = |first: usize, second: usize| {
        let backups = engines[second].backups.lock().unwrap();
        let holder = ways[first].to_string();
        backups.values().filter(|backup| **backup == holder).count()
    };
    let pairs = (0..ENGINES).flat_map(|first| (0..ENGINES).map(move |second| (first, second)));
    let pairs = pairs.filter(|(first, second)| first != second);
    let Some((first, second)) = pairs.max_by_key(|(first, second)| shared(*first, *second)) else {
        return Outcome::NotRun;
    };
    record.line(&format!(
        "{} and {} are replaced; {} streams at the second have their backup at the first",
        engines[first].id,
        engines[second].id,
        shared(first, second)
    ));
    // `release`: one at a time, the new engine starts first, then the old one drains.
    for (old, new) in [(first, ENGINES), (second, ENGINES + 1)] {
        write(new, "ready");
        thread::sleep(Duration::from_millis(500));
        write(old, "draining");
        thread::sleep(Duration::from_millis(500));
    }
    let (mut whole, mut cut, mut false_ends) = (0, 0, 0);
    for client in clients {
        let Ok(Some(got)) = client.join() else {
            return Outcome::NotRun;
        };
        let expected: Vec<u64> = (1..=PIECES).collect();
        if got.pieces == expected && got.complete {
            whole += 1;
        } else if got.complete || expected[..got.pieces.len().min(300)] != got.pieces[..] {
            false_ends += 1;
        } else {
            cut += 1;
        }
    }
    record.line(&format!(
        "{STREAMS} streams: {whole} whole, {cut} broken off, {false_ends} ended as complete without their last pieces"
    ));
    if false_ends > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

pub fn read_stream(listen: SocketAddr, id: &str, output: u32, record: &Record) -> Option<Got> {
    let socket = TcpStream::connect(listen).ok()?;
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    let mut peer = Peer::new(socket);
    let counts = format!("1460,{output}");
    let headers = [
        ("Host", "menus.example"),
        ("X-Almondcroft-Request-Id", id),
        ("X-Almondcroft-Model", "m"),
        ("X-Almondcroft-Token-Counts", counts.as_str()),
        ("X-Almondcroft-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
        ("X-Almondcroft-Deadline-Ms", "39000"),
        ("X-Almondcroft-Credential", "key-1"),
    ];
    record.line(&format!("client sends {id}"));
    peer.send(&encode("POST /menus/week HTTP/1.1", &headers, b""))
        .ok()?;
    let head = peer.head().ok()??;
    let mut got = Got {
        pieces: Vec::new(),
        complete: false,
    };
    if head.status() != 200 || head.header("transfer-encoding") != Some("chunked") {
        record.line(&format!("client got {} for {id}", head.line));
        return None;
    }
    let mut text = String::new();
    loop {
        match peer.chunk() {
            Ok(bytes) if bytes.is_empty() => {
                got.complete = true;
                break;
            }
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_) => break,
        }
    }
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    got.pieces = numbers.filter_map(|number| number.parse().ok()).collect();
    record.line(&format!(
        "client got {} pieces of {id}, the last is {:?}; the answer {}",
        got.pieces.len(),
        got.pieces.last(),
        if got.complete {
            "ends as complete"
        } else {
            "is broken off"
        }
    ));
    Some(got)
}
