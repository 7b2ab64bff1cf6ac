//! Targets, stores and callers that send more bytes to the daemon than a VM can hold.

#![cfg(target_os = "linux")]

use almondcroft_core::ledger::{Expected, ObjectStore};
use almondcroft_proto::peer::RPC_PATH;
use almondcroft_proto::vm_list::{VmEntry, VmState};
use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd, TOKEN};
use almondcroftd::http::Outbound;
use almondcroftd::{HttpStore, block_on, sleep, spawn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, LazyLock, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of a VM, in bytes.
const MEMORY: usize = 256 * 1024 * 1024;

/// Number of calls at once, of each form.
const RESPONSES: usize = 30;

/// Time for which generations and load reports without end are played.
const PLAY_TIME: Duration = Duration::from_secs(2);

/// Time within which a connection is closed whose response is of no use.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// The ports of the servers.
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// The ports of the daemons to which callers send bodies.
static VM_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Held by each test, as memory is measured for the whole process.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

const LOAD: &str =
    r#"{"age_ms":0,"running":0,"waiting":0,"kv_used":0,"kv_total":900000,"preemptions":0}"#;

/// A server whose responses have no end.
struct Endless {
    url: String,
    /// Number of responses that were started, and of those whose connections the other end closed.
    started: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Endless {
    /// Responds to all requests, or to all but polls of the load.
    fn start(start: &str, rest: &str, polls: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        PORTS.lock().unwrap().push(address.port());
        let server = Self {
            url: format!("http://{address}"),
            started: Arc::default(),
            closed: Arc::default(),
            ended: Arc::default(),
        };
        let (started, closed) = (Arc::clone(&server.started), Arc::clone(&server.closed));
        let ended = Arc::clone(&server.ended);
        let (start, block) = (start.to_owned(), rest.repeat(64 * 1024 / rest.len()));
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let (started, closed) = (Arc::clone(&started), Arc::clone(&closed));
                let (start, block) = (start.clone(), block.clone());
                let ended = Arc::clone(&ended);
                thread::spawn(move || {
                    while let Some(request) = read_head(&mut socket) {
                        if !polls && request.starts_with("GET /load") {
                            let length = LOAD.len();
                            let head =
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                            let _ = socket.write_all((head + LOAD).as_bytes());
                            continue;
                        }
                        if request.contains("100-continue") {
                            let _ = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                        }
                        started.fetch_add(1, Ordering::SeqCst);
                        let mut sent = socket.write_all(start.as_bytes());
                        while sent.is_ok() && !ended.load(Ordering::Relaxed) {
                            sent = socket.write_all(block.as_bytes());
                        }
                        closed.fetch_add(usize::from(sent.is_err()), Ordering::SeqCst);
                        return;
                    }
                });
            }
        });
        server
    }

    /// Waits until all connections are closed; returns the number of those that stay open.
    async fn open_connections(&self) -> usize {
        let end = Instant::now() + CLOSE_TIME;
        loop {
            let started = self.started.load(Ordering::SeqCst);
            let open = started - self.closed.load(Ordering::SeqCst).min(started);
            if open == 0 || Instant::now() > end {
                return open;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Endless {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn read_head(socket: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.unwrap().trim().strip_suffix(" kB").unwrap();
    kilobytes.trim().parse::<usize>().unwrap() * 1024
}

/// Returns the bytes that connections of daemons of this test have received and that were not read.
fn unread() -> usize {
    let (ports, vm_ports) = (
        PORTS.lock().unwrap().clone(),
        VM_PORTS.lock().unwrap().clone(),
    );
    let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = connections.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let port = |address: &str| u16::from_str_radix(address.split_once(':')?.1, 16).ok();
        let (local, remote) = (port(fields.next()?)?, port(fields.next()?)?);
        let received = usize::from_str_radix(fields.nth(1)?.split_once(':')?.1, 16).ok()?;
        (ports.contains(&remote) || vm_ports.contains(&local)).then_some(received)
    });
    queues.sum()
}

/// Records the largest memory, with bytes that were received and not read, until the flag is set.
fn measure(ended: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let ended = Arc::clone(ended);
    thread::spawn(move || {
        let mut peak = 0;
        while !ended.load(Ordering::SeqCst) {
            peak = peak.max(resident() + unread());
            thread::sleep(Duration::from_millis(5));
        }
        peak
    })
}

/// Forms of responses without end: their start, and what follows again and again.
const FORMS: [(&str, &str); 9] = [
    ("", "garbage "),
    ("HTTP/1.1 200 OK\r\nX: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "X: a\r\n"),
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        "body",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "a",
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", "body"),
    (
        "HTTP/1.1 500 Error\r\nContent-Length: 9999999999\r\n\r\n",
        "body",
    ),
];

/// What came of one form.
struct Outcome {
    started: usize,
    open: usize,
}

/// Plays all forms at once; checks that each was played, that connections are closed, and the memory of all together.
fn check(polls: bool, play: impl Fn(&Endless) -> usize + Sync) {
    let _exclusive = exclusive();
    let (ended, base) = (Arc::new(AtomicBool::new(false)), resident());
    let measured = measure(&ended);
    let outcomes: Vec<_> = thread::scope(|scope| {
        let plays = FORMS.map(|(start, rest)| {
            let play = &play;
            scope.spawn(move || {
                let server = Endless::start(start, rest, polls);
                let open = play(&server);
                let started = server.started.load(Ordering::SeqCst);
                (start, rest, Outcome { started, open })
            })
        });
        plays.map(|play| play.join().unwrap()).into()
    });
    ended.store(true, Ordering::SeqCst);
    let added = measured.join().unwrap().saturating_sub(base);
    let lines: Vec<_> = outcomes
        .iter()
        .map(|(start, rest, outcome)| {
            let Outcome { started, open } = outcome;
            format!("{start:?} {rest:?}: {started} started, {open} open")
        })
        .collect();
    let lines = lines.join("\n");
    eprintln!("{added} bytes\n{lines}");
    let is_sound = |outcome: &Outcome| outcome.started > 0 && outcome.open == 0;
    assert!(
        outcomes.iter().all(|(_, _, outcome)| is_sound(outcome)),
        "{lines}"
    );
    assert!(added <= MEMORY, "{added} bytes\n{lines}");
}

/// Starts a deployment whose only target of a kind is another one.
async fn deploy(old: impl Fn(&LocalDeployment) -> String, new: &str) -> LocalDeployment {
    let deployment = LocalDeployment::start(1, 1).await.unwrap();
    let sheet = deployment.sheet().replace(&old(&deployment), new);
    deployment.apply(&sheet).await.unwrap();
    deployment
}

/// Guards against plain calls whose responses without end take the memory of the VM, or are read on after the call has
/// failed.
#[test]
fn calls_with_responses_without_end_leave_the_memory_of_a_vm() {
    check(false, |target| {
        block_on(async {
            let deployment = deploy(|deployment| deployment.orders.url(), &target.url).await;
            let vm = deployment.vm_urls()[0].clone();
            let calls: Vec<_> = (0..RESPONSES)
                .map(|number| {
                    let (vm, (sender, done)) = (vm.clone(), async_channel::bounded(1));
                    spawn(async move {
                        let body = format!("call-{number}");
                        let reply = Caller::default().call(&vm, "lookups", None, &body).await;
                        let _ = sender.send(reply.status).await;
                    });
                    done
                })
                .collect();
            for call in calls {
                let status = call.recv().await.unwrap();
                assert!(status >= 500, "{status}");
            }
            target.open_connections().await
        })
    });
}

/// Guards against generations without end that take the memory of the VM, or are read on after they are of no use.
#[test]
fn generations_without_end_leave_the_memory_of_a_vm() {
    check(false, |engine| {
        block_on(async {
            let deployment = deploy(|deployment| deployment.engines[0].url(), &engine.url).await;
            let vm = deployment.vm_urls()[0].clone();
            for number in 0..8 {
                let vm = vm.clone();
                spawn(async move {
                    let prompt = format!("prompt {number}");
                    let streamed = Caller::default().stream(&vm, &prompt, 4).await;
                    assert!(streamed.end != StreamEnd::Done);
                });
            }
            sleep(PLAY_TIME).await;
            drop(deployment);
            engine.open_connections().await
        })
    });
}

/// Guards against load reports without end that take the memory of the VM, or are read on after the poll has failed.
#[test]
fn load_reports_without_end_leave_the_memory_of_a_vm() {
    check(true, |engine| {
        block_on(async {
            let deployment = deploy(|deployment| deployment.engines[0].url(), &engine.url).await;
            sleep(PLAY_TIME).await;
            drop(deployment);
            engine.open_connections().await
        })
    });
}

/// Guards against responses of another VM without end that take the memory of the VM, or are read on after the call has
/// failed.
#[test]
fn calls_to_other_vms_without_end_leave_the_memory_of_a_vm() {
    check(true, |other| {
        block_on(async {
            let deployment = LocalDeployment::start(1, 1).await.unwrap();
            let entry = |id: &str, address: String| VmEntry {
                id: id.into(),
                address,
                zone: "quito-a".into(),
                state: VmState::Live,
            };
            deployment.vm_list_state.set(&[
                entry("entry-0", deployment.vm_urls()[0].clone()),
                entry("entry-1", other.url.clone()),
            ]);
            sleep(PLAY_TIME * 2).await;
            drop(deployment);
            other.open_connections().await
        })
    });
}

/// Guards against responses of the store without end that are read on after the call has failed.
#[test]
fn store_calls_without_end_are_closed() {
    check(true, |server| {
        block_on(async {
            let store = HttpStore::new(&server.url, Outbound::new());
            let _ = store.put("a", b"{}".to_vec(), Expected::Absent).await;
            let _ = store.get("a").await;
            let _ = store.list("a").await;
            let _ = store.watch("a", 1, Duration::from_millis(100)).await;
            server.open_connections().await
        })
    });
}

/// Starts an engine that sends valid events of 200 KiB without end, until its connection closes.
fn endless_engine() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    PORTS.lock().unwrap().push(address.port());
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let count = Arc::clone(&count);
            thread::spawn(move || {
                while let Some(head) = read_head(&mut socket) {
                    let generation = read_generation(&head, &mut socket);
                    if let Some(generation) = generation {
                        send_events(&mut socket, &generation, &count);
                        return;
                    }
                    let body = if head.starts_with("GET /load") {
                        LOAD
                    } else {
                        ""
                    };
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    let _ = socket.write_all((head + body).as_bytes());
                }
            });
        }
    });
    (format!("http://{address}"), sent)
}

