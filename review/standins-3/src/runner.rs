//! A runner of a plain service.

use crate::http::{Message, Reader, send};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A run of a request: its id and the time at which it arrived.
pub type Run = (String, f64);

/// A runner that answers each request after some work.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub work_ms: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Set when the process ends: its connections close and new ones are refused.
    ended: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Runner {
    pub fn start(id: &str, work_ms: u64, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Self {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            work_ms: Arc::new(AtomicU64::new(work_ms)),
            runs: Arc::default(),
            ended: Arc::default(),
            sockets: Arc::default(),
            record: record.clone(),
        };
        let served = runner.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !served.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = (socket.set_nonblocking(false), socket.set_nodelay(true));
                        if let Ok(copy) = socket.try_clone() {
                            served.sockets.lock().expect("usable").push(copy);
                        }
                        let served = served.clone();
                        thread::spawn(move || {
                            let _ = served.serve(socket);
                        });
                    }
                    Err(_) => crate::pause(1),
                }
            }
        });
        runner
    }

    /// Returns the entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z-a","version":"v1","slots":8,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":1785061651000}}"#,
            self.address
        )
    }

    /// Ends the process.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("usable").drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, socket: TcpStream) -> std::io::Result<()> {
        let mut writer = socket.try_clone()?;
        let mut reader = Reader::new(socket);
        while let Some(request) = reader.message()? {
            if self.ended.load(Ordering::SeqCst) {
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
        let expected = request.header("X-Almondcroft-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [
                ("X-Almondcroft-Request-Id", id.as_str()),
                ("X-Almondcroft-Instance-Id", &self.id),
            ];
            return send(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let at = self
            .record
            .line(&format!("run {id} at {} ({})", self.id, request.first));
        self.runs.lock().expect("usable").push((id.clone(), at));
        crate::pause(self.work_ms.load(Ordering::SeqCst));
        if self.ended.load(Ordering::SeqCst) {
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
            format!("done {id} by {}", self.id).as_bytes(),
        )
    }
}
