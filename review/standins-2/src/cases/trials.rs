//! A request crashes each runner that runs it as soon as it begins, and comes again at all VMs when they say.

use super::{Place, pause};
use crate::engine::{Engine, Pace, Pool};
use crate::http::{Answer, ID, call};
use crate::record::Record;
use crate::site::{self, KEY, Vm, ZONES};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// "The runner is back after some seconds."
const DOWN: Duration = Duration::from_secs(3);

/// Time for which the request comes again.
const PLAY: Duration = Duration::from_secs(45);

/// Retries that may reach runners later than the contact time after the third crash.
const PERMITTED: usize = 3;

const VMS: usize = 6;

/// Clients at each VM that send the request, and as many others; the sheet has 51 clients in all.
const CLIENTS: usize = 3;

const PACE: Pace = Pace {
    first: Duration::from_millis(60),
    event: Duration::from_millis(28),
    events: 100,
};

fn request(id: &str, body: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n{ID}: {id}\r\n\
         X-Almondcroft-Model: m\r\nX-Almondcroft-Token-Counts: 1460,400\r\n\
         X-Almondcroft-Length-Hint: 100\r\n\
         X-Almondcroft-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\n\
         X-Almondcroft-Deadline-Ms: 39000\r\nX-Almondcroft-Credential: {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn send(address: SocketAddr, name: &str, id: &str, body: &str, record: &Record) -> Answer {
    record.line(format!("{id} ({body}) is sent to {name}"));
    let answer = call(address, &request(id, body), Duration::from_secs(12), |_| {});
    let wait = answer.header("Retry-After").unwrap_or("-");
    record.line(format!(
        "{id} ({body}) is answered {}, complete: {}, Retry-After: {wait}",
        answer.status, answer.complete
    ));
    answer
}

/// Returns when a client comes back: after the time that the answer names, or a second after another failure.
fn come_back(answer: &Answer) -> Duration {
    let named = answer.header("Retry-After");
    let named = named.and_then(|text| text.trim().parse::<f64>().ok());
    named.map_or(Duration::from_secs(1), |seconds| {
        Duration::from_secs_f64(seconds).max(Duration::from_millis(5))
    })
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
    let put = |engine: &Engine, starts| {
        let slots = (24, "ready");
        let entry = site::entry_of("menu-writer", engine.address, engine.zone, slots, starts);
        store.put("servers", &engine.id, &entry);
    };
    for engine in &engines {
        put(engine, 0);
        if trouble {
            engine.set_crash_after(Duration::ZERO);
        }
    }
    let mut vms = place.start_vms(&site::VILLACRES, VMS, &store)?;
    let end = record.now() + PLAY;
    let is_over = AtomicBool::new(false);
    let (sound, sound_whole) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let cut_at: Mutex<Vec<Duration>> = Mutex::default();
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
        for (number, vm) in vms.iter().enumerate() {
            let (is_over, sound, sound_whole) = (&is_over, &sound, &sound_whole);
            let cut_at = &cut_at;
            let (address, name) = (vm.listen, vm.name.as_str());
            // Other callers.
            for client in 0..CLIENTS {
                scope.spawn(move || {
                    let mut count = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        let id = format!(
                            "{:016x}",
                            0xd0_0000 + number * 0x1_0000 + client * 0x2000 + count
                        );
                        count += 1;
                        let answer = send(address, name, &id, "sound", record);
                        let whole = answer.complete && answer.status == 200;
                        if answer.status == 200 && !answer.complete {
                            cut_at.lock().unwrap().push(record.now());
                        }
                        sound.fetch_add(1, Ordering::SeqCst);
                        sound_whole.fetch_add(usize::from(whole), Ordering::SeqCst);
                        pause(200);
                    }
                });
            }
            // The request that comes again, from some clients at each VM.
            for client in 0..CLIENTS {
                scope.spawn(move || {
                    let mut count = 0;
                    pause(1_000 + 150 * number as u64 + 37 * client as u64);
                    while record.now() < end {
                        let id = format!(
                            "{:016x}",
                            0xe0_0000 + number * 0x1_0000 + client * 0x2000 + count
                        );
                        count += 1;
                        let answer = send(address, name, &id, "crash", record);
                        let wait = come_back(&answer);
                        thread::sleep(wait.min(end.saturating_sub(record.now())));
                    }
                    is_over.store(true, Ordering::SeqCst);
                });
            }
        }
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
    let bad = works
        .iter()
        .filter(|work| work.request.starts_with("0000000000e"));
    let is_late = |at: Duration| crashes.get(2).is_some_and(|third| at > *third + contact);
    let cut_at = cut_at.lock().unwrap();
    let late: Vec<_> = bad.clone().filter(|work| is_late(work.from)).collect();
    for work in &late {
        record.line(format!(
            "{} reached {} {:.3} s after the third crash",
            work.request,
            work.runner,
            work.from.saturating_sub(crashes[2]).as_secs_f64()
        ));
    }
    record.line(format!(
        "the request reached runners {} times and crashed {}; {} times later than {contact:?} after the third crash; \
         {} of {} requests of other callers were whole, {} were cut, {} of these at the late crashes",
        bad.count(),
        crashes.len(),
        late.len(),
        sound_whole.load(Ordering::SeqCst),
        sound.load(Ordering::SeqCst),
        cut_at.len(),
        cut_at.iter().filter(|at| is_late(**at)).count()
    ));
    let broken = late.len() > PERMITTED;
    record.line(if broken {
        "BUDGET is broken"
    } else {
        "BUDGET holds"
    });
    Ok(broken)
}
