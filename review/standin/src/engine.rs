//! An engine: streams pieces in answers without a length, and moves requests to another engine.

use crate::http::{Message, Peer, encode};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Pieces of a whole long stream, and of a short one.
pub const PIECES: u64 = 300;
pub const SHORT_PIECES: u64 = 3;

/// Maximum output of a short stream, in tokens.
const SHORT_OUTPUT: u64 = 12;

/// Answers that an engine gives for one that it spoils or loses; at most x = 0.02 of them are spoiled.
pub const ANSWERS_BEFORE: u32 = 50;

/// Time between two pieces.
const PIECE_TIME: Duration = Duration::from_millis(28);

/// Time for which a copy of a request's memory is on the link.
const COPY_TIME: Duration = Duration::from_millis(40);

/// A request that runs: the last piece that it made, and whether it was stopped.
#[derive(Default)]
struct Run {
    made: u64,
    stopped: bool,
}

/// How an engine answers, beyond what it does on a sound day.
#[derive(Debug, Clone, Copy, Default)]
pub struct Manner {
    /// Streams come in chunks; else they have no length.
    pub chunked: bool,
    /// Bytes that are no chunk come after this piece of a stream that starts here; the engine works on.
    pub spoils_after: Option<u64>,
    /// The answer to a request that goes on here is lost; the engine runs it.
    pub loses_answers: bool,
}

