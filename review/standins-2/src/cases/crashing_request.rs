//! A request crashes each runner that runs it, some time after it began, and comes again.

use super::{Place, pause};
use crate::engine::{Engine, Pace, Pool};
use crate::http::{ID, call};
use crate::record::Record;
use crate::site::{self, KEY, Vm, ZONES};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Time from the first event of the request until its runner crashes.
const CRASH_AFTER: Duration = Duration::from_millis(1_300);

/// "The runner is back after some seconds."
const DOWN: Duration = Duration::from_secs(3);

/// Time for which the request comes again.
const PLAY: Duration = Duration::from_secs(40);

/// Retries that may reach runners later than the contact time after the third crash.
const PERMITTED: usize = 3;

const PACE: Pace = Pace {
    first: Duration::from_millis(60),
    event: Duration::from_millis(28),
    events: 160,
};

fn request(id: &str, body: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n{ID}: {id}\r\n\
         X-Almondcroft-Model: m\r\nX-Almondcroft-Token-Counts: 1460,640\r\n\
         X-Almondcroft-Length-Hint: 640\r\n\
         X-Almondcroft-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\n\
         X-Almondcroft-Deadline-Ms: 39000\r\nX-Almondcroft-Credential: {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn send(address: SocketAddr, name: &str, id: &str, body: &str, record: &Record) -> bool {
    record.line(format!("{id} ({body}) is sent to {name}"));
    let patience = Duration::from_secs(12);
    let answer = call(address, &request(id, body), patience, |_| {});
    record.line(format!(
        "{id} ({body}) is answered {}, complete: {}{}",
        answer.status,
        answer.complete,
        answer
            .header("Retry-After")
            .map_or(String::new(), |time| format!(", come back after {time} s"))
    ));
    answer.complete && answer.status == 200
}

pub fn play(record: &Record, place: &Place, trouble: bool) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("config", "main", &site::config(7));
    let pool = Arc::new(Pool::default());
    let engines: Vec<Arc<Engine>> = (0..9)
        .map(|number| {
            let (id, zone) = (format!("i-engine-{number}"), ZONES[number / 3].0);
            Engine::start(&id, zone, true, PACE, &pool, record)
        })
        .collect();
    let crash_after = std::env::var("CRASH_AFTER_MS").ok();
    let crash_after = crash_after.and_then(|text| text.parse().ok());
    let crash_after = crash_after.map_or(CRASH_AFTER, Duration::from_millis);
    let put = |engine: &Engine, starts| {
        let slots = (24, "ready");
        let entry = site::entry_of("menu-writer", engine.address, engine.zone, slots, starts);
        store.put("servers", &engine.id, &entry);
    };
    for engine in &engines {
        put(engine, 0);
        if trouble {
            engine.set_crash_after(crash_after);
        }
    }
    let mut vms = place.start_vms(&site::VILLACRES, 3, &store)?;
    let end = record.now() + PLAY;
    let is_over = AtomicBool::new(false);
    let (sound, sound_whole) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        // The platform starts runners that crashed again.
        for engine in &engines {
            let (is_over, put) = (&is_over, &put);
            scope.spawn(move || {
                let mut starts = 0;
                while !is_over.load(Ordering::SeqCst) {
                    if engine.is_down() {
                        thread::sleep(DOWN);
                        engine.come_back();
                        starts += 1;
                        put(engine, starts);
                    }
                    pause(10);
                }
            });
        }
        // Other callers.
        for (number, vm) in vms.iter().enumerate() {
            let (is_over, sound, sound_whole) = (&is_over, &sound, &sound_whole);
            let (address, name) = (vm.listen, vm.name.as_str());
            for client in 0..2 {
                scope.spawn(move || {
                    let mut count = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        let id = format!(
                            "{:016x}",
                            0xd0_0000 + number * 0x2000 + client * 0x1000 + count
                        );
                        count += 1;
                        let whole = send(address, name, &id, "sound", record);
                        sound.fetch_add(1, Ordering::SeqCst);
                        sound_whole.fetch_add(usize::from(whole), Ordering::SeqCst);
                        pause(200);
                    }
                });
            }
        }
        pause(1_000);
        let mut count = 0;
        while record.now() < end {
            let vm = &vms[count % vms.len()];
            let id = format!("{:016x}", 0xe000 + count);
            count += 1;
            send(vm.listen, &vm.name, &id, "crash", record);
            pause(400);
        }
        is_over.store(true, Ordering::SeqCst);
    });
    if vms.iter_mut().any(Vm::has_ended) {
        return Err("a process has ended".into());
    }
    let mut crashes: Vec<Duration> = Vec::new();
    for engine in &engines {
        crashes.extend(engine.crashed_at.lock().unwrap().iter());
    }
    crashes.sort_unstable();
    let contact = site::VILLACRES.contact;
    let works = pool.works.lock().unwrap().clone();
    let bad = works.iter().filter(|work| is_bad(&work.request));
    let late = crashes.get(2).map_or(0, |third| {
        bad.clone()
            .filter(|work| work.from > *third + contact)
            .count()
    });
    record.line(format!(
        "the request reached runners {} times and crashed {}; {late} times later than {contact:?} after the third \
         crash; {} of {} requests of other callers were whole",
        bad.count(),
        crashes.len(),
        sound_whole.load(Ordering::SeqCst),
        sound.load(Ordering::SeqCst)
    ));
    let broken = trouble && late > PERMITTED;
    record.line(if broken {
        "BUDGET is broken"
    } else {
        "BUDGET holds"
    });
    Ok(broken)
}

/// Returns whether a request is one of those that come again.
fn is_bad(id: &str) -> bool {
    id.starts_with("000000000000e")
}
