//! Requests that the daemon sends to another target, while the one before would work on.

use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd};
use almondcroftd::{block_on, sleep};
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which two targets may work on a request at once.
const PERMITTED: Duration = Duration::from_millis(400);

/// Time for which a target works on a request, unless it is told that nobody wants the response.
const WORK_TIME: Duration = Duration::from_secs(12);

/// How the first target that gets a request fails it, and works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// Bytes that are no response.
    NoHttp,
    /// A failure.
    Status500,
    /// Bytes that are no chunk, after the head.
    SpoiledBody,
    /// Nothing arrives.
    Silence,
}

impl Defect {
    const fn bytes(self) -> &'static str {
        match self {
            Self::NoHttp => "no response\r\n\r\n",
            Self::Status500 => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
            Self::SpoiledBody => {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nspoiled\r\n"
            }
            Self::Silence => "",
        }
    }
}

/// What comes of the first call that cancels a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstCancel {
    /// It has its effect.
    Effective,
    /// Its connection is closed, and it has no effect.
    Lost,
    /// The engine fails.
    Failed,
    /// The engine has not read the request that starts the generation yet.
    Early,
}

impl FirstCancel {
    const fn response(self) -> Option<u16> {
        match self {
            Self::Effective => Some(204),
            Self::Lost => None,
            Self::Failed => Some(500),
            Self::Early => Some(404),
        }
    }
}

/// The times at which the first target stopped its work, and the next one got the request.
#[derive(Debug, Default)]
struct Times {
    is_failed: bool,
    /// Whether the first call that cancels a generation has come.
    is_cancelled: bool,
    stopped: Option<Instant>,
    next: Option<Instant>,
}

/// Two targets of which the first one that gets a request fails it.
struct Targets {
    urls: Vec<String>,
    times: Arc<Mutex<Times>>,
}

impl Targets {
    fn start(defect: Defect) -> Self {
        Self::with_first_cancel(defect, FirstCancel::Effective)
    }

    fn with_first_cancel(defect: Defect, first: FirstCancel) -> Self {
        let times = Arc::new(Mutex::new(Times::default()));
        let urls = (0..2).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let url = format!("http://{}", listener.local_addr().unwrap());
            let (times, has_failed) = (Arc::clone(&times), Arc::new(Mutex::new(false)));
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let (times, has_failed) = (Arc::clone(&times), Arc::clone(&has_failed));
                    thread::spawn(move || serve(socket, (defect, first), &times, &has_failed));
                }
            });
            url
        });
        Self {
            urls: urls.collect(),
            times,
        }
    }

    /// Returns for how long the first target worked on beside the next one.
    async fn overlap(&self) -> Duration {
        let end = Instant::now() + PERMITTED;
        while Instant::now() < end && self.times.lock().unwrap().stopped.is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        let times = self.times.lock().unwrap();
        let next = times.next.expect("the request is not sent elsewhere");
        let stopped = times.stopped.unwrap_or(Instant::now() + WORK_TIME);
        stopped.saturating_duration_since(next)
    }
}

/// Serves a connection; `has_failed` tells whether this target failed the request.
fn serve(
    mut socket: TcpStream,
    (defect, first): (Defect, FirstCancel),
    times: &Mutex<Times>,
    has_failed: &Mutex<bool>,
) {
    while let Some((line, body)) = read_request(&mut socket) {
        let load =
            r#"{"age_ms":0,"running":0,"waiting":0,"kv_used":0,"kv_total":900000,"preemptions":0}"#;
        if line.starts_with("GET /load") {
            let _ = socket.write_all(framed(200, load).as_bytes());
            continue;
        }
        if line.starts_with("DELETE") {
            let is_first = !std::mem::replace(&mut times.lock().unwrap().is_cancelled, true);
            if is_first && first != FirstCancel::Effective {
                let Some(status) = first.response() else {
                    return;
                };
                let _ = socket.write_all(framed(status, "").as_bytes());
                continue;
            }
            times.lock().unwrap().stopped.get_or_insert(Instant::now());
            let _ = socket.write_all(framed(204, "").as_bytes());
            continue;
        }
        if line.starts_with("GET") {
            // A call that resumes the generation.
            fail(&mut socket, defect);
            continue;
        }
        let is_first = !std::mem::replace(&mut times.lock().unwrap().is_failed, true);
        if is_first {
            *has_failed.lock().unwrap() = true;
            let is_generation = line.contains("completions");
            fail(&mut socket, defect);
            work(&mut socket);
            // A generation goes on without its connection, until it is deleted.
            if !is_generation {
                times.lock().unwrap().stopped.get_or_insert(Instant::now());
            }
            return;
        }
        if !*has_failed.lock().unwrap() {
            times.lock().unwrap().next.get_or_insert(Instant::now());
        }
        let _ = socket.write_all(answer(&line, &body).as_bytes());
    }
}

