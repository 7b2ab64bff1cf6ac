//! A request takes the machines of the runners that run it down, without a word: they go dark, and are back after some seconds.

use review_standins_3::client::call;
use review_standins_3::gateway::Gateway;
use review_standins_3::http::{Message, Reader, send};
use review_standins_3::pause;
use review_standins_3::record::Record;
use review_standins_3::store::Store;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CONTACT_S: f64 = 4.0;
/// Number of retries that the rule permits.
const PERMITTED: usize = 3;
const KEY: &str = "xd9dnn2ctnfzs989anu6";
const GATEWAYS: usize = 3;
const RUNNERS: usize = 24;
/// Time after which a runner that crashed is back, in milliseconds.
const BACK_MS: u64 = 3_000;
/// Seconds between two times at which the request comes again.
const INTERVAL_S: f64 = 1.0;
const END_S: f64 = 40.0;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","hostname":"ficu95.example","path_prefix":"/pule252/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":250,"priority":2,"service":"desk","attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// A run of the crashing request: its id and the time at which it arrived.
type Crashes = Arc<Mutex<Vec<(String, f64)>>>;

/// A runner that crashes when it begins to run the request, and is back after a while.
struct Runner {
    id: String,
    address: SocketAddr,
    born: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// Whether the machine goes dark; otherwise only the process ends, and its connections are closed.
    goes_dark: bool,
    store: Store,
    record: Record,
    crashes: Crashes,
}