/// Reads the body of a request; returns the id of the generation that it starts.
fn read_generation(head: &str, socket: &mut TcpStream) -> Option<String> {
    let head = head.to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    if head.contains("100-continue") {
        socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
    }
    let mut body = vec![0; length.parse().ok()?];
    socket.read_exact(&mut body).ok()?;
    let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
    Some(body["request_id"].as_str()?.to_owned())
}

fn send_events(socket: &mut TcpStream, generation: &str, count: &AtomicUsize) {
    let text = "x".repeat(200 * 1024);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let mut sent = socket.write_all(head.as_bytes());
    for number in 0_u64.. {
        if sent.is_err() {
            return;
        }
        let chunk = serde_json::json!({"id": generation, "choices": [{"text": text}]});
        sent = socket.write_all(format!("id: {number}\ndata: {chunk}\n\n").as_bytes());
        count.fetch_add(1, Ordering::SeqCst);
    }
}

/// Sends a completion request on a connection whose response is not read.
fn request_completion(address: SocketAddr, number: usize, stream: bool) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    let body = serde_json::json!({
        "model": "menus", "prompt": format!("prompt {number}"), "stream": stream, "max_tokens": 100,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all((head + body.as_str()).as_bytes()).unwrap();
    socket
}

/// Plays generations whose valid events have no end; returns the memory that they add, and the connections of the callers.
fn play_events(stream: bool) -> (usize, Vec<TcpStream>) {
    let (ended, base) = (Arc::new(AtomicBool::new(false)), resident());
    let measured = measure(&ended);
    let (url, sent) = endless_engine();
    let callers = block_on(async {
        let deployment = deploy(|deployment| deployment.engines[0].url(), &url).await;
        let vm = deployment.vm_urls()[0].clone();
        let address = vm.strip_prefix("http://").unwrap().parse().unwrap();
        let callers = (0..RESPONSES).map(|number| request_completion(address, number, stream));
        let callers: Vec<_> = callers.collect();
        sleep(PLAY_TIME * 2).await;
        for caller in &callers {
            caller.set_read_timeout(Some(PLAY_TIME)).unwrap();
        }
        drop(deployment);
        callers
    });
    ended.store(true, Ordering::SeqCst);
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent > RESPONSES, "{sent} events");
    (measured.join().unwrap().saturating_sub(base), callers)
}

