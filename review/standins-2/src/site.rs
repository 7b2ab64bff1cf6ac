//! A small deployment: VMs that run the project's program, and the configuration that the operator writes.

use crate::http::call;
use crate::store::Store;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [(&str, &str); 3] = [
    ("quito-a", "sierra"),
    ("guayaquil-a", "costa"),
    ("cuenca-a", "austro"),
];

/// What the settings of a site's processes say.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    zones: [(&'static str, &'static str); 3],
    memory_mb: u32,
    drain_ms: u32,
    retry_slack: u32,
    /// `contact_ms`: VMs are in touch once they and the store were calm for this time.
    pub contact: Duration,
}

pub const VILLACRES: Site = Site {
    zones: ZONES,
    memory_mb: 110,
    drain_ms: 2_500,
    retry_slack: 52,
    contact: Duration::from_millis(4_000),
};

/// The site of the page that says that clients may read slowly.
pub const ROTASUL: Site = Site {
    zones: [
        ("sul-a", "sul"),
        ("sudeste-a", "sudeste"),
        ("prata-a", "prata"),
    ],
    memory_mb: 198,
    drain_ms: 4_000,
    retry_slack: 160,
    contact: Duration::from_millis(5_000),
};

pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// The command of the deploy file, in the repository's root.
const PROGRAM: &str = "target/release/almondcroft-platform";

/// A process of the project's program on a VM; it is killed when this is dropped.
pub struct Vm {
    pub name: String,
    pub listen: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Vm {
    pub fn start(site: &Site, number: usize, store: &Store, folder: &std::path::Path) -> Self {
        let (zone, region) = site.zones[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        let [listen, ready, metrics] = [(); 3].map(|()| free_port());
        let peers = free_pair();
        let settings = format!(
            "{{\"vm\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"{region}\",\"zones\":{{{}}},\
             \"listen\":\"{listen}\",\"ready\":\"{ready}\",\"peers\":\"{peers}\",\
             \"metrics\":\"{metrics}\",\"store\":\"{}\",\"bootstrap\":true,\"memory_mb\":{},\
             \"bounds\":{{\"revoke_ms\":5000,\"evacuation_ms\":null,\"cold_ratio\":1,\
             \"cold_slack\":0,\"drain_ms\":{},\"grace_s\":8,\"retry_ratio\":0.2,\
             \"retry_slack\":{},\"retry_window_s\":10}}}}",
            site.zones
                .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
                .join(","),
            store.address,
            site.memory_mb,
            site.drain_ms,
            site.retry_slack
        );
        let file: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings are written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("the program starts");
        Self {
            name,
            listen,
            ready,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, text, Duration::from_secs(1), |_| {}).status == 200
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([format!("-{name}"), self.pid().to_string()])
            .status();
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all VMs are ready; returns whether they are in time.
pub fn wait_ready(vms: &[Vm]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if vms.iter().all(Vm::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns a free port below those that the system gives to outgoing connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 41 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(11_000 + number % 20_000).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns an address that is free for TCP and UDP.
fn free_pair() -> SocketAddr {
    loop {
        let address = free_port();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the entry of a runner.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    entry_of(service, address, zone, (slots, state), 0)
}

/// Returns the entry of a runner that has started again so often.
pub fn entry_of(
    service: &str,
    address: SocketAddr,
    zone: &str,
    (slots, state): (u32, &str),
    starts: u64,
) -> String {
    let born = 1_780_000_000_000 + starts;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"sequence\":4,\"born\":{born}}}"
    )
}

/// Returns the configuration: a route for each kind of request of the site.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/{prefix}/\",\
             \"kind\":\"{kind}\",{rest},\"public\":false,\"resumable\":false}}"
        )
    };
    let routes = [
        route(
            "weekly-menu",
            "lohu930",
            "stream",
            "\"timeout_ms\":39000,\"target_latency_ms\":1800,\"priority\":1,\
             \"service\":\"menu-writer\",\"attempts\":1,\"sticky\":true,\"gap_aim_ms\":180",
        ),
        route(
            "order-confirm",
            "pule252",
            "non_idempotent",
            "\"timeout_ms\":2000,\"target_latency_ms\":250,\"priority\":2,\
             \"service\":\"club-desk\",\"attempts\":1",
        ),
        route(
            "club-lookup",
            "puxa403",
            "idempotent",
            "\"timeout_ms\":2000,\"target_latency_ms\":250,\"priority\":2,\
             \"service\":\"club-desk\",\"attempts\":2",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"menu-writer\",\
         \"health_path\":\"/health\",\"max_connections\":272,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":24,\"kv_capacity_tokens\":34277,\"kv_token_bytes\":131072,\
         \"link_mbps\":19000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"club-desk\",\"health_path\":\"/health\",\"max_connections\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
