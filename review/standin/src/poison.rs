//! A request that crashes each runner that begins to run it comes again after all processes were killed.

use crate::Outcome;
use crate::gateway::{Gateway, Options};
use crate::http::{Message, Peer, encode};
use crate::record::Record;
use crate::store::{Link, Store};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(4);

/// Time for which a crashed runner is gone.
const GONE: Duration = Duration::from_secs(2);

/// Time between two retries of the request by its client.
const RETRY: Duration = Duration::from_secs(1);

/// Retries that may reach runners late.
const PERMITTED: usize = 3;

const WORK: Duration = Duration::from_millis(150);

const LENGTH: Duration = Duration::from_secs(62);

const BOUNDS: &str = "{\"revoke_ms\":5000,\"drain_ms\":2500,\"grace_s\":8,\"retry_ratio\":0.2,\
    \"retry_slack\":54,\"retry_window_s\":10}";

/// One crash: when, and how many other requests were running there.
struct Crash {
    at: Duration,
    others: u32,
}

struct Shared {
    record: Arc<Record>,
    crashes: Mutex<Vec<Crash>>,
    over: AtomicBool,
}

/// A runner that crashes when it begins to run the request, and is back after some seconds as a new incarnation.
struct Fragile {
    id: String,
    address: SocketAddr,
    down: AtomicBool,
    running: AtomicU32,
    open: Mutex<Vec<TcpStream>>,
}