/// Guards against valid events without end that wait in memory for callers that do not read.
#[test]
fn events_without_end_to_callers_that_do_not_read_leave_the_memory_of_a_vm() {
    let _exclusive = exclusive();
    let (added, _callers) = play_events(true);
    eprintln!("{added} bytes");
    assert!(added <= MEMORY, "{added} bytes");
}

/// Guards against a generation without end that is collected for its caller until the memory of the VM is full.
#[test]
fn collected_generations_without_end_leave_the_memory_of_a_vm() {
    let _exclusive = exclusive();
    let (added, callers) = play_events(false);
    eprintln!("{added} bytes");
    assert!(added <= MEMORY, "{added} bytes");
    for mut caller in callers {
        let mut status = [0; 12];
        caller.read_exact(&mut status).unwrap();
        assert_eq!(&status, b"HTTP/1.1 502", "a generation has no response");
    }
}

/// Number of callers that send a body at once.
const UPLOADS: usize = 400;

/// Size of a body, in bytes; the daemon permits a megabyte.
const UPLOAD_BYTES: usize = 1_000_000;

/// The body that callers send; they share it, as their memory is measured, too.
static UPLOAD: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; UPLOAD_BYTES]);

/// Sends a request whose body ends after a time; returns the status of its response, or zero.
fn upload(address: SocketAddr, path: &str, hold: Duration) -> u16 {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(PLAY_TIME * 5)).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let sent = socket.write_all(head.as_bytes());
    let sent = sent.and_then(|()| socket.write_all(&UPLOAD[1..]));
    thread::sleep(hold);
    let _ = sent.and_then(|()| socket.write_all(&UPLOAD[..1]));
    let mut status = [0; 12];
    if socket.read_exact(&mut status).is_err() {
        return 0;
    }
    let text = String::from_utf8_lossy(&status).into_owned();
    text.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// Sends many bodies at once; returns the memory that they add, the statuses, and the number of small calls of others that
