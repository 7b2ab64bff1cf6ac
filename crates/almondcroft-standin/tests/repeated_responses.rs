//! Targets and VMs that write an earlier response once more on a connection that is in use again.

use almondcroft_core::ledger::{Expected, ObjectStore, StoreError};
use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd};
use almondcroftd::http::Outbound;
use almondcroftd::{HttpStore, block_on, sleep};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request to a target.
#[derive(Debug, Clone)]
struct Request {
    line: String,
    body: String,
    /// Number of requests for work that arrived before on the same connection.
    earlier: usize,
}

type Requests = Arc<Mutex<Vec<Request>>>;

/// Starts a target that responds to each request for work with its last response on the connection, if there is one,
/// and then with what a closure returns.
fn start_target(
    respond: impl Fn(&Request) -> Vec<u8> + Send + Sync + 'static,
) -> (String, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (requests, respond) = (Requests::default(), Arc::new(respond));
    let received = Arc::clone(&requests);
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let (received, respond) = (Arc::clone(&received), Arc::clone(&respond));
            std::thread::spawn(move || {
                let mut responses: Vec<Vec<u8>> = Vec::new();
                while let Some(mut request) = read_request(&mut socket) {
                    if request.line.contains("/load") {
                        let load = json!({"age_ms": 0, "running": 0, "waiting": 0, "kv_used": 0,
                            "kv_total": 100_000, "preemptions": 0});
                        let _ = socket.write_all(&framed(200, &load.to_string()));
                        continue;
                    }
                    request.earlier = responses.len();
                    let response = respond(&request);
                    let earlier = responses.last().cloned().unwrap_or_default();
                    received.lock().unwrap().push(request);
                    let _ = socket.write_all(&[earlier, response.clone()].concat());
                    responses.push(response);
                }
            });
        }
    });
    (url, requests)
}

fn read_request(socket: &mut TcpStream) -> Option<Request> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    if head.contains("expect: 100-continue") {
        socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
    }
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    socket.read_exact(&mut body).ok()?;
    Some(Request {
        line: head.lines().next()?.to_owned(),
        body: String::from_utf8(body).ok()?,
        earlier: 0,
    })
}

fn framed(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\nConnection: keep-alive\r\nETag: 1\r\nContent-Length: {length}"
    );
    [&head, "\r\n\r\n", body].concat().into_bytes()
}

/// Replaces the address of the plain service, or of the engine, in the sheet.
async fn replace_target(deployment: &LocalDeployment, old: &str, new: &str) {
    let sheet = deployment.sheet().replace(old, new);
    deployment.apply(&sheet).await.unwrap();
}

/// Guards against the response to one call that is taken for the response to the next one, which may be another
/// customer's.
#[test]
fn call_is_not_answered_by_the_response_to_another_one() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let (url, requests) = start_target(|request| {
            let status = if request.body.contains("full") {
                503
            } else {
                200
            };
            framed(status, &request.body)
        });
        replace_target(&deployment, &deployment.orders.url(), &url).await;
        let vm = &deployment.vm_urls()[0];
        for (number, service) in ["lookups", "orders"].repeat(4).iter().enumerate() {
            let key = uuid::Uuid::now_v7().to_string();
            let key = (*service == "orders").then_some(key);
            let body = if number % 4 < 2 { "full" } else { "sound" };
            let body = format!("{body}-{number}");
            let reply = Caller::default()
                .call(vm, service, key.as_deref(), &body)
                .await;
            let status = if number % 4 < 2 { 503 } else { 200 };
            assert_eq!((reply.status, &reply.body), (status, &body), "{service}");
        }
        assert_eq!(requests.lock().unwrap().len(), 8);
    });
}

/// Guards against an earlier refusal of an engine that is taken for the refusal of the next generation, which runs.
#[test]
fn generation_is_not_refused_by_an_earlier_refusal() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let (url, requests) = start_target(|request| {
            let body: serde_json::Value = serde_json::from_str(&request.body).unwrap_or_default();
            if !body["prompt"]
                .as_str()
                .unwrap_or_default()
                .contains("sound")
            {
                return framed(503, "");
            }
            let event = |number: u64, text: &str, reason: Option<&str>| {
                let choice = json!({"index": 0, "text": text, "finish_reason": reason});
                let chunk = json!({"id": body["request_id"], "choices": [choice]});
                format!("id: {number}\ndata: {chunk}\n\n")
            };
            let events = [event(0, "a", None), event(1, "", Some("stop"))];
            framed(200, &(events.concat() + "data: [DONE]\n\n"))
        });
        replace_target(&deployment, &deployment.engines[0].url(), &url).await;
        let vm = &deployment.vm_urls()[0];
        for number in 0..6 {
            let word = if number % 2 == 0 { "full" } else { "sound" };
            let streamed = Caller::default()
                .stream(vm, &format!("{word} {number}"), 2)
                .await;
            if number % 2 == 1 {
                assert_eq!(streamed.end, StreamEnd::Done, "{streamed:?}");
            }
        }
        let requests = requests.lock().unwrap();
        let starts = requests
            .iter()
            .filter(|request| request.line.starts_with("post"));
        let again = starts.clone().filter(|request| request.earlier > 0);
        assert_eq!(again.count(), 0, "{requests:?}");
        assert!(starts.count() >= 6);
    });
}

/// Guards against the response to one call to the store that is taken for the response to the next one: a write that
/// failed would count as done, so that a claim is granted twice.
#[test]
fn call_to_the_store_is_not_answered_by_the_response_to_another_one() {
    let (url, requests) = start_target(|request| {
        let is_first = request.line.contains("/a");
        let (missing, done) = if request.line.starts_with("put") {
            (412, 201)
        } else {
            (404, 200)
        };
        framed(if is_first { done } else { missing }, "{}")
    });
    block_on(async {
        let store = HttpStore::new(&url, Outbound::new());
        let written = store.put("a", b"{}".to_vec(), Expected::Absent).await;
        assert!(written.is_ok(), "{written:?}");
        // The connection is returned to the pool in the background.
        sleep(Duration::from_millis(50)).await;
        let written = store.put("b", b"{}".to_vec(), Expected::Absent).await;
        assert_eq!(written, Err(StoreError::Conflict));
        sleep(Duration::from_millis(50)).await;
        assert!(store.get("a").await.unwrap().is_some());
        assert!(store.get("b").await.unwrap().is_none());
    });
    assert_eq!(requests.lock().unwrap().len(), 4);
}
