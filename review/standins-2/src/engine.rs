//! Stand-in of a model runner, after PROTOCOL.md: streams of events, copies of a run's memory, and resumption from them.

use crate::http::{EXPECT, ID, NOT_RUN, Request, STAMP, read_request, respond};
use crate::json;
use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long the events of a stream take, and how many there are.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub first: Duration,
    pub event: Duration,
    pub events: u64,
}

/// The time during which a runner worked on a request.
#[derive(Debug, Clone)]
pub struct Work {
    pub request: String,
    pub runner: String,
    /// The event after which it went on.
    pub after: u64,
    pub from: Duration,
    /// The last time at which it made an event.
    pub until: Duration,
    pub is_over: bool,
}

/// Copies of runs, by the address of the runner that holds them and the id of the run.
type Copies = Mutex<HashMap<(String, String), u64>>;

/// What all runners of the service share.
#[derive(Default)]
pub struct Pool {
    pub works: Mutex<Vec<Work>>,
    copies: Copies,
    handles: AtomicU64,
}

pub struct Engine {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// Whether it drops a request when its connection closes, as most runners do.
    drops: bool,
    pace: Pace,
    /// Bytes of a piece, at least.
    piece: usize,
    pool: Arc<Pool>,
    record: Record,
    /// Requests that were asked to stop.
    stopped: Mutex<HashSet<String>>,
    /// Events that each run has made here.
    runs: Mutex<HashMap<String, u64>>,
    /// Open connections.
    sockets: Mutex<Vec<TcpStream>>,
    /// Number of crashes; a run that began before the last one is over.
    crashes: AtomicU64,
    is_down: AtomicBool,
    /// Time after its start at which a run whose request says so crashes the runner.
    crash_after: Mutex<Option<Duration>>,
    /// Times of the crashes.
    pub crashed_at: Mutex<Vec<Duration>>,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &'static str,
        drops: bool,
        pace: Pace,
        pool: &Arc<Pool>,
        record: &Record,
    ) -> Arc<Self> {
        Self::start_with(id, zone, drops, pace, 0, pool, record)
    }

    /// Starts a runner whose pieces have at least so many bytes.
    pub fn start_with(
        id: &str,
        zone: &'static str,
        drops: bool,
        pace: Pace,
        piece: usize,
        pool: &Arc<Pool>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            zone,
            address: listener.local_addr().expect("an address"),
            drops,
            pace,
            piece,
            pool: Arc::clone(pool),
            record: record.clone(),
            stopped: Mutex::default(),
            runs: Mutex::default(),
            sockets: Mutex::default(),
            crashes: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            crash_after: Mutex::default(),
            crashed_at: Mutex::default(),
        });
        let served = Arc::clone(&engine);
        thread::spawn(move || served.accept(listener));
        engine
    }

    /// Makes requests whose body is `crash` crash the runner some time after they began to run.
    pub fn set_crash_after(&self, time: Duration) {
        *self.crash_after.lock().unwrap() = Some(time);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.is_down() {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        let served = Arc::clone(&self);
                        thread::spawn(move || served.serve(socket));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while self.is_down() {
                thread::sleep(Duration::from_millis(5));
            }
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            };
        }
    }

    /// Crashes: all connections and the port are closed, and nothing is left of its runs and copies.
    fn crash(&self, id: &str) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.crashed_at.lock().unwrap().push(self.record.now());
        self.record.line(format!("{id} crashes {}", self.id));
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        let address = self.address.to_string();
        let mut copies = self.pool.copies.lock().unwrap();
        copies.retain(|(holder, _), _| *holder != address);
    }

    /// Starts again after a crash.
    pub fn come_back(&self) {
        self.runs.lock().unwrap().clear();
        self.is_down.store(false, Ordering::SeqCst);
        self.record.line(format!("{} is back", self.id));
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        if let Ok(copy) = socket.try_clone() {
            self.sockets.lock().unwrap().push(copy);
        }
        while let Some(request) = read_request(&mut socket) {
            if !self.answer(&request, &mut socket) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, request: &Request, socket: &mut TcpStream) -> bool {
        if request.target == "/api/kv-move" {
            return self.copy(request, socket);
        }
        if request.target.starts_with("/api/") {
            return respond(
                socket,
                200,
                &[("X-Almondcroft-Instance-Id", &self.id)],
                b"{}",
            )
            .is_ok();
        }
        let id = request.header(ID).unwrap_or_default().to_owned();
        if request.header(EXPECT) != Some(&self.id) {
            return respond(socket, 421, &[(ID, &id)], b"").is_ok();
        }
        let after = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let Some(from) = request.header("Kv-From") {
            let (holder, handle) = from.split_once('/').unwrap_or((from, ""));
            let key = (holder.to_owned(), handle.to_owned());
            if self.pool.copies.lock().unwrap().remove(&key).is_none() {
                self.record
                    .line(format!("{id} {}: no copy {from}, not run", self.id));
                return respond(socket, 503, &[(ID, &id), (NOT_RUN, "1")], b"").is_ok();
            }
        }
        let backup = request.header("X-Almondcroft-Kv-Backup");
        let crash_after = *self.crash_after.lock().unwrap();
        let crash_after = crash_after.filter(|_| request.body == b"crash");
        self.run(&id, after, (backup, crash_after), socket);
        false
    }

    /// Runs a request; the connection ends with it.
    fn run(
        &self,
        id: &str,
        after: u64,
        (backup, crash_after): (Option<&str>, Option<Duration>),
        socket: &mut TcpStream,
    ) {
        let crashes = self.crashes.load(Ordering::SeqCst);
        self.record.line(format!(
            "{id} {}: arrives, goes on after {after}, backup {}",
            self.id,
            backup.unwrap_or("-")
        ));
        self.stopped.lock().unwrap().remove(id);
        thread::sleep(self.pace.first);
        let number = {
            let mut works = self.pool.works.lock().unwrap();
            works.push(Work {
                request: id.to_owned(),
                runner: self.id.clone(),
                after,
                from: self.record.now(),
                until: self.record.now(),
                is_over: false,
            });
            works.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ID}: {id}\r\n{STAMP}: 3e1b.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = socket.write_all(head.as_bytes()).is_ok();
        let mut ended = "to its end";
        for event in after + 1..=self.pace.events {
            if self.stopped.lock().unwrap().contains(id) {
                ended = "stopped by a call";
                break;
            }
            let began = self.pool.works.lock().unwrap()[number].from;
            if crash_after.is_some_and(|time| self.record.now() >= began + time) {
                self.crash(id);
            }
            if self.crashes.load(Ordering::SeqCst) > crashes {
                ended = "the runner has crashed";
                break;
            }
            let filling = "x".repeat(self.piece.saturating_sub(40));
            let text = format!("id: {event}\ndata: {id} piece {event} {filling}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let was_open = is_open;
            is_open = is_open && socket.write_all(chunk.as_bytes()).is_ok();
            if was_open && !is_open {
                let what = if self.drops { "drops it" } else { "works on" };
                self.record.line(format!(
                    "{id} {}: its connection is closed at piece {event}, the runner {what}",
                    self.id
                ));
            }
            if !is_open && self.drops {
                ended = "dropped with its connection";
                break;
            }
            self.runs.lock().unwrap().insert(id.to_owned(), event);
            self.pool.works.lock().unwrap()[number].until = self.record.now();
            if let Some(backup) = backup {
                let key = (backup.to_owned(), id.to_owned());
                self.pool.copies.lock().unwrap().insert(key, event);
            }
            thread::sleep(self.pace.event);
        }
        self.runs.lock().unwrap().remove(id);
        self.pool.works.lock().unwrap()[number].is_over = true;
        self.record
            .line(format!("{id} {}: run ends, {ended}", self.id));
        if ended == "to its end" {
            let _ = socket.write_all(b"0\r\n\r\n");
        }
        let _ = socket.shutdown(Shutdown::Both);
    }

    /// Copies a run's memory to another runner; with `last`, the run stops first.
    fn copy(&self, request: &Request, socket: &mut TcpStream) -> bool {
        let body = request.text();
        let id = json::string(&body, "id").unwrap_or_default();
        let is_last = json::member(&body, "last") == Some("true");
        let events = self.runs.lock().unwrap().get(&id).copied();
        let Some(events) = events else {
            return respond(socket, 404, &[], b"{}").is_ok();
        };
        if is_last {
            self.stopped.lock().unwrap().insert(id.clone());
        }
        thread::sleep(Duration::from_millis(15));
        let handle = format!("h{}", self.pool.handles.fetch_add(1, Ordering::SeqCst));
        let key = (self.address.to_string(), handle.clone());
        self.pool.copies.lock().unwrap().insert(key, events);
        self.record.line(format!(
            "{id} {}: copied to {}{}",
            self.id,
            json::string(&body, "to").unwrap_or_default(),
            if is_last { ", and stopped" } else { "" }
        ));
        let text = format!("{{\"handle\":\"{handle}\",\"create_revision\":{events}}}");
        respond(
            socket,
            200,
            &[("Content-Type", "application/json")],
            text.as_bytes(),
        )
        .is_ok()
    }
}
