//! Targets whose responses break off within their heads.

use almondcroft_core::Verdict;
use almondcroft_standin::demo::{Caller, LocalDeployment, Reply, StreamEnd, TOKEN};
use almondcroftd::{block_on, sleep};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1200\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// A target that breaks off each response to a call, and responds whole to polls.
struct CutTarget {
    url: String,
    /// Bytes after which the connection is closed or, with `reset`, reset.
    text: Arc<Mutex<(String, bool)>>,
    calls: Arc<AtomicUsize>,
}

impl CutTarget {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Self {
            url: format!("http://{}", listener.local_addr().unwrap()),
            text: Arc::default(),
            calls: Arc::default(),
        };
        let (text, calls) = (Arc::clone(&target.text), Arc::clone(&target.calls));
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (text, calls) = (Arc::clone(&text), Arc::clone(&calls));
                std::thread::spawn(move || serve(socket, &text, &calls));
            }
        });
        target
    }

    fn cut(&self, text: &str, reset: bool) {
        *self.text.lock().unwrap() = (text.to_owned(), reset);
    }
}

fn serve(mut socket: TcpStream, text: &Mutex<(String, bool)>, calls: &AtomicUsize) {
    let mut bytes = [0; 8192];
    loop {
        let count = socket.read(&mut bytes).unwrap_or(0);
        if count == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&bytes[..count]);
        let load =
            r#"{"age_ms":0,"running":0,"waiting":0,"kv_used":0,"kv_total":9000,"preemptions":0}"#;
        let whole = |status: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let response = if request.starts_with("GET /load") {
            whole("200 OK", load)
        } else if request.starts_with("GET ") {
            whole("404 Not Found", "")
        } else if request.starts_with("DELETE ") {
            whole("204 No Content", "")
        } else {
            break;
        };
        let _ = socket.write_all(response.as_bytes());
    }
    calls.fetch_add(1, Ordering::SeqCst);
    // The body follows once it is asked for.
    let _ = socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
    let (text, reset) = text.lock().unwrap().clone();
    if !reset {
        let _ = socket.read(&mut bytes);
    }
    let _ = socket.write_all(text.as_bytes());
    // A socket that is closed with unread bytes resets its connection.
    std::thread::sleep(Duration::from_millis(4));
}

async fn start() -> (LocalDeployment, CutTarget) {
    let deployment = LocalDeployment::start(1, 1).await.unwrap();
    let target = CutTarget::start();
    let sheet = deployment.sheet();
    let sheet = sheet.replace(&deployment.orders.url(), &target.url);
    let sheet = sheet.replace(&deployment.engines[0].url(), &target.url);
    deployment.apply(&sheet).await.unwrap();
    (deployment, target)
}

fn verdict(reply: &Reply) -> &str {
    reply.verdict.as_deref().unwrap_or("none")
}

/// Calls a service with each cut until the call is sent, as a target that breaks off is not used for a while.
async fn call_everywhere(service: &str, text: &str, reset: bool) {
    let (deployment, target) = start().await;
    let url = &deployment.vm_urls()[0];
    let caller = Caller::default();
    for cut in 0..text.len() {
        target.cut(&text[..cut], reset);
        let mut attempts = 0;
        loop {
            let key = uuid::Uuid::now_v7().to_string();
            let key = (service == "orders").then_some(key.as_str());
            let before = target.calls.load(Ordering::SeqCst);
            let got = caller.call(url, service, key, "{}").await;
            let was_sent = target.calls.load(Ordering::SeqCst) > before;
            let expected = if was_sent {
                (502, "may-have-run")
            } else {
                (503, "not-run")
            };
            assert_eq!((got.status, verdict(&got)), expected, "after {cut}");
            if was_sent {
                break;
            }
            attempts += 1;
            assert!(attempts < 100, "the target is not used any more");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[test]
fn call_head_cut_anywhere_is_no_response() {
    block_on(call_everywhere("orders", SIZED, false));
}

#[test]
fn call_head_reset_anywhere_is_no_response() {
    block_on(call_everywhere("orders", CHUNKED, true));
}

#[test]
fn repeatable_call_head_cut_behind_an_interim_response_is_no_response() {
    block_on(call_everywhere(
        "lookups",
        &format!("{INTERIM}{SIZED}"),
        false,
    ));
}

#[test]
fn stream_head_cut_anywhere_is_no_response() {
    block_on(async {
        let (deployment, target) = start().await;
        let url = &deployment.vm_urls()[0];
        let caller = Caller::default();
        let text = format!("{INTERIM}{STREAM}");
        for cut in 0..text.len() {
            target.cut(&text[..cut], cut % 2 == 0);
            let before = target.calls.load(Ordering::SeqCst);
            let mut attempts = 0;
            while target.calls.load(Ordering::SeqCst) == before {
                let got = caller.stream(url, &format!("soup {cut}"), 5).await;
                let StreamEnd::Problem(problem) = got.end else {
                    panic!("after {cut}: {got:?}");
                };
                let was_sent = target.calls.load(Ordering::SeqCst) > before;
                let is_unsent = problem.verdict == Verdict::NotRun;
                assert_eq!(was_sent, !is_unsent, "after {cut}: {problem:?}");
                attempts += 1;
                assert!(attempts < 100, "the target is not used any more");
                sleep(Duration::from_millis(50)).await;
            }
        }
    });
}

#[test]
fn request_cut_anywhere_is_never_run() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let address = deployment.vms[0].address();
        let head = |framing: &str| {
            format!(
                "POST /v1/services/orders/confirm HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
                 Idempotency-Key: {}\r\n{framing}\r\n\r\n",
                uuid::Uuid::now_v7()
            )
        };
        let sized = head("Content-Length: 11") + "{\"fish\":12}";
        let chunked = head("Transfer-Encoding: chunked") + "b;a=b\r\n{\"fish\":12}\r\n0\r\n";
        for text in [sized, chunked] {
            for cut in 0..text.len() {
                let mut socket = TcpStream::connect(address).unwrap();
                if cut % 2 == 0 {
                    // A whole request before it makes the connection a kept one.
                    let kept = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
                    socket.write_all(kept).unwrap();
                    assert!(socket.read(&mut [0; 4096]).unwrap() > 0);
                }
                socket.write_all(&text.as_bytes()[..cut]).unwrap();
                socket.shutdown(Shutdown::Write).unwrap();
                socket
                    .set_read_timeout(Some(Duration::from_secs(5)))
                    .unwrap();
                let mut response = String::new();
                let _ = socket.read_to_string(&mut response);
                let refused = response.is_empty() || response.starts_with("HTTP/1.1 4");
                assert!(refused, "after {cut}: {response}");
            }
        }
        sleep(Duration::from_millis(200)).await;
        assert_eq!(deployment.orders_state.executions(), []);
    });
}
