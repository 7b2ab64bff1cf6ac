//! Settings of the daemon, read from JSON.

mod fields;

use crate::http::TlsFiles;
use almondcroft_core::ledger::ShardOptions;
use almondcroft_core::router::RouterOptions;
use almondcroft_core::{RegionId, VmId, ZoneId};
use fields::Fields;
use serde_json::Value;
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Limits of sizes and times.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for a request body to arrive.
    pub body_time: Duration,
    /// Time without a byte that a caller accepts after which its response ends.
    pub write_time: Duration,
    /// Time without a token after which the generation is resumed over a new connection.
    pub silence: Duration,
    /// Time for the load balancer to notice that the VM stops.
    pub drain_delay: Duration,
    /// Time for requests in flight to finish during a graceful shutdown.
    pub drain_limit: Duration,
    /// Time for a claim to become durable.
    pub claim_time: Duration,
    /// Time during which a caller that has disconnected may resume its stream.
    pub resume_grace: Duration,
}

/// Settings of one VM's daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifies the VM.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Base URL of the object API.
    pub store: SmolStr,
    /// URL of the VM list.
    pub vm_list: Option<SmolStr>,
    /// Secret that authenticates resume handles; the same on all VMs.
    pub handle_secret: SmolStr,
    /// Secret that authenticates peers; the same on all VMs.
    pub peer_secret: SmolStr,
    /// Number of executor threads.
    pub threads: usize,
    /// Number of claim shards; the same on all VMs.
    pub shards: u32,
    /// Settings of a claim shard.
    pub ledger: ShardOptions,
    /// Settings of the router.
    pub router: RouterOptions,
    /// Limits of sizes and times.
    pub limits: Limits,
    /// Files of the VM's TLS identity; the daemon uses plain HTTP without them.
    pub tls: Option<TlsFiles>,
    /// File to which routing events are recorded.
    pub record: Option<PathBuf>,
}

/// All errors of a settings file, each with the path of its field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The errors, as `path: message`.
    pub faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.faults.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Parses settings and validates every field.
    ///
    /// # Errors
    ///
    /// Returns all errors at once: unknown fields, missing fields, wrong types and invalid values.
    pub fn from_json(bytes: &[u8]) -> Result<Self, SettingsError> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| SettingsError {
            faults: vec![format!(".: {error}")],
        })?;
        let mut faults = Vec::new();
        let settings = read(&value, &mut faults);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { faults })
        }
    }
}

fn read(value: &Value, faults: &mut Vec<String>) -> Settings {
    let mut fields = Fields::new("", value, faults);
    let vm = fields.text("vm");
    let region = fields.text("region");
    let zone = fields.text("zone");
    let listen = fields.address("listen");
    let store = fields.url("store");
    let vm_list = fields.optional_url("vm_list");
    let handle_secret = fields.secret("handle_secret");
    let peer_secret = fields.secret("peer_secret");
    let threads = fields.size("threads", 2, 1, 64);
    let record = fields.optional_text("record");
    let tls = fields.optional_section("tls", read_tls);
    let limits = fields.section("limits", read_limits);
    let (shards, ledger) = fields.section("ledger", read_ledger);
    let router = fields.section("router", read_router);
    fields.reject_unknown();
    Settings {
        vm,
        region,
        zone,
        listen,
        store,
        vm_list,
        handle_secret,
        peer_secret,
        threads,
        shards,
        ledger,
        router,
        limits,
        tls,
        record: record.map(|path| PathBuf::from(path.as_str())),
    }
}

fn read_tls(fields: &mut Fields<'_>) -> TlsFiles {
    TlsFiles {
        cert: PathBuf::from(fields.text("cert").as_str()),
        key: PathBuf::from(fields.text("key").as_str()),
        ca: PathBuf::from(fields.text("ca").as_str()),
    }
}

fn read_limits(fields: &mut Fields<'_>) -> Limits {
    Limits {
        body_bytes: fields.size("body_bytes", 1024 * 1024, 1, 64 * 1024 * 1024),
        body_time: fields.millis("body_ms", 10_000, 1),
        write_time: fields.millis("write_ms", 30_000, 1),
        silence: fields.millis("silence_ms", 2_000, 10),
        drain_delay: fields.millis("drain_delay_ms", 2_000, 0),
        drain_limit: fields.millis("drain_limit_ms", 120_000, 0),
        claim_time: fields.millis("claim_ms", 250, 10),
        resume_grace: fields.millis("resume_grace_ms", 5_000, 0),
    }
}

fn read_ledger(fields: &mut Fields<'_>) -> (u32, ShardOptions) {
    let defaults = ShardOptions::default();
    let shards = fields.size("shards", 8, 1, 4096);
    let interval = fields.millis("interval_ms", 25, 1);
    let retention = fields.millis("retention_ms", 24 * 3_600_000, 1_000);
    let bytes = fields.size("segment_bytes", defaults.segment_bytes, 1024, 512 * 1024);
    let options = defaults
        .interval(interval)
        .retention(retention)
        .segment_bytes(bytes);
    (u32::try_from(shards).unwrap_or(u32::MAX), options)
}

fn read_router(fields: &mut Fields<'_>) -> RouterOptions {
    let defaults = RouterOptions::default();
    let batch = fields.size("max_batch", defaults.max_batch as usize, 1, 65_536);
    RouterOptions {
        headroom: fields.fraction("headroom", defaults.headroom),
        max_batch: u32::try_from(batch).unwrap_or(u32::MAX),
        max_queue: fields.size("max_queue", defaults.max_queue, 1, 1_000_000),
        ..defaults
    }
}

#[cfg(test)]
mod tests;
