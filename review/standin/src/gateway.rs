//! The gateway as a process of its own, started with the command of the deploy file.

use crate::http::{Peer, encode};
use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The program of deploy/system.toml.
const PROGRAM: &str = "target/release/almondcroft-platform";

pub struct Gateway {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub ports: [u16; 4],
    pub pid: u32,
    child: Mutex<Child>,
    settings: PathBuf,
}

pub struct Options<'a> {
    pub name: &'a str,
    pub store: SocketAddr,
    pub memory_mb: u32,
    /// The field "bounds" of the settings.
    pub bounds: &'a str,
    pub log: Option<PathBuf>,
    /// Ports of a process that this one follows; else free ones.
    pub ports: Option<[u16; 4]>,
}

/// Returns a free port for TCP and UDP, below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id()
            .wrapping_mul(401)
            .wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = 10_000 + u16::try_from(number % 20_000).unwrap_or(0);
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Notes a process for review/play.sh, which ends it if the case is interrupted.
fn note_pid(pid: u32) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else {
        return;
    };
    let file = OpenOptions::new().append(true).open(path);
    let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
}

impl Gateway {
    pub fn start(options: &Options) -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let ports = options
            .ports
            .unwrap_or_else(|| [(); 4].map(|()| free_port()));
        let [listen, ready, peers, metrics] = ports.map(address);
        let settings = format!(
            "{{\"vm\":\"{}\",\"zone\":\"z-a\",\"region\":\"z\",\"zones\":{{\"z-a\":\"z\"}},\
             \"listen\":\"{listen}\",\"ready\":\"{ready}\",\"peers\":\"{peers}\",\
             \"metrics\":\"{metrics}\",\"store\":\"{}\",\"bootstrap\":{},\"memory_mb\":{},\
             \"bounds\":{}}}",
            options.name,
            options.store,
            options.ports.is_none(),
            options.memory_mb,
            options.bounds
        );
        let file = format!("review-{}-{}.json", std::process::id(), options.name);
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings).expect("settings");
        let output = match &options.log {
            Some(log) => Stdio::from(std::fs::File::create(log).expect("log")),
            None => Stdio::null(),
        };
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&path)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("{PROGRAM} does not start: {error}");
                std::process::exit(2);
            });
        note_pid(child.id());
        Self {
            listen,
            ready,
            ports,
            pid: child.id(),
            child: Mutex::new(child),
            settings: path,
        }
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<u16> {
            let socket = TcpStream::connect(self.ready).ok()?;
            socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let mut peer = Peer::new(socket);
            peer.send(&encode("GET /readyz HTTP/1.1", &[("Host", "x")], b""))
                .ok()?;
            Some(peer.message().ok()??.status())
        };
        ask() == Some(200)
    }

    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process, in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