impl Fragile {
    fn start(id: &str, store: &Arc<Store>, shared: &Arc<Shared>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("runner");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("runner"),
            down: AtomicBool::new(false),
            running: AtomicU32::new(0),
            open: Mutex::default(),
        });
        store.put("servers", id, &runner.entry(1));
        let (runner_, store, shared) = (Arc::clone(&runner), Arc::clone(store), Arc::clone(shared));
        thread::spawn(move || {
            let (mut listener, mut born) = (Some(listener), 1);
            while !shared.over.load(Ordering::SeqCst) {
                if runner_.down.load(Ordering::SeqCst) {
                    drop(listener.take());
                    for socket in runner_.open.lock().unwrap().drain(..) {
                        let _ = socket.shutdown(Shutdown::Both);
                    }
                    thread::sleep(GONE);
                    born += 1;
                    runner_.running.store(0, Ordering::SeqCst);
                    listener = TcpListener::bind(runner_.address).ok();
                    runner_.down.store(listener.is_none(), Ordering::SeqCst);
                    store.put("servers", &runner_.id, &runner_.entry(born));
                    continue;
                }
                let Some(accepting) = &listener else { continue };
                let _ = accepting.set_nonblocking(true);
                match accepting.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        runner_.open.lock().unwrap().extend(socket.try_clone());
                        let (runner, shared) = (Arc::clone(&runner_), Arc::clone(&shared));
                        thread::spawn(move || runner.serve(Peer::new(socket), &shared));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        runner
    }

    fn entry(&self, born: u64) -> String {
        format!(
            "{{\"service\":\"chairbook-app\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\"sequence\":1}}",
            self.address,
            1_700_000_000_000 + born
        )
    }

    fn serve(&self, mut peer: Peer, shared: &Shared) {
        while let Ok(Some(request)) = peer.message() {
            if !self.run(&request, &mut peer, shared) {
                return;
            }
        }
    }

    fn run(&self, request: &Message, peer: &mut Peer, shared: &Shared) -> bool {
        let id = request
            .header("x-almondcroft-request-id")
            .unwrap_or_default();
        let expected = request.header("x-almondcroft-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Almondcroft-Instance-Id", self.id.as_str())];
            return peer
                .send(&encode("HTTP/1.1 421 Misdirected Request", &headers, b""))
                .is_ok();
        }
        if request.body == b"poison" {
            let others = self.running.load(Ordering::SeqCst);
            shared.record.line(&format!(
                "runner {} begins to run {id} and crashes, with {others} others",
                self.id
            ));
            let at = shared.record.elapsed();
            shared.crashes.lock().unwrap().push(Crash { at, others });
            self.down.store(true, Ordering::SeqCst);
            return false;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(WORK);
        if self.down.load(Ordering::SeqCst) {
            return false;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let stamp = format!("stamp-{}-{id}", self.id);
        let headers = [
            ("X-Almondcroft-Request-Id", id),
            ("X-Almondcroft-Response-Stamp", stamp.as_str()),
        ];
        peer.send(&encode("HTTP/1.1 200 OK", &headers, b"ran"))
            .is_ok()
    }
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"rents\",\"hostname\":\"chairs.example\",\
    \"path_prefix\":\"/rents/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":250,\
    \"priority\":2,\"service\":\"chairbook-app\",\"attempts\":1,\"public\":false}],\
    \"services\":[{\"name\":\"chairbook-app\",\"health_path\":\"/health\",\"max_connections\":100,\
    \"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

/// Starts the gateways; `ports` are those of the processes that they follow.
fn start_all(links: &[Link], ports: &[Option<[u16; 4]>]) -> Vec<Gateway> {
    let start = |index: usize| {
        Gateway::start(&Options {
            name: ["front-1", "front-2", "front-3"][index],
            store: links[index].address,
            memory_mb: 260,
            bounds: BOUNDS,
            log: None,
            ports: ports[index],
        })
    };
    (0..links.len()).map(start).collect()
}

fn post(listen: SocketAddr, id: &str, body: &[u8]) -> u16 {
    let ask = || -> Option<u16> {
        let socket = TcpStream::connect(listen).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let mut peer = Peer::new(socket);
        let headers = [
            ("Host", "chairs.example"),
            ("X-Almondcroft-Request-Id", id),
            ("X-Almondcroft-Deadline-Ms", "1500"),
            ("X-Almondcroft-Credential", "key-1"),
        ];
        peer.send(&encode("POST /rents/7 HTTP/1.1", &headers, body))
            .ok()?;
        Some(peer.message().ok()??.status())
    };
    ask().unwrap_or(0)
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::new(20);
    let shared = Arc::new(Shared {
        record: Arc::clone(record),
        crashes: Mutex::default(),
        over: AtomicBool::new(false),
    });
    for number in 1..=3 {
        Fragile::start(&format!("i-{number}"), &store, &shared);
    }
    store.put("config", "main", CONFIG);
    let links: Vec<Link> = (0..3).map(|_| store.link()).collect();
    let mut gateways = start_all(&links, &[None; 3]);
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(15)))
    {
        record.line("the gateways do not become ready");
        return Outcome::NotRun;
    }
    let listens = Arc::new(Mutex::new(
        gateways.iter().map(|g| g.listen).collect::<Vec<_>>(),
    ));
    // Other clients post rents all the while.
    let (lost, next) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU64::new(0)));
    let posters: Vec<_> = (0..9)
        .map(|number| {
            let (shared, listens, lost, next) = (
                Arc::clone(&shared),
                Arc::clone(&listens),
                Arc::clone(&lost),
                Arc::clone(&next),
            );
            thread::spawn(move || {
                while !shared.over.load(Ordering::SeqCst) {
                    let listen = listens.lock().unwrap()[number % 3];
                    let id = format!("rent-{:05}", next.fetch_add(1, Ordering::SeqCst));
                    let status = post(listen, &id, format!("rent of {id}").as_bytes());
                    if status == 502 || status == 504 {
                        lost.fetch_add(1, Ordering::SeqCst);
                        shared.record.line(&format!("client got {status} for {id}"));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let started = Instant::now();
    let mut restarted_at: Option<Duration> = None;
    let mut killed = !trouble;
    let mut number = 0;
    // A client whose request crashes runners sends it again, at one machine after the other.
    while started.elapsed() < LENGTH {
        if !killed && started.elapsed() > Duration::from_secs(10) {
            killed = true;
            for gateway in &gateways {
                gateway.kill();
            }
            record.line("all processes are killed, and start again after 0.7 s");
            thread::sleep(Duration::from_millis(700));
            let ports: Vec<_> = gateways.iter().map(|gateway| Some(gateway.ports)).collect();
            gateways.clear();
            gateways = start_all(&links, &ports);
            restarted_at = Some(record.elapsed());
            *listens.lock().unwrap() = gateways.iter().map(|g| g.listen).collect();
        }
        let in_touch = restarted_at.is_none_or(|at| record.elapsed() > at + CONTACT + RETRY);
        if in_touch {
            let id = format!("poison-{number:03}");
            let status = post(gateways[number % 3].listen, &id, b"poison");
            record.line(&format!(
                "client sends {id} to front-{}: {status}",
                number % 3 + 1
            ));
            number += 1;
        }
        thread::sleep(RETRY);
    }
    shared.over.store(true, Ordering::SeqCst);
    for poster in posters {
        let _ = poster.join();
    }
    let crashes = shared.crashes.lock().unwrap();
    let Some(third) = crashes.get(2).map(|crash| crash.at) else {
        return Outcome::NotRun;
    };
    let in_touch = |at: Duration| restarted_at.is_none_or(|from| at < from || at > from + CONTACT);
    let late: Vec<&Crash> = crashes
        .iter()
        .filter(|crash| crash.at > third + CONTACT && in_touch(crash.at))
        .collect();
    let others: u32 = late.iter().map(|crash| crash.others).sum();
    record.line(&format!(
        "{} crashes, the third at {:.1} s; {} retries reached runners later than contact_ms after it, from machines in \
         touch, and took {others} other requests with them; {} other requests failed in all",
        crashes.len(),
        third.as_secs_f64(),
        late.len(),
        lost.load(Ordering::SeqCst)
    ));
    if late.len() > PERMITTED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
