//! Many uploads in chunks at once: the process exceeds its memory.

use crate::Outcome;
use crate::gateway::{Gateway, Options};
use crate::http::Peer;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The figures of villacres-menus: memory of a machine, and the limits of its configuration.
const MEMORY_MB: u32 = 110;
const MAX_BODY_BYTES: usize = 4_194_304;

/// All clients of the sheet, 15 + 18 + 18; each sends one upload.
const UPLOADS: usize = 51;
const CHUNK: usize = 65_536;
const CHUNKS: usize = 63;

/// Time between two chunks of one upload, far below `header_timeout_ms`.
const PAUSE: Duration = Duration::from_millis(30);

/// Clients that keep a connection and send small requests one after the other.
const KEPT: usize = 12;

/// Within `work_ms` of the sheet.
const WORK: Duration = Duration::from_millis(200);

/// The rule LOST permits three.
const PERMITTED: u32 = 3;

const BOUNDS: &str = "{\"revoke_ms\":5000,\"drain_ms\":2500,\"grace_s\":8,\"retry_ratio\":0.2,\
    \"retry_slack\":52,\"retry_window_s\":10}";

struct Counts {
    next: AtomicU64,
    answered: AtomicU32,
    lost: AtomicU32,
    uploads: AtomicU32,
    stop: AtomicBool,
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let runners: Vec<Arc<Runner>> = (1..=3)
        .map(|number| Runner::start(&format!("i-desk-{number}"), "club-desk", WORK, record))
        .collect();
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry());
    }
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"orders\",\"hostname\":\"menus.example\",\
         \"path_prefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,\
         \"target_latency_ms\":250,\"priority\":2,\"service\":\"club-desk\",\"attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"club-desk\",\"health_path\":\"/health\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    );
    store.put("config", "main", &config);
    let link = store.link();
    let gateway = Gateway::start(&Options {
        name: "front-1",
        store: link.address,
        memory_mb: MEMORY_MB,
        bounds: BOUNDS,
        log: None,
        ports: None,
    });
    if !gateway.wait_ready(Duration::from_secs(10)) {
        record.line("the gateway does not become ready");
        return Outcome::NotRun;
    }
    let counts = Arc::new(Counts {
        next: AtomicU64::new(1),
        answered: AtomicU32::new(0),
        lost: AtomicU32::new(0),
        uploads: AtomicU32::new(0),
        stop: AtomicBool::new(false),
    });
    let kept: Vec<_> = (0..KEPT)
        .map(|_| {
            let (counts, record, runners) =
                (Arc::clone(&counts), Arc::clone(record), runners.clone());
            let listen = gateway.listen;
            thread::spawn(move || keep_sending(listen, &counts, &record, &runners))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let uploads = {
        let (counts, record, listen) = (Arc::clone(&counts), Arc::clone(record), gateway.listen);
        thread::spawn(move || {
            if trouble {
                let all: Vec<_> = (0..UPLOADS)
                    .map(|_| {
                        let (counts, record) = (Arc::clone(&counts), Arc::clone(&record));
                        thread::spawn(move || upload(listen, PAUSE, &counts, &record))
                    })
                    .collect();
                for one in all {
                    let _ = one.join();
                }
            } else {
                for _ in 0..UPLOADS {
                    upload(listen, PAUSE / 6, &counts, &record);
                }
            }
        })
    };
    // The platform: a process that exceeds its memory is killed (DEPLOY.md).
    let (mut peak, mut killed) = (0, false);
    while !uploads.is_finished() && !killed {
        let resident = gateway.resident_kb();
        peak = peak.max(resident);
        if resident > u64::from(MEMORY_MB) * 1024 {
            record.line(&format!(
                "the platform kills the gateway: {resident} kB resident, {MEMORY_MB} MB allowed"
            ));
            gateway.kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_secs(1));
    counts.stop.store(true, Ordering::SeqCst);
    for client in kept {
        let _ = client.join();
    }
    let ended = gateway.has_ended();
    let (answered, lost) = (
        counts.answered.load(Ordering::SeqCst),
        counts.lost.load(Ordering::SeqCst),
    );
    record.line(&format!(
        "peak {peak} kB; killed for its memory: {killed}; ended: {ended}; uploads answered: {}; kept connections: \
         {answered} requests answered, {lost} passed on to a runner and closed without an answer",
        counts.uploads.load(Ordering::SeqCst)
    ));
    if answered == 0 {
        return Outcome::NotRun;
    }
    if killed && lost > PERMITTED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn head(id: &str) -> String {
    format!(
        "POST /orders/new HTTP/1.1\r\nHost: menus.example\r\nX-Almondcroft-Request-Id: {id}\r\n\
         X-Almondcroft-Deadline-Ms: 4000\r\nX-Almondcroft-Credential: key-1\r\n"
    )
}

fn keep_sending(listen: SocketAddr, counts: &Counts, record: &Record, runners: &[Arc<Runner>]) {
    let Ok(socket) = TcpStream::connect(listen) else {
        return;
    };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
    let mut peer = Peer::new(socket);
    while !counts.stop.load(Ordering::SeqCst) {
        let id = format!("kept-{:04}", counts.next.fetch_add(1, Ordering::SeqCst));
        let bytes = format!("{}Content-Length: 2\r\n\r\nok", head(&id));
        if peer.send(bytes.as_bytes()).is_err() {
            record.line(&format!("client could not send {id}"));
            return;
        }
        record.line(&format!("client sent {id} on a kept connection"));
        match peer.message() {
            Ok(Some(answer)) => {
                counts.answered.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("client got {} for {id}", answer.status()));
            }
            end => {
                let has_run = runners.iter().any(|runner| runner.has_run(&id));
                counts.lost.fetch_add(u32::from(has_run), Ordering::SeqCst);
                let end = end
                    .err()
                    .map_or("closed".to_owned(), |error| error.to_string());
                record.line(&format!(
                    "client got no answer for {id} ({end}); it has run: {has_run}"
                ));
                return;
            }
        }
    }
}

/// Sends one body in chunks, within the limits of the configuration.
fn upload(listen: SocketAddr, pause: Duration, counts: &Counts, record: &Record) {
    let id = format!("upload-{:04}", counts.next.fetch_add(1, Ordering::SeqCst));
    let started = Instant::now();
    let Ok(socket) = TcpStream::connect(listen) else {
        return;
    };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = socket.set_write_timeout(Some(Duration::from_secs(5)));
    let mut peer = Peer::new(socket);
    record.line(&format!(
        "client starts {id}: {} bytes in chunks",
        CHUNK * CHUNKS
    ));
    let mut sent = peer.send(format!("{}Transfer-Encoding: chunked\r\n\r\n", head(&id)).as_bytes());
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'a', CHUNK));
    chunk.extend(b"\r\n");
    for _ in 0..CHUNKS {
        if sent.is_err() {
            break;
        }
        sent = peer.send(&chunk);
        thread::sleep(pause);
    }
    let _ = sent.and_then(|()| peer.send(b"0\r\n\r\n"));
    let took = started.elapsed().as_millis();
    match peer.message() {
        Ok(Some(answer)) => {
            counts.uploads.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "client got {} for {id} after {took} ms",
                answer.status()
            ));
        }
        _ => record.line(&format!("client got no answer for {id} after {took} ms")),
    }
}