/// are served meanwhile, of ten.
fn play_uploads(path: &str) -> (usize, Vec<u16>, usize) {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let vm = deployment.vm_urls()[0].clone();
        let address: SocketAddr = vm.strip_prefix("http://").unwrap().parse().unwrap();
        VM_PORTS.lock().unwrap().push(address.port());
        assert_eq!(UPLOAD.len(), UPLOAD_BYTES);
        let (ended, base) = (Arc::new(AtomicBool::new(false)), resident());
        let measured = measure(&ended);
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|_| {
                let path = path.to_owned();
                let caller = thread::Builder::new().stack_size(256 * 1024);
                let run = move || upload(address, &path, PLAY_TIME);
                caller.spawn(run).unwrap()
            })
            .collect();
        let mut served = 0;
        for number in 0..10 {
            sleep(PLAY_TIME / 10).await;
            let body = format!("small-{number}");
            let reply = Caller::default().call(&vm, "lookups", None, &body).await;
            served += usize::from(reply.status == 200);
        }
        let statuses = uploads.into_iter().map(|upload| upload.join().unwrap());
        let statuses: Vec<u16> = statuses.collect();
        ended.store(true, Ordering::SeqCst);
        let added = measured.join().unwrap().saturating_sub(base);
        (added, statuses, served)
    })
}

