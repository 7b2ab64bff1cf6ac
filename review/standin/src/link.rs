//! A link between the gateway and an engine in another region, on which a connection may be reset.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time one way between regions, as on the sheets.
pub const DELAY: Duration = Duration::from_millis(20);

/// A moment at which half of the open calls of a kind lose their connections, at the gateway's end.
pub struct Reset {
    /// Names the calls by their first bytes.
    pub is_call: fn(&str) -> bool,
    /// Time from the first such call to the moment.
    pub after: Duration,
    state: Mutex<(u32, Option<Instant>)>,
}

impl Reset {
    pub const fn new(is_call: fn(&str) -> bool, after: Duration) -> Self {
        Self {
            is_call,
            after,
            state: Mutex::new((0, None)),
        }
    }

    /// Counts a call; returns the moment if the call is one of those that are reset.
    fn enter(&self) -> Option<Instant> {
        let mut state = self.state.lock().unwrap();
        let at = *state.1.get_or_insert(Instant::now() + self.after);
        state.0 += 1;
        (state.0 % 2 == 1 && Instant::now() < at).then_some(at)
    }
}

/// Starts a link to an address.
pub fn start(to: SocketAddr, reset: Option<Arc<Reset>>, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("link");
    let address = listener.local_addr().expect("link");
    let record = Arc::clone(record);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (reset, record) = (reset.clone(), Arc::clone(&record));
            thread::spawn(move || carry(socket, to, reset.as_deref(), &record));
        }
    });
    address
}

fn carry(gateway: TcpStream, to: SocketAddr, reset: Option<&Reset>, record: &Record) {
    let Ok(mut engine) = TcpStream::connect(to) else {
        return;
    };
    let _ = gateway.set_nodelay(true);
    let _ = engine.set_nodelay(true);
    // The first bytes are looked at and stay unread: closing the socket then resets the connection.
    let mut first = [0; 8 * 1024];
    let Ok(count @ 1..) = gateway.peek(&mut first) else {
        return;
    };
    let text = String::from_utf8_lossy(&first[..count]).into_owned();
    let reset = reset.filter(|reset| (reset.is_call)(&text));
    if let Some(at) = reset.and_then(Reset::enter) {
        // The call is under way: it reaches the engine after the delay, whatever becomes of the connection.
        let bytes = first[..count].to_vec();
        let call = thread::spawn(move || {
            thread::sleep(DELAY);
            let _ = engine.write_all(&bytes);
            let _ = engine.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = engine.read(&mut [0; 1024]);
        });
        thread::sleep(at.saturating_duration_since(Instant::now()));
        drop(gateway);
        record.line("the connection of a last copy is reset at the gateway's end");
        let _ = call.join();
        return;
    }
    let clone = |socket: &TcpStream| socket.try_clone().expect("socket");
    let (from, to) = (clone(&gateway), clone(&engine));
    thread::spawn(move || delay(from, to));
    delay(engine, gateway);
}

/// Passes bytes on after the delay, and the end of the connection too.
fn delay(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut bytes = [0; 8 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        let due = Instant::now() + DELAY;
        if sender.send((due, bytes[..count].to_vec())).is_err() || count == 0 {
            return;
        }
    }
}
