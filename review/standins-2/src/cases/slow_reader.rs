//! Clients read slowly while the VM that serves them is stopped in order.

use super::{Place, pause};
use crate::desk::Desk;
use crate::engine::{Engine, Pace, Pool};
use crate::http::{Answer, ID, read_answer};
use crate::record::Record;
use crate::site::{self, KEY, Vm, ZONES};
use crate::small_window;
use crate::store::Store;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 5;

/// 400 bytes a piece, as the sheet's mean; 4 tokens of 7 ms each.
const PACE: Pace = Pace {
    first: Duration::from_millis(60),
    event: Duration::from_millis(28),
    events: 100,
};

/// Time for which a client leaves what has arrived unread.
const UNREAD: Duration = Duration::from_millis(5_000);

const GRACE: Duration = Duration::from_secs(8);

/// Reads nothing in a span of time.
struct Reader {
    socket: TcpStream,
    pause_at: Instant,
    pause: Duration,
}

impl Read for Reader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let now = Instant::now();
        if now >= self.pause_at && !self.pause.is_zero() {
            thread::sleep(std::mem::take(&mut self.pause));
        }
        self.socket.read(buffer)
    }
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\n{ID}: {id}\r\n\
         X-Almondcroft-Deadline-Ms: 39000\r\nX-Almondcroft-Credential: {KEY}\r\n"
    )
}

fn generation(id: &str) -> String {
    head("POST", "/lohu930/2f", id)
        + &format!(
            "X-Almondcroft-Model: m\r\nX-Almondcroft-Token-Counts: 1460,400\r\n\
             X-Almondcroft-Length-Hint: 400\r\n\
             X-Almondcroft-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\nContent-Length: 2\r\n\r\n{{}}"
        )
}

/// Sends two requests on one connection; returns the answer to the second.
fn client(
    address: SocketAddr,
    number: usize,
    (pause_at, pause): (Instant, Duration),
    record: &Record,
) -> Answer {
    let Ok(socket) = small_window::connect_to(address, 8 * 1024) else {
        return Answer::default();
    };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(20)));
    let mut reader = Reader {
        socket,
        pause_at,
        pause,
    };
    let (first, second) = (
        format!("{:016x}", 0xc100 + number),
        format!("{:016x}", 0xc200 + number),
    );
    let lookup = head("GET", "/puxa403/2f", &first) + "\r\n";
    if reader.socket.write_all(lookup.as_bytes()).is_err() {
        return Answer::default();
    }
    let answer = read_answer(&mut reader, &mut |_| {});
    record.line(format!(
        "{first} is answered {}, the connection is kept",
        answer.status
    ));
    if reader
        .socket
        .write_all(generation(&second).as_bytes())
        .is_err()
    {
        return Answer::default();
    }
    record.line(format!("{second} is sent on it"));
    let answer = read_answer(&mut reader, &mut |_| {});
    let pieces = answer.body.split(|byte| *byte == b'\n');
    let pieces = pieces.filter(|line| line.starts_with(b"id: ")).count();
    record.line(format!(
        "{second} is answered {}, {pieces} of {} pieces, complete: {}",
        answer.status, PACE.events, answer.complete
    ));
    answer
}

pub fn play(record: &Record, place: &Place, trouble: bool) -> Result<bool, String> {
    let store = Store::start(record);
    store.put("config", "main", &site::config(7));
    let pool = Arc::new(Pool::default());
    let engines: Vec<Arc<Engine>> = (0..6)
        .map(|number| {
            let (id, zone) = (format!("i-engine-{number}"), ZONES[number / 2].0);
            Engine::start_with(&id, zone, true, PACE, 400, &pool, record)
        })
        .collect();
    for engine in &engines {
        let entry = site::entry("menu-writer", engine.address, engine.zone, 24, "ready");
        store.put("servers", &engine.id, &entry);
    }
    let runs = Arc::default();
    let desk = Desk::start(
        "i-desk-0",
        ZONES[0].0,
        Duration::from_millis(30),
        &runs,
        record,
    );
    let entry = site::entry("club-desk", desk.address, desk.zone, 6, "ready");
    store.put("servers", &desk.id, &entry);
    let mut vms = place.start_vms(&site::ROTASUL, 3, &store)?;
    let pause_at = Instant::now() + Duration::from_millis(700);
    let unread = if trouble { UNREAD } else { Duration::ZERO };
    let mut stopped_at = record.now();
    let answers: Vec<Answer> = thread::scope(|scope| {
        let address = vms[0].listen;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || client(address, number, (pause_at, unread), record)))
            .collect();
        pause(700);
        vms[0].signal("TERM");
        stopped_at = record.now();
        record.line(format!("SIGTERM to {}", vms[0].name));
        if trouble {
            record.line(format!(
                "the clients leave what arrives unread for {UNREAD:?}"
            ));
        }
        let answers = clients.into_iter().map(|client| client.join());
        answers.map(|answer| answer.unwrap_or_default()).collect()
    });
    let elapsed = record.now().saturating_sub(stopped_at);
    if vms[1..].iter_mut().any(Vm::has_ended) {
        return Err("a process has ended".into());
    }
    let works = pool.works.lock().unwrap().clone();
    for work in &works {
        record.line(format!(
            "{}: {} was at work until {:.3} s after SIGTERM",
            work.request,
            work.runner,
            work.until.saturating_sub(stopped_at).as_secs_f64()
        ));
    }
    // Excused is a request whose runner is still at work in the last sixth of the grace time.
    let last_sixth = stopped_at + GRACE * 5 / 6;
    let excused = works.iter().filter(|work| work.until >= last_sixth).count();
    let lost = answers.iter().filter(|answer| !answer.complete).count();
    record.line(format!(
        "{lost} of {CLIENTS} requests that the process had read, passed on and got whole from their runners ended \
         without a complete answer, {:.1} s after SIGTERM at the latest; {excused} are excused",
        elapsed.as_secs_f64()
    ));
    let broken = lost > excused;
    record.line(if broken {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    Ok(broken)
}