impl Runner {
    fn start(number: usize, goes_dark: bool, store: &Store, record: &Record, crashes: &Crashes) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Self {
            id: format!("i-{number}"),
            address: listener.local_addr().expect("an address"),
            born: AtomicU64::new(1_785_061_651_000 + number as u64),
            sockets: Mutex::default(),
            is_down: AtomicBool::new(false),
            goes_dark,
            store: store.clone(),
            record: record.clone(),
            crashes: Arc::clone(crashes),
        });
        runner.register();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let current = listener.take().unwrap_or_else(|| {
                    TcpListener::bind(runner.address).expect("the address is still free")
                });
                current.set_nonblocking(true).expect("a listener");
                if runner.is_down.swap(false, Ordering::SeqCst) {
                    runner.born.fetch_add(60_000, Ordering::SeqCst);
                    runner.register();
                    runner.record.line(&format!("{} is back", runner.id));
                }
                while !runner.is_down.load(Ordering::SeqCst) {
                    match current.accept() {
                        Ok((socket, _)) => Arc::clone(&runner).accept(socket),
                        Err(_) => pause(1),
                    }
                }
                if runner.goes_dark {
                    let fillers = fill(&current);
                    pause(BACK_MS);
                    drop(fillers);
                    // What was open before is unknown to the machine that is back.
                    runner.sockets.lock().expect("usable").clear();
                    drop(current);
                } else {
                    drop(current);
                    pause(BACK_MS);
                }
            }
        });
    }

    fn register(&self) {
        let entry = format!(
            r#"{{"service":"desk","address":"{}","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            self.address,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn accept(self: Arc<Self>, socket: TcpStream) {
        let _ = (socket.set_nonblocking(false), socket.set_nodelay(true));
        if let Ok(copy) = socket.try_clone() {
            self.sockets.lock().expect("usable").push(copy);
        }
        thread::spawn(move || {
            let _ = self.serve(socket);
        });
    }

    fn serve(&self, socket: TcpStream) -> std::io::Result<()> {
        let born = self.born.load(Ordering::SeqCst);
        let mut writer = socket.try_clone()?;
        let mut reader = Reader::new(socket);
        while let Some(request) = reader.message()? {
            if self.is_down.load(Ordering::SeqCst) || born != self.born.load(Ordering::SeqCst) {
                self.stay_dark();
                return Ok(());
            }
            self.run(&request, &mut writer)?;
        }
        Ok(())
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request
            .header("X-Almondcroft-Request-Id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("X-Almondcroft-Expect-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return send(
                writer,
                "HTTP/1.1 421 Misdirected Request",
                &[("X-Almondcroft-Request-Id", &id)],
                b"",
            );
        }
        if request.body == b"crash" {
            let at = self
                .record
                .line(&format!("run {id} at {}, which crashes", self.id));
            self.is_down.store(true, Ordering::SeqCst);
            if !self.goes_dark {
                for socket in self.sockets.lock().expect("usable").drain(..) {
                    let _ = socket.shutdown(Shutdown::Both);
                }
            }
            self.crashes.lock().expect("usable").push((id, at));
            self.stay_dark();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        pause(30);
        if self.is_down.load(Ordering::SeqCst) {
            self.stay_dark();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let headers = [
            ("X-Almondcroft-Request-Id", id.as_str()),
            ("X-Almondcroft-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Almondcroft-Instance-Load", "1,0,8"),
            ("Keep-Alive", "timeout=5"),
        ];
        send(
            writer,
            "HTTP/1.1 200 OK",
            &headers,
            format!("done {id}").as_bytes(),
        )
    }

    /// Keeps a connection open and silent until the machine is back.
    fn stay_dark(&self) {
        while self.goes_dark && self.is_down.load(Ordering::SeqCst) {
            pause(5);
        }
    }
}

/// Fills the queue of new connections of a listener, so that further opening packets get no answer.
fn fill(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().expect("an address");
    // SAFETY: the descriptor is that of an open listener.
    unsafe { listen(listener.as_raw_fd(), 0) };
    let mut fillers = Vec::new();
    while fillers.len() < 16 {
        match TcpStream::connect_timeout(&address, Duration::from_millis(20)) {
            Ok(filler) => fillers.push(filler),
            Err(_) => break,
        }
    }
    fillers
}

fn main() -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a folder for the record"));
    let temporary = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    let (store, crashes) = (Store::start(), Crashes::default());
    store.put("config", "main", CONFIG);
    (0..RUNNERS).for_each(|number| Runner::start(number, trouble, &store, &record, &crashes));
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| {
            Gateway::new(
                &temporary,
                &format!("front-z-a-{}", i + 1),
                store.address,
                true,
            )
        })
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway did not become ready");
        return ExitCode::from(2);
    }
    // The gateways hear of each other, and all machines have been in touch for a while.
    pause(5_000);
    let (over, lost) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let others: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(number, gateway)| {
            let (over, lost, record, to) = (
                Arc::clone(&over),
                Arc::clone(&lost),
                record.clone(),
                gateway.listen,
            );
            thread::spawn(move || {
                let mut count = 0;
                while !over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("b{number}{count:06x}");
                    let answer = call(
                        to,
                        "POST /pule252/2f HTTP/1.1",
                        &id,
                        1500,
                        KEY,
                        format!("rent {id}").as_bytes(),
                    );
                    let status = answer.map_or(0, |answer| answer.status());
                    if status == 502 || status == 504 || status == 0 {
                        record.line(&format!(
                            "answer {id} {status}: an order of another client is lost"
                        ));
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    pause(100);
                }
            })
        })
        .collect();
    let start = record.line("the request comes for the first time");
    let mut round = 0;
    while record.now() - start < END_S {
        let gateway = &gateways[round % GATEWAYS];
        let id = format!("c{round:04x}");
        record.line(&format!("send {id} to {}", gateway.name));
        let answer = call(
            gateway.listen,
            "POST /pule252/2f HTTP/1.1",
            &id,
            1500,
            KEY,
            b"crash",
        );
        let status = answer.map_or("closed".into(), |answer| answer.status().to_string());
        record.line(&format!("answer {id} {status}"));
        round += 1;
        let next = start + f64::from(u32::try_from(round).expect("few")) * INTERVAL_S;
        pause(((next - record.now()).max(0.0) * 1_000.0) as u64);
    }
    over.store(true, Ordering::SeqCst);
    others
        .into_iter()
        .for_each(|client| client.join().expect("a client ends"));
    if gateways.iter_mut().any(Gateway::has_ended) {
        record.line("a gateway has ended by itself");
        return ExitCode::from(2);
    }
    let mut crashes: Vec<f64> = crashes
        .lock()
        .expect("usable")
        .iter()
        .map(|(_, at)| *at)
        .collect();
    crashes.sort_by(f64::total_cmp);
    let third = crashes.get(2).copied().unwrap_or(f64::INFINITY);
    let late = crashes.iter().filter(|at| **at > third + CONTACT_S).count();
    record.line(&format!(
        "the request crashed {} runners; {late} retries reached runners later than {CONTACT_S} s after it had crashed the third ({PERMITTED} are permitted); {} orders of other clients were lost",
        crashes.len(),
        lost.load(Ordering::SeqCst)
    ));
    if late > PERMITTED {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}
