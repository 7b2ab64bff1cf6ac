//! Streams without a length that reach the time-out of their route: they look complete.

use crate::Outcome;
use crate::engine::{Engine, Manner, PIECES};
use crate::gateway::{Gateway, Options};
use crate::moved::{BOUNDS, CONFIG, read_stream};
use crate::record::Record;
use crate::store::Store;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const STREAMS: usize = 10;

/// Time between the starts of two streams.
const START_GAP: Duration = Duration::from_millis(137);

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let engines = ["i-one", "i-two"].map(|id| Engine::start(id, Manner::default(), record));
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("menu-writer", engine.address, "ready"));
    }
    store.put("config", "main", CONFIG);
    let link = store.link();
    let gateway = Gateway::start(&Options {
        name: "front-1",
        store: link.address,
        memory_mb: 110,
        bounds: BOUNDS,
        log: std::env::var("GATEWAY_LOG").ok().map(Into::into),
    });
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.line("the gateway does not become ready");
        return Outcome::NotRun;
    }
    if trouble {
        let config = CONFIG.replace("\"version\":7", "\"version\":9");
        let config = config.replace("\"timeout_ms\":39000", "\"timeout_ms\":6000");
        store.put("config", "main", &config);
        record.line("operator writes version 9: timeout_ms of the route is 6000 instead of 39000");
        thread::sleep(Duration::from_secs(3));
    }
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (listen, record) = (gateway.listen, Arc::clone(record));
            thread::sleep(START_GAP);
            thread::spawn(move || read_stream(listen, &format!("menu-{number:02}"), &record))
        })
        .collect();
    let (mut whole, mut cut, mut false_ends) = (0, 0, 0);
    for client in clients {
        let Ok(Some(got)) = client.join() else {
            return Outcome::NotRun;
        };
        match (got.complete, got.pieces.len() as u64 == PIECES) {
            (true, true) => whole += 1,
            (true, false) => false_ends += 1,
            (false, _) => cut += 1,
        }
    }
    record.line(&format!(
        "{STREAMS} streams: {whole} whole, {cut} broken off, {false_ends} ended as complete without their last pieces"
    ));
    if false_ends > 0 { Outcome::Broken } else { Outcome::Held }
}
