//! A plain runner: answers each request after some work, with a stamp.

use crate::http::{Message, Peer, encode};
use crate::record::Record;
use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// The requests that it ran, with how often.
    pub runs: Mutex<HashMap<String, u32>>,
    work: Duration,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(id: &str, service: &str, work: Duration, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("runner");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("runner"),
            runs: Mutex::default(),
            work,
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&runner);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let runner = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut peer = Peer::new(socket);
                    while let Ok(Some(request)) = peer.message() {
                        if peer.send(&runner.answer(&request)).is_err() {
                            return;
                        }
                    }
                    let mut rest = [0; 64];
                    while matches!(peer.socket.read(&mut rest), Ok(1..)) {}
                });
            }
        });
        runner
    }

    /// Returns its entry in the store, kind `servers`.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":1700000000000,\"sequence\":1}}",
            self.service, self.address
        )
    }

    pub fn has_run(&self, request: &str) -> bool {
        self.runs.lock().unwrap().contains_key(request)
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request
            .header("x-almondcroft-request-id")
            .unwrap_or_default();
        let expected = request.header("x-almondcroft-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Almondcroft-Instance-Id", self.id.as_str())];
            return encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        self.record
            .line(&format!("runner {} runs {id} {}", self.id, request.line));
        thread::sleep(self.work);
        let stamp = format!("stamp-{}-{id}", self.id);
        let headers = [
            ("X-Almondcroft-Request-Id", id),
            ("X-Almondcroft-Response-Stamp", stamp.as_str()),
            ("X-Almondcroft-Instance-Id", self.id.as_str()),
        ];
        encode(
            "HTTP/1.1 200 OK",
            &headers,
            format!("ran at {}", self.id).as_bytes(),
        )
    }
}
