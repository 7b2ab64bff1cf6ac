//! A machine that missed some large configurations: the response to its next watch is too long for it.

use crate::Outcome;
use crate::gateway::{Gateway, Options};
use crate::http::{Peer, encode};
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Routes that `big_config` adds; the largest dose of chairline-routing-grown.
const ROUTES: usize = 1_604;

/// The `config_storm` of chairline-routing-grown: `gap_s` 0.33 for `for_s` 4.0.
const STORM_GAP: Duration = Duration::from_millis(330);
const STORM: usize = 12;

/// Time for which the store turns the machine away; `platform_down` with `nodes` there has `for_s` 9.0.
const REJECTED: Duration = Duration::from_secs(9);

/// `contact_ms`, `config_apply_ms` and `max_stretch_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(5);
const APPLY: Duration = Duration::from_secs(4);
const STRETCH: Duration = Duration::from_secs(8);

/// Time for which requests are sent then.
const PROBING: Duration = Duration::from_secs(3);

const BOUNDS: &str = "{\"revoke_ms\":5000,\"drain_ms\":4000,\"grace_s\":8,\"retry_ratio\":0.2,\
    \"retry_slack\":180,\"retry_window_s\":10}";

/// Encodes a configuration; the public route /terms/ leads to the given service.
fn config(version: usize, routes: usize, service: &str) -> String {
    let mut all = vec![format!(
        "{{\"name\":\"r-terms\",\"hostname\":\"chairs.example\",\"path_prefix\":\"/terms/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,\
         \"service\":\"{service}\",\"attempts\":1,\"public\":true,\"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"r-seats\",\"hostname\":\"chairs.example\",\"path_prefix\":\"/seats/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":250,\"priority\":2,\
         \"service\":\"chairbook-app\",\"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}"
    )];
    all.extend((0..routes).map(|number| {
        format!(
            "{{\"name\":\"r-hvz3{number:05}\",\"hostname\":\"ficu95.example\",\
             \"path_prefix\":\"/pufi{number:05}/\",\"kind\":\"stream\",\"timeout_ms\":6000,\
             \"target_latency_ms\":1500,\"priority\":0,\"service\":\"chairbook-app\",\"attempts\":1,\
             \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":180}}"
        )
    }));
    let pool = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":480,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        all.join(","),
        pool("chairbook-app"),
        pool("terms-app")
    )
}

/// Sends a request on a new connection; returns the status and the body.
fn ask(listen: SocketAddr, id: &str, path: &str, key: bool) -> Option<(u16, String)> {
    let socket = TcpStream::connect(listen).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut peer = Peer::new(socket);
    let mut headers = vec![
        ("Host", "chairs.example"),
        ("X-Almondcroft-Request-Id", id),
        ("X-Almondcroft-Deadline-Ms", "1500"),
    ];
    if key {
        headers.push(("X-Almondcroft-Credential", "key-1"));
    }
    peer.send(&encode(&format!("GET {path} HTTP/1.1"), &headers, b""))
        .ok()?;
    let answer = peer.message().ok()??;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some((answer.status(), body))
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let work = Duration::from_millis(30);
    let old = Runner::start("i-old-1", "chairbook-app", work, record);
    let new = Runner::start("i-new-1", "terms-app", work, record);
    store.put("servers", &old.id, &old.entry());
    store.put("servers", &new.id, &new.entry());
    store.put("config", "main", &config(7, 8, "chairbook-app"));
    let links: Vec<_> = (0..3).map(|_| store.link()).collect();
    let gateways: Vec<Gateway> = (0..3)
        .map(|index| {
            Gateway::start(&Options {
                name: ["front-1", "front-2", "front-3"][index],
                store: links[index].address,
                memory_mb: 160,
                bounds: BOUNDS,
                log: None,
                ports: None,
            })
        })
        .collect();
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(15)))
    {
        record.line("the gateways do not become ready");
        return Outcome::NotRun;
    }
    let write = |version: usize, service: &str| {
        let spec = config(version, ROUTES, service);
        let revision = store.put("config", "main", &spec);
        record.line(&format!(
            "operator writes version {version}, {} bytes, /terms/ to {service}; acknowledged as revision {revision}",
            spec.len()
        ));
    };
    write(10, "chairbook-app");
    thread::sleep(Duration::from_secs(3));
    if trouble {
        links[0].rejects.store(true, Ordering::SeqCst);
        record.line("the store turns front-1 away (503) and serves the others");
    }
    let rejected_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    for number in 1..=STORM {
        let service = if number == STORM {
            "terms-app"
        } else {
            "chairbook-app"
        };
        write(10 + 3 * number, service);
        thread::sleep(STORM_GAP);
    }
    let acknowledged_at = Instant::now();
    thread::sleep(REJECTED.saturating_sub(rejected_at.elapsed()));
    links[0].rejects.store(false, Ordering::SeqCst);
    let served_at = Instant::now();
    record.line("the store serves all machines");
    // From now on front-1 is in touch, and the last version applies, also by the stretched bound.
    thread::sleep((CONTACT + Duration::from_millis(500)).saturating_sub(served_at.elapsed()));
    thread::sleep((APPLY + STRETCH).saturating_sub(acknowledged_at.elapsed()));
    let mut counts = [(0, 0, 0, 0); 3];
    let probing = Instant::now();
    let mut number = 0;
    while probing.elapsed() < PROBING {
        for (index, gateway) in gateways.iter().enumerate() {
            number += 1;
            let id = format!("probe-{number:04}");
            let answer = ask(gateway.listen, &id, "/terms/today", false);
            let (is_old, is_new) = (old.has_run(&id), new.has_run(&id));
            let (status, body) = answer.unwrap_or((0, "no answer".into()));
            record.line(&format!(
                "client asks front-{} for {id} /terms/today: {status} {body}",
                index + 1
            ));
            counts[index].0 += u32::from(is_old);
            counts[index].1 += u32::from(is_new);
            let id = format!("keyed-{number:04}");
            let answer = ask(gateway.listen, &id, "/seats/today", true);
            let status = answer.map_or(0, |(status, _)| status);
            counts[index].2 += u32::from(status == 200);
            counts[index].3 += u32::from(status != 200);
        }
        thread::sleep(Duration::from_millis(100));
    }
    for (index, (by_old, by_new, keyed, refused)) in counts.iter().enumerate() {
        record.line(&format!(
            "front-{}: /terms/ run by the old service {by_old} times, by the new one {by_new} times; with a key: \
             {keyed} served, {refused} not",
            index + 1
        ));
    }
    // When does it follow again?
    let mut waited = Duration::ZERO;
    while trouble && waited < Duration::from_secs(30) {
        let id = format!("later-{}", waited.as_millis());
        let _ = ask(gateways[0].listen, &id, "/terms/today", false);
        if new.has_run(&id) {
            record.line(&format!(
                "front-1 uses the last version {:.1} s after the store has served it again",
                served_at.elapsed().as_secs_f64()
            ));
            break;
        }
        thread::sleep(Duration::from_millis(200));
        waited += Duration::from_millis(200);
    }
    if counts.iter().all(|(_, by_new, _, _)| *by_new == 0) {
        return Outcome::NotRun;
    }
    if counts.iter().any(|(by_old, ..)| *by_old > 0) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
