//! A gateway, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Bounds of the settings, as a small deployment has them.
pub const BOUNDS: &str = r#"{"revoke_ms": 5000, "evacuation_ms": null, "cold_ratio": 1, "cold_slack": 0,
    "drain_ms": 2500, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10}"#;

/// A process of the system.
pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Number of ports that a script keeps apart from those of other scripts that run beside it.
const PORTS: u16 = 16;
static TAKEN: AtomicU16 = AtomicU16::new(0);

/// Returns a free address below the ports that the system gives to connections, as it stays free until the gateway starts.
fn free_address() -> SocketAddr {
    let first = 10_000 + u16::try_from(std::process::id() % 1_400).expect("small") * PORTS;
    loop {
        let port = first + TAKEN.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Gateway {
    /// Writes the settings of a gateway into a folder; `zones` are two, and it is in the first.
    pub fn new(folder: &Path, name: &str, store: SocketAddr, bootstrap: bool) -> Self {
        let (listen, ready, peers, metrics) = (
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        );
        let text = format!(
            r#"{{"vm": "{name}", "zone": "z-a", "region": "r-a", "zones": {{"z-a": "r-a", "z-b": "r-b"}},
"listen": "{listen}", "ready": "{ready}", "peers": "{peers}", "metrics": "{metrics}", "store": "{store}",
"bootstrap": {bootstrap}, "memory_mb": 260, "bounds": {BOUNDS}}}"#
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: name.into(),
            listen,
            ready,
            peers,
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/almondcroft-platform")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the gateway starts: run the build of the deploy file first");
        self.child = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().expect("it runs").id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Returns whether the gateway answers 200 to the platform's question.
    pub fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = crate::http::send(&mut socket, "GET /readyz HTTP/1.1", &[("Host", "x")], b"");
        let mut reader = crate::http::Reader::new(socket);
        sent.is_ok() && matches!(reader.head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            crate::pause(20);
        }
        self.print_log();
        false
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            self.print_log();
        }
        has_ended
    }

    /// Prints the end of the log, for a case that could not run.
    fn print_log(&self) {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        eprintln!(
            "{}: {}",
            self.name,
            lines[lines.len().saturating_sub(5)..].join("\n")
        );
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
