//! A runner's entry is removed while the store cuts off waiting watches.

use super::{Place, pause};
use crate::desk::{Desk, Run};
use crate::http::{ID, call};
use crate::record::Record;
use crate::site::{self, KEY, Vm, ZONES};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The rule's time after the store's acknowledgement.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time for which the runner serves after its entry is gone: `drain_ms` and "a little longer (at times many seconds)".
const SERVES: Duration = Duration::from_millis(4_000);

fn request(id: &str) -> String {
    format!(
        "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\n{ID}: {id}\r\n\
         X-Almondcroft-Deadline-Ms: 4000\r\nX-Almondcroft-Credential: {KEY}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

fn send(address: SocketAddr, name: &str, id: &str, record: &Record) -> u16 {
    record.line(format!("{id} is sent to {name}"));
    let answer = call(address, &request(id), Duration::from_secs(4), |_| {});
    record.line(format!("{id} is answered {}", answer.status));
    answer.status
}

pub fn play(record: &Record, place: &Place, trouble: bool) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("config", "main", &site::config(7));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let desks: Vec<Arc<Desk>> = (0..3)
        .map(|number| {
            let (id, zone) = (format!("i-desk-{number}"), ZONES[number].0);
            Desk::start(&id, zone, Duration::from_millis(60), &runs, record)
        })
        .collect();
    for desk in &desks {
        let entry = site::entry("club-desk", desk.address, desk.zone, 6, "ready");
        store.put("servers", &desk.id, &entry);
    }
    let mut vms = place.start_vms(&site::VILLACRES, 3, &store)?;
    let statuses: Mutex<Vec<(String, u16)>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let removed_at = thread::scope(|scope| {
        for (number, vm) in vms.iter().enumerate() {
            let (statuses, is_over) = (&statuses, &is_over);
            let (address, name) = (vm.listen, vm.name.as_str());
            for client in 0..2 {
                scope.spawn(move || {
                    let mut count = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        let id = format!(
                            "{:016x}",
                            0xb0_0000 + number * 0x2_0000 + client * 0x1_0000 + count
                        );
                        count += 1;
                        let status = send(address, name, &id, record);
                        statuses.lock().unwrap().push((id, status));
                        pause(40);
                    }
                });
            }
        }
        pause(1_000);
        let cut = || {
            if trouble {
                store.cut_watches();
                record.line("the store cuts off the watches that are waiting");
            }
        };
        cut();
        pause(500);
        let leaving = &desks[0];
        store.remove("servers", &leaving.id);
        let removed_at = record.now();
        record.line(format!("the entry of {} is removed", leaving.id));
        pause(700);
        cut();
        thread::sleep((removed_at + SERVES).saturating_sub(record.now()));
        record.line(format!("{} exits", leaving.id));
        leaving.exit();
        pause(1_500);
        is_over.store(true, Ordering::SeqCst);
        removed_at
    });
    if vms.iter_mut().any(Vm::has_ended) {
        return Err("a process has ended".into());
    }
    let runs = runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.runner == desks[0].id && run.at > removed_at + DRAIN)
        .collect();
    let lost = late.iter().filter(|run| run.is_cut).count();
    for run in &late {
        record.line(format!(
            "{} reached {} {:.3} s after its entry was gone{}",
            run.request,
            run.runner,
            run.at.saturating_sub(removed_at).as_secs_f64(),
            if run.is_cut { ", and was cut" } else { "" }
        ));
    }
    let failed = statuses.lock().unwrap();
    let failed = failed.iter().filter(|(_, status)| *status != 200).count();
    record.line(format!(
        "{} of {} requests reached the runner later than {DRAIN:?} after its entry was gone; {lost} of them were cut \
         when it exited; {failed} requests in all were not answered 200",
        late.len(),
        runs.len()
    ));
    let broken = !late.is_empty();
    record.line(if broken {
        "DRAIN is broken"
    } else {
        "DRAIN holds"
    });
    Ok(broken)
}