/// Guards against bodies of many callers that take the memory of the VM together.
#[test]
fn uploads_leave_the_memory_of_a_vm() {
    let _exclusive = exclusive();
    let (added, statuses, served) = play_uploads("/v1/services/lookups/a");
    let count = |status| statuses.iter().filter(|other| **other == status).count();
    eprintln!(
        "{added} bytes, {served} small calls, {} with 200, {} with 503",
        count(200),
        count(503)
    );
    assert!(added <= MEMORY, "{added} bytes");
    assert_eq!(served, 10, "calls of others are served");
    assert!(count(200) > 0, "some have room: {statuses:?}");
}

/// Guards against bodies of callers that are no VMs, which take the memory of the VM before they are refused.
#[test]
fn uploads_of_strangers_leave_the_memory_of_a_vm() {
    let _exclusive = exclusive();
    let (added, statuses, served) = play_uploads(RPC_PATH);
    eprintln!("{added} bytes, {served} small calls");
    assert!(added <= MEMORY, "{added} bytes");
    assert_eq!(served, 10, "calls of others are served");
    assert!(!statuses.contains(&200), "{statuses:?}");
}

/// Number and size of large sound responses at once, in bytes.
const LARGE_RESPONSES: usize = 5;
const LARGE_BYTES: usize = 15_000_000;

/// Starts a target that sends a large response to each of several calls once all of them have arrived.
fn large_target() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let all = Arc::new(Barrier::new(LARGE_RESPONSES));
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let all = Arc::clone(&all);
            thread::spawn(move || {
                if read_head(&mut socket).is_some() {
                    all.wait();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n");
                    let sent = socket.write_all(head.as_bytes());
                    let _ = sent.and_then(|()| socket.write_all(&vec![b'x'; LARGE_BYTES]));
                }
            });
        }
    });
    url
}

/// Guards against sound responses that fail because the process collects others at the same time.
#[test]
fn large_responses_at_once_are_whole() {
    let _exclusive = exclusive();
    let url = large_target();
    block_on(async {
        let deployment = deploy(|deployment| deployment.orders.url(), &url).await;
        let vm = deployment.vm_urls()[0].clone();
        let address: SocketAddr = vm.strip_prefix("http://").unwrap().parse().unwrap();
        let calls: Vec<_> = (0..LARGE_RESPONSES)
            .map(|_| {
                let (sender, done) = async_channel::bounded(1);
                thread::spawn(move || {
                    let mut socket = TcpStream::connect(address).unwrap();
                    let head = format!(
                        "GET /v1/services/lookups/a HTTP/1.1\r\nHost: vm\r\n\
                         Authorization: Bearer {TOKEN}\r\nConnection: close\r\n\r\n"
                    );
                    socket.write_all(head.as_bytes()).unwrap();
                    let mut response = Vec::new();
                    let _ = socket.read_to_end(&mut response);
                    let is_whole =
                        response.starts_with(b"HTTP/1.1 200") && response.len() > LARGE_BYTES;
                    let _ = sender.send_blocking(is_whole);
                });
                done
            })
            .collect();
        let mut whole = 0;
        for call in calls {
            whole += usize::from(call.recv().await.unwrap());
        }
        assert_eq!(whole, LARGE_RESPONSES);
    });
}