/// The time during which an engine worked on a request.
#[derive(Debug, Clone)]
pub struct Work {
    pub engine: String,
    pub request: String,
    pub from: Duration,
    pub until: Duration,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub work: Mutex<Vec<Work>>,
    /// Where the backup of each request that runs is kept.
    pub backups: Mutex<HashMap<String, String>>,
    /// Number of answers that were given in whole.
    pub answered: AtomicU32,
    manner: Manner,
    runs: Mutex<HashMap<String, Arc<Mutex<Run>>>>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(id: &str, manner: Manner, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("engine");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("engine"),
            work: Mutex::default(),
            backups: Mutex::default(),
            answered: AtomicU32::new(0),
            manner,
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&engine);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let engine = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut peer = Peer::new(socket);
                    while let Ok(Some(request)) = peer.message() {
                        if !engine.answer(&request, &mut peer) {
                            return;
                        }
                    }
                });
            }
        });
        engine
    }

    /// Returns its entry in the store, at the address at which it is reached.
    pub fn entry(&self, service: &str, address: SocketAddr, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z-b\",\"version\":\"v1\",\
             \"slots\":24,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":1700000000000,\
             \"sequence\":1}}"
        )
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, request: &Message, peer: &mut Peer) -> bool {
        match (request.method(), request.path()) {
            ("POST", "/api/kv-move") => self.copy(request, peer),
            ("DELETE", path) if path.starts_with("/api/kv-handle/") => {
                peer.send(&encode("HTTP/1.1 200 OK", &[], b"{}")).is_ok()
            }
            _ => {
                self.stream(request, peer);
                false
            }
        }
    }

    fn copy(&self, request: &Message, peer: &mut Peer) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = body
            .split("\"id\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let id = id.unwrap_or_default().to_owned();
        let last = body.contains("\"last\":true");
        let run = self.runs.lock().unwrap().get(&id).cloned();
        let Some(run) = run else {
            self.record
                .line(&format!("engine {} knows no run {id}", self.id));
            return peer
                .send(&encode("HTTP/1.1 404 Not Found", &[], b"{}"))
                .is_ok();
        };
        let made = {
            let mut run = run.lock().unwrap();
            run.stopped |= last;
            run.made
        };
        let what = if last {
            "stops, and copies the rest of"
        } else {
            "copies"
        };
        self.record.line(&format!(
            "engine {} {what} {id} after piece {made}",
            self.id
        ));
        thread::sleep(COPY_TIME);
        let body = format!("{{\"handle\":\"h-{id}\",\"create_revision\":{made}}}");
        peer.send(&encode(
            "HTTP/1.1 200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        ))
        .is_ok()
    }

    /// Streams the pieces after `Last-Event-Id`; the answer has no length and ends with its connection.
    fn stream(&self, request: &Message, peer: &mut Peer) {
        let arrived = Instant::now();
        let id = request
            .header("x-almondcroft-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("x-almondcroft-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Almondcroft-Instance-Id", self.id.as_str())];
            let _ = peer.send(&encode("HTTP/1.1 421 Misdirected Request", &headers, b""));
            return;
        }
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.record.line(&format!(
            "engine {} runs {id} after piece {after}, from {}",
            self.id,
            request.header("kv-from").unwrap_or("the prompt")
        ));
        let run = Arc::new(Mutex::new(Run {
            made: after,
            stopped: false,
        }));
        self.runs
            .lock()
            .unwrap()
            .insert(id.clone(), Arc::clone(&run));
        let counts = request
            .header("x-almondcroft-token-counts")
            .unwrap_or_default();
        let output = counts.split(',').nth(1).and_then(|text| text.parse().ok());
        let is_short = output.unwrap_or(0) <= SHORT_OUTPUT;
        let pieces = if is_short { SHORT_PIECES } else { PIECES };
        if let Some(backup) = request.header("x-almondcroft-kv-backup") {
            let mut backups = self.backups.lock().unwrap();
            backups.insert(id.clone(), backup.to_owned());
        }
        let goes_on = request.header("kv-from").is_some();
        let is_due = self.answered.load(Ordering::SeqCst) >= ANSWERS_BEFORE && !is_short;
        let is_lost = self.manner.loses_answers && goes_on && is_due;
        let spoils_after = self.manner.spoils_after.filter(|_| !goes_on && is_due);
        let framing = if self.manner.chunked {
            "Transfer-Encoding: chunked"
        } else {
            "Connection: close"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Almondcroft-Request-Id: {id}\r\n\
             X-Almondcroft-Response-Stamp: stamp-{}-{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.id
        );
        let mut send = |bytes: &[u8]| if is_lost { Ok(()) } else { peer.send(bytes) };
        let from = self.record.elapsed();
        let allowed = request
            .header("x-almondcroft-deadline-ms")
            .and_then(|text| text.parse().ok());
        let allowed = Duration::from_millis(allowed.unwrap_or(60_000));
        let mut is_late = false;
        let mut sent = send(head.as_bytes());
        let socket = peer.socket.try_clone().expect("socket");
        let _ = socket.set_read_timeout(Some(Duration::from_millis(1)));
        for number in after + 1..=pieces {
            let left = (arrived + allowed).saturating_duration_since(Instant::now());
            thread::sleep(PIECE_TIME.min(left));
            if left <= PIECE_TIME {
                // An engine stops work at the deadline that it was given.
                is_late = true;
                break;
            }
            // An engine drops a request when its connection closes.
            if sent.is_ok() && matches!(socket.peek(&mut [0]), Ok(0)) {
                sent = Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let mut run = run.lock().unwrap();
            if run.stopped || sent.is_err() {
                break;
            }
            run.made = number;
            let piece = format!("id: {number}\ndata: piece {number}\n\n");
            let bytes = match self.manner.chunked {
                true => format!("{:x}\r\n{piece}\r\n", piece.len()),
                false => piece,
            };
            let mut send = |bytes: &[u8]| if is_lost { Ok(()) } else { peer.send(bytes) };
            sent = send(bytes.as_bytes());
            if spoils_after == Some(number) {
                self.record.line(&format!(
                    "engine {} sends bytes that are no chunk, and works on {id}",
                    self.id
                ));
                sent = send(b"spoiled\r\n");
            }
            if number == pieces && self.manner.chunked {
                sent = send(b"0\r\n\r\n");
            }
        }
        self.backups.lock().unwrap().remove(&id);
        if run.lock().unwrap().made == pieces && sent.is_ok() {
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
        self.work.lock().unwrap().push(Work {
            engine: self.id.clone(),
            request: id.clone(),
            from,
            until: self.record.elapsed(),
        });
        let (made, stopped) = {
            let run = run.lock().unwrap();
            (run.made, run.stopped)
        };
        self.runs.lock().unwrap().remove(&id);
        let end = if stopped {
            "stopped"
        } else if is_late {
            "at the deadline"
        } else if sent.is_err() {
            "left"
        } else {
            "whole"
        };
        self.record.line(&format!(
            "engine {} closes the stream of {id} after piece {made}: {end}",
            self.id
        ));
    }
}
