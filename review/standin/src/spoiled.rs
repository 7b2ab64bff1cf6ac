//! A stream is spoiled, and goes on at the engine with its backup while the engine before still works on it.

use crate::Outcome;
use crate::engine::{ANSWERS_BEFORE, Engine, Manner, Work};
use crate::gateway::{Gateway, Options};
use crate::moved::{BOUNDS, CONFIG, OUTPUT, read_stream};
use crate::record::Record;
use crate::store::Store;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// Time for which two engines may work on a request at once (RULES.md).
const PERMITTED: Duration = Duration::from_millis(400);

/// Maximum output of the short streams, in tokens.
const SHORT_OUTPUT: u32 = 12;

/// Time from the start by which the short streams must have come to an end.
const SHORT_TIME: Duration = Duration::from_secs(60);

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let manner = Manner {
        chunked: true,
        spoils_after: trouble.then_some(60),
        loses_answers: trouble,
    };
    let engines = ["i-one", "i-two", "i-three"].map(|id| Engine::start(id, manner, record));
    for engine in &engines {
        store.put(
            "servers",
            &engine.id,
            &engine.entry("menu-writer", engine.address, "ready"),
        );
    }
    store.put("config", "main", CONFIG);
    let link = store.link();
    let gateway = Gateway::start(&Options {
        name: "front-1",
        store: link.address,
        memory_mb: 110,
        bounds: BOUNDS,
        log: std::env::var("GATEWAY_LOG").ok().map(Into::into),
        ports: None,
    });
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.line("the gateway does not become ready");
        return Outcome::NotRun;
    }
    // Short streams first: an engine spoils or loses one answer in fifty at most.
    let count = AtomicU32::new(0);
    let has_few = || {
        let counts = engines
            .iter()
            .map(|engine| engine.answered.load(Ordering::SeqCst));
        counts.min().unwrap_or(0) < ANSWERS_BEFORE
    };
    thread::scope(|scope| {
        for _ in 0..12 {
            scope.spawn(|| {
                while has_few() && record.elapsed() < SHORT_TIME {
                    let id = format!("diet-{:03}", count.fetch_add(1, Ordering::SeqCst));
                    read_stream(gateway.listen, &id, SHORT_OUTPUT, record);
                }
            });
        }
    });
    for engine in &engines {
        let answered = engine.answered.load(Ordering::SeqCst);
        record.line(&format!(
            "engine {} has given {answered} whole answers",
            engine.id
        ));
        engine.work.lock().unwrap().clear();
    }
    if has_few() {
        return Outcome::NotRun;
    }
    let Some(_) = read_stream(gateway.listen, "menu-00", OUTPUT, record) else {
        return Outcome::NotRun;
    };
    thread::sleep(Duration::from_secs(1));
    let mut work: Vec<Work> = Vec::new();
    for engine in &engines {
        work.extend(engine.work.lock().unwrap().clone());
    }
    work.sort_by_key(|work| work.from);
    for work in &work {
        record.line(&format!(
            "engine {} worked on {} from {:.3} s to {:.3} s",
            work.engine,
            work.request,
            work.from.as_secs_f64(),
            work.until.as_secs_f64()
        ));
    }
    let mut pairs = work.windows(2).map(|pair| (&pair[0], &pair[1]));
    let overlap = pairs.any(|(before, next)| {
        let end = before.until.min(next.until);
        before.engine != next.engine && end.saturating_sub(next.from) > PERMITTED
    });
    match work.len() {
        0 => Outcome::NotRun,
        _ if overlap => Outcome::Broken,
        _ => Outcome::Held,
    }
}
