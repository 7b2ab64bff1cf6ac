//! Targets whose responses to the daemon have a status that HTTP does not define.

use almondcroft_core::Verdict;
use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd};
use almondcroftd::{block_on, sleep};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STATUSES: [&str; 5] = ["000", "099", "101", "600", "999"];

/// Time for a response that is not waited for; deadlines are 5 s or more.
const AT_ONCE: Duration = Duration::from_millis(1_500);

/// A target that answers calls with a status, and polls whole.
struct InvalidTarget {
    url: String,
    status: Arc<Mutex<&'static str>>,
    calls: Arc<AtomicUsize>,
}

impl InvalidTarget {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Self {
            url: format!("http://{}", listener.local_addr().unwrap()),
            status: Arc::new(Mutex::new(STATUSES[0])),
            calls: Arc::default(),
        };
        let (status, calls) = (Arc::clone(&target.status), Arc::clone(&target.calls));
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (status, calls) = (Arc::clone(&status), Arc::clone(&calls));
                std::thread::spawn(move || serve(socket, &status, &calls));
            }
        });
        target
    }
}

fn serve(mut socket: TcpStream, status: &Mutex<&'static str>, calls: &AtomicUsize) {
    let mut bytes = [0; 8192];
    while let Ok(count @ 1..) = socket.read(&mut bytes) {
        let request = String::from_utf8_lossy(&bytes[..count]);
        let load =
            r#"{"age_ms":0,"running":0,"waiting":0,"kv_used":0,"kv_total":9000,"preemptions":0}"#;
        let response = if request.starts_with("GET /load") {
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}",
                load.len()
            )
        } else if request.starts_with("GET ") {
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else if request.starts_with("DELETE ") {
            "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
        } else if request.starts_with("POST ") {
            calls.fetch_add(1, Ordering::SeqCst);
            let _ = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            let status = *status.lock().unwrap();
            format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
        } else {
            // The body of a request that is answered already.
            continue;
        };
        if socket.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

async fn start() -> (LocalDeployment, InvalidTarget) {
    let deployment = LocalDeployment::start(1, 1).await.unwrap();
    let target = InvalidTarget::start();
    let sheet = deployment.sheet();
    let sheet = sheet.replace(&deployment.orders.url(), &target.url);
    let sheet = sheet.replace(&deployment.engines[0].url(), &target.url);
    deployment.apply(&sheet).await.unwrap();
    (deployment, target)
}

/// Guards against a call that waits for the response behind an invalid status, or passes that on.
#[test]
fn call_with_an_invalid_status_is_a_502_at_once() {
    block_on(async {
        let (deployment, target) = start().await;
        let (url, caller) = (&deployment.vm_urls()[0], Caller::default());
        for service in ["orders", "lookups"] {
            for status in STATUSES {
                *target.status.lock().unwrap() = status;
                // A target that fails is not used for a while.
                loop {
                    let key = uuid::Uuid::now_v7().to_string();
                    let key = (service == "orders").then_some(key.as_str());
                    let before = target.calls.load(Ordering::SeqCst);
                    let sent_at = Instant::now();
                    let got = caller.call(url, service, key, "{}").await;
                    if target.calls.load(Ordering::SeqCst) > before {
                        assert_eq!(got.status, 502, "{service} {status}");
                        let verdict = got.verdict.as_deref();
                        assert_eq!(verdict, Some("may-have-run"), "{service} {status}");
                        let elapsed = sent_at.elapsed();
                        assert!(elapsed < AT_ONCE, "{service} {status}: {elapsed:?}");
                        break;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
}

/// Guards against a generation that waits for the stream behind an invalid status.
#[test]
fn generation_with_an_invalid_status_is_a_problem_at_once() {
    block_on(async {
        let (deployment, target) = start().await;
        let (url, caller) = (&deployment.vm_urls()[0], Caller::default());
        for status in STATUSES {
            *target.status.lock().unwrap() = status;
            loop {
                let before = target.calls.load(Ordering::SeqCst);
                let sent_at = Instant::now();
                let got = caller.stream(url, &format!("soup {status}"), 5).await;
                let StreamEnd::Problem(problem) = got.end else {
                    panic!("{status}: {got:?}");
                };
                if target.calls.load(Ordering::SeqCst) > before {
                    assert_ne!(problem.verdict, Verdict::NotRun, "{status}: {problem:?}");
                    let elapsed = sent_at.elapsed();
                    assert!(elapsed < AT_ONCE, "{status}: {elapsed:?}");
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    });
}
