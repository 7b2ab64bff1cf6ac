//! Stand-in of a plain service's runner, after PROTOCOL.md.

use crate::http::{EXPECT, ID, STAMP, read_request, respond};
use crate::record::Record;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a runner began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub runner: String,
    pub at: Duration,
    /// Whether the runner was gone before it had answered.
    pub is_cut: bool,
}

pub struct Desk {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    is_gone: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

impl Desk {
    pub fn start(
        id: &str,
        zone: &'static str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let desk = Arc::new(Self {
            id: id.to_owned(),
            zone,
            address: listener.local_addr().expect("an address"),
            work,
            runs: Arc::clone(runs),
            record: record.clone(),
            is_gone: AtomicBool::new(false),
            sockets: Mutex::default(),
        });
        let served = Arc::clone(&desk);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if served.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let served = Arc::clone(&served);
                thread::spawn(move || served.serve(socket));
            }
        });
        desk
    }

    /// Ends the runner: its port and all connections are closed.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        if let Ok(copy) = socket.try_clone() {
            self.sockets.lock().unwrap().push(copy);
        }
        while let Some(request) = read_request(&mut socket) {
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header(ID).unwrap_or_default().to_owned();
            if request.header(EXPECT) != Some(&self.id) {
                if respond(&mut socket, 421, &[(ID, &id)], b"").is_err() {
                    return;
                }
                continue;
            }
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    request: id.clone(),
                    runner: self.id.clone(),
                    at: self.record.now(),
                    is_cut: false,
                });
                runs.len() - 1
            };
            self.record.line(format!("{id} {}: runs", self.id));
            thread::sleep(self.work);
            if self.is_gone.load(Ordering::SeqCst) {
                self.runs.lock().unwrap()[number].is_cut = true;
                self.record
                    .line(format!("{id} {}: cut, the runner is gone", self.id));
                return;
            }
            let headers = [(ID, id.as_str()), (STAMP, "3e1b.07")];
            if respond(&mut socket, 200, &headers, &[b'x'; 800]).is_err() {
                return;
            }
        }
    }
}
