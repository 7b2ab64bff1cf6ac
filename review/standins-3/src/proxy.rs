//! A proxy whose open connections can go silent for good while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Passes bytes on to another address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections that were opened in an earlier age pass nothing on any more.
    age: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let age = Arc::new(AtomicU64::new(0));
        let proxy = Self {
            address,
            age: Arc::clone(&age),
        };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let opened_in = age.load(Ordering::SeqCst);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let age = Arc::clone(&age);
                    thread::spawn(move || copy(from, to, &age, opened_in));
                }
            }
        });
        proxy
    }

    /// Makes all open connections go silent for good, without a reset.
    pub fn silence(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, age: &AtomicU64, opened_in: u64) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if age.load(Ordering::SeqCst) != opened_in {
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
