//! A runner leaves; its streams go on at another runner while it works on.

use super::{Place, pause};
use crate::engine::{Engine, Pace, Pool, Work};
use crate::http::{Answer, ID, call};
use crate::record::Record;
use crate::site::{self, KEY, Vm, ZONES};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The rule's time for which two runners may work on a request.
const PERMITTED: Duration = Duration::from_millis(400);

const EVENTS: u64 = 90;

const STREAMS: usize = 12;

fn request(id: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n{ID}: {id}\r\n\
         X-Almondcroft-Model: m\r\nX-Almondcroft-Token-Counts: 1460,720\r\n\
         X-Almondcroft-Length-Hint: 360\r\n\
         X-Almondcroft-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\n\
         X-Almondcroft-Deadline-Ms: 39000\r\nX-Almondcroft-Credential: {KEY}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

fn send(vm: &Vm, id: &str, record: &Record) -> Answer {
    let (address, name): (SocketAddr, &str) = (vm.listen, &vm.name);
    record.line(format!("{id} is sent to {name}"));
    let answer = call(address, &request(id), Duration::from_secs(20), |_| {});
    let pieces = answer.body.split(|byte| *byte == b'\n');
    let pieces = pieces.filter(|line| line.starts_with(b"id: ")).count();
    record.line(format!(
        "{id} is answered {}, {pieces} pieces, complete: {}",
        answer.status, answer.complete
    ));
    answer
}

pub fn play(record: &Record, place: &Place, trouble: bool) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("config", "main", &site::config(7));
    let pool = Arc::new(Pool::default());
    let pace = Pace {
        first: Duration::from_millis(60),
        event: Duration::from_millis(50),
        events: EVENTS,
    };
    // Most runners drop a request when its connection closes; the first one does not.
    let engines: Vec<Arc<Engine>> = (0..9)
        .map(|number| {
            let (id, zone) = (format!("i-engine-{number}"), ZONES[number / 3].0);
            Engine::start(&id, zone, number > 0, pace, &pool, record)
        })
        .collect();
    for engine in &engines {
        let entry = site::entry("menu-writer", engine.address, engine.zone, 24, "ready");
        store.put("servers", &engine.id, &entry);
    }
    let mut vms = place.start_vms(&site::VILLACRES, 3, &store)?;
    let answers: Vec<Answer> = thread::scope(|scope| {
        let mut clients = Vec::new();
        for number in 0..STREAMS {
            let (vm, id) = (&vms[number % 3], format!("{:016x}", 0xa100 + number));
            clients.push(scope.spawn(move || send(vm, &id, record)));
            pause(120);
        }
        pause(900);
        if trouble {
            let leaving = &engines[0];
            let entry = site::entry("menu-writer", leaving.address, leaving.zone, 24, "draining");
            store.put("servers", &leaving.id, &entry);
            record.line(format!("{} reports draining, and serves on", leaving.id));
        }
        let answers = clients.into_iter().map(|client| client.join());
        answers.map(|answer| answer.unwrap_or_default()).collect()
    });
    pause(500);
    if vms.iter_mut().any(Vm::has_ended) {
        return Err("a process has ended".into());
    }
    let works = pool.works.lock().unwrap().clone();
    let ran_there = works.iter().filter(|work| work.runner == engines[0].id);
    record.line(format!(
        "{} of {STREAMS} streams ran at {}",
        ran_there.count(),
        engines[0].id
    ));
    let broken = overlaps(&works, record);
    let whole = answers.iter().filter(|answer| answer.complete).count();
    record.line(format!("{whole} of {STREAMS} streams were whole"));
    if !trouble && whole < answers.len() {
        return Err("a stream was lost without the disruption".into());
    }
    record.line(if broken {
        "TWICE is broken"
    } else {
        "TWICE holds"
    });
    Ok(broken)
}

/// Returns whether a request went on at a runner while the one before worked on it later than is permitted.
fn overlaps(works: &[Work], record: &Record) -> bool {
    let mut broken = false;
    for later in works {
        let before = works.iter().filter(|work| {
            work.request == later.request && work.runner != later.runner && work.from < later.from
        });
        for work in before {
            let overlap = work.until.saturating_sub(later.from);
            record.line(format!(
                "{}: goes on at {} after piece {}; {} works on for {:.3} s",
                later.request,
                later.runner,
                later.after,
                work.runner,
                overlap.as_secs_f64()
            ));
            broken |= overlap > PERMITTED;
        }
    }
    broken
}
