//! Callers of a daemon that read slowly, pause, or never read again.

#![cfg(target_os = "linux")]

use almondcroft_standin::demo::{LocalDeployment, TOKEN};
use almondcroft_standin::processes::{Launcher, Process};
use almondcroftd::{block_on, sleep};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_almondcroft-standin");

/// Time without a byte that a caller accepts after which its response ends.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// Time for requests in flight to finish during a stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Size of a plain response, in bytes.
const BODY_BYTES: usize = 600_000;

/// Number of tokens of a generation.
const TOKENS: u32 = 1_500;

/// Receive buffer of a caller, in bytes; its window is no larger.
const WINDOW: usize = 8 * 1024;

/// Time in which a generation fills the buffers of a caller that does not read, with room for a busy machine.
const FILL_TIME: Duration = Duration::from_secs(4);

const LOOKUP: &str = "/v1/services/lookups/confirm";
const STREAM: &str = "/v1/completions";

/// Starts a target that responds to each call with a large body.
fn start_large_target() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while socket.read(&mut bytes).is_ok_and(|count| count > 0) {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
                    let response = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
                    let _ = socket.write_all(&response);
                }
            });
        }
    });
    format!("http://{address}")
}

struct Site {
    _deployment: LocalDeployment,
    entry: Process,
    address: SocketAddr,
    folder: PathBuf,
}

impl Site {
    async fn start() -> Self {
        let deployment = LocalDeployment::start(0, 1).await.unwrap();
        let orders = start_large_target();
        let sheet = deployment
            .sheet()
            .replace(&deployment.orders.url(), &orders);
        deployment.apply(&sheet).await.unwrap();
        let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = json!({
            "vm": "entry-0", "region": "quito", "zone": "quito-a", "listen": "127.0.0.1:0",
            "store": deployment.store.url(), "handle_secret": "handles of a test only",
            "peer_secret": "peers of a test only",
            "limits": {"drain_delay_ms": 100, "drain_limit_ms": DRAIN_LIMIT.as_secs() * 1_000,
                "write_ms": WRITE_TIME.as_secs() * 1_000},
        });
        let launcher = Launcher::new(Path::new(PROGRAM), &folder);
        let entry = launcher.start("entry", "entry-0", &settings).unwrap();
        let address = entry.url().trim_start_matches("http://").parse().unwrap();
        let site = Self {
            _deployment: deployment,
            entry,
            address,
            folder,
        };
        let end = Instant::now() + Duration::from_secs(10);
        while !site.is_ready() {
            assert!(Instant::now() < end, "the daemon does not become ready");
            sleep(Duration::from_millis(20)).await;
        }
        site
    }

    fn is_ready(&self) -> bool {
        let mut socket = TcpStream::connect(self.address).unwrap();
        let sent =
            socket.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        sent.is_ok() && socket.read_to_string(&mut text).is_ok() && text.starts_with("HTTP/1.1 200")
    }

    /// Sends a request from a caller with a small window.
    fn send(&self, path: &str) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(WINDOW).unwrap();
        socket.connect(&self.address.into()).unwrap();
        let mut socket = TcpStream::from(socket);
        socket
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let body = json!({"model": "menus", "prompt": "soup", "stream": true,
            "standin_tokens": TOKENS, "max_tokens": TOKENS});
        let (body, key) = (body.to_string(), uuid::Uuid::now_v7());
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\
             Idempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(text.as_bytes()).unwrap();
        socket
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reads a number of bytes at a time, with a pause after each; returns whether the response is whole.
fn read_slowly(socket: &mut TcpStream, limit: usize, pause: Duration) -> bool {
    let (mut bytes, mut part) = (Vec::new(), vec![0; 64 * 1024]);
    let mut pause_at = 0;
    loop {
        if bytes.len() >= pause_at {
            thread::sleep(pause);
            pause_at += limit;
        }
        match socket.read(&mut part) {
            Ok(count @ 1..) => bytes.extend_from_slice(&part[..count]),
            _ => return false,
        }
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            let is_plain = head.to_ascii_lowercase().contains("content-length");
            if (is_plain && body.len() == BODY_BYTES)
                || (!is_plain && body.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"))
            {
                return true;
            }
        }
    }
}

/// Plays callers that read little at a time, or pause, during a stop or without one.
fn play(stops: bool) {
    block_on(async {
        let mut site = Site::start().await;
        let readings = [
            // Each part of the response that waits takes longer than the write time to be read.
            (16 * 1024, Duration::from_millis(500)),
            (200_000, Duration::from_millis(1_500)),
        ];
        let callers: Vec<_> = [LOOKUP, STREAM]
            .into_iter()
            .flat_map(|path| readings.map(|reading| (path, reading)))
            .map(|(path, (limit, pause))| {
                let mut socket = site.send(path);
                let caller = thread::spawn(move || read_slowly(&mut socket, limit, pause));
                (path, limit, caller)
            })
            .collect();
        sleep(Duration::from_millis(800)).await;
        if stops {
            site.entry.signal("TERM").unwrap();
        }
        for (path, limit, caller) in callers {
            assert!(
                caller.join().unwrap(),
                "{path}, {limit} bytes at a time: not whole"
            );
        }
        if stops {
            assert_eq!(site.entry.wait().unwrap(), Some(0));
        }
    });
}

/// Guards against timers that take a caller that reads little at a time for one that is gone.
#[test]
fn responses_to_callers_that_read_slowly_are_whole() {
    play(false);
}

/// Guards against slow callers that lose their responses during a stop.
#[test]
fn responses_to_callers_that_read_slowly_are_whole_during_a_stop() {
    play(true);
}

/// Guards against callers that never read again and keep their response, or hold up a stop until its limit.
#[test]
fn response_to_a_caller_that_never_reads_again_ends() {
    block_on(async {
        let mut site = Site::start().await;
        let mut sockets = [LOOKUP, STREAM].map(|path| site.send(path));
        sleep(WRITE_TIME + FILL_TIME).await;
        for socket in &mut sockets {
            assert!(
                !read_slowly(socket, 64 * 1024, Duration::ZERO),
                "the response goes on"
            );
        }
        let sockets = [LOOKUP, STREAM].map(|path| site.send(path));
        sleep(Duration::from_millis(300)).await;
        let stopped_at = Instant::now();
        site.entry.signal("TERM").unwrap();
        assert_eq!(site.entry.wait().unwrap(), Some(0));
        let took = stopped_at.elapsed();
        assert!(took < WRITE_TIME + FILL_TIME, "{took:?}");
        drop(sockets);
    });
}