fn fail(socket: &mut TcpStream, defect: Defect) {
    let _ = socket.write_all(defect.bytes().as_bytes());
}

/// Works until the connection closes or the work is done.
fn work(socket: &mut TcpStream) {
    let end = Instant::now() + WORK_TIME;
    let _ = socket.set_read_timeout(Some(Duration::from_millis(10)));
    while Instant::now() < end {
        match socket.read(&mut [0]) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => return,
        }
    }
}

fn answer(line: &str, body: &str) -> String {
    if !line.contains("completions") {
        return framed(200, "done");
    }
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let event = |number: u64, reason: Option<&str>| {
        let choice = json!({"index": 0, "text": "a", "finish_reason": reason});
        let chunk = json!({"id": body["request_id"], "choices": [choice]});
        format!("id: {number}\ndata: {chunk}\n\n")
    };
    let events = [event(0, None), event(1, Some("stop"))].concat();
    framed(200, &(events + "data: [DONE]\n\n"))
}

fn framed(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn read_request(socket: &mut TcpStream) -> Option<(String, String)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let lower = head.to_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    if lower.contains("expect: 100-continue") {
        socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
    }
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    socket.read_exact(&mut body).ok()?;
    Some((
        head.lines().next()?.to_owned(),
        String::from_utf8(body).ok()?,
    ))
}

/// Starts a deployment whose engines, or plain targets, are those of a test.
async fn deploy(targets: &Targets, engines: bool) -> LocalDeployment {
    let deployment = LocalDeployment::start(1, 2).await.unwrap();
    let sheet = deployment.sheet();
    let sheet = if engines {
        let pairs = deployment.engines.iter().zip(&targets.urls);
        pairs.fold(sheet, |sheet, (engine, url)| {
            sheet.replace(&engine.url(), url)
        })
    } else {
        let old = deployment.orders.url();
        let row = sheet.lines().find(|line| line.contains(&old)).unwrap();
        let rows = targets.urls.iter().enumerate().map(|(number, url)| {
            let name = format!("orders-{number}");
            row.replace("orders-0", &name).replace(&old, url)
        });
        let rows: Vec<_> = rows.collect();
        sheet.replace(row, &rows.join("\n"))
    };
    deployment.apply(&sheet).await.unwrap();
    deployment
}

/// Guards against a generation that runs on at its first engine after the daemon has sent the request to another one.
#[test]
fn generation_that_is_sent_elsewhere_is_cancelled_at_its_first_engine() {
    for defect in [Defect::Status500, Defect::NoHttp, Defect::Silence] {
        let targets = Targets::start(defect);
        block_on(async {
            let deployment = deploy(&targets, true).await;
            let streamed = Caller::default()
                .stream(&deployment.vm_urls()[0], "prompt", 2)
                .await;
            assert_eq!(streamed.end, StreamEnd::Done, "{defect:?}");
            let overlap = targets.overlap().await;
            assert!(overlap <= PERMITTED, "{defect:?}: {overlap:?} at once");
        });
    }
}

/// Guards against a generation that runs on at its first engine because the call that cancels it has no effect.
#[test]
fn generation_whose_cancellation_fails_once_is_cancelled_all_the_same() {
    for first in [FirstCancel::Lost, FirstCancel::Failed, FirstCancel::Early] {
        let targets = Targets::with_first_cancel(Defect::Status500, first);
        block_on(async {
            let deployment = deploy(&targets, true).await;
            let streamed = Caller::default()
                .stream(&deployment.vm_urls()[0], "prompt", 2)
                .await;
            assert_eq!(streamed.end, StreamEnd::Done, "{first:?}");
            let overlap = targets.overlap().await;
            assert!(overlap <= PERMITTED, "{first:?}: {overlap:?} at once");
        });
    }
}

/// Guards against a call that its first target works on after the daemon has sent it to another one.
#[test]
fn call_that_is_sent_elsewhere_is_closed_at_its_first_target() {
    for defect in [Defect::NoHttp, Defect::SpoiledBody] {
        let targets = Targets::start(defect);
        block_on(async {
            let deployment = deploy(&targets, false).await;
            let vm = &deployment.vm_urls()[0];
            let reply = Caller::default().call(vm, "lookups", None, "{}").await;
            assert_eq!(
                (reply.status, reply.body.as_str()),
                (200, "done"),
                "{defect:?}"
            );
            let overlap = targets.overlap().await;
            assert!(overlap <= PERMITTED, "{defect:?}: {overlap:?} at once");
        });
    }
}
