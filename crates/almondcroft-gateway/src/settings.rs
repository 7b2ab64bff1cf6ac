//! Settings of a gateway, read from JSON.

use almondcroft_core::gateway::{ColdBounds, HedgeLimits, StoreTiming};
use almondcroft_core::{RegionId, ServiceId, VmId, ZoneId};
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

/// Maximum of each number in the settings, whatever its unit.
const MAX_NUMBER: f64 = 1.0e9;

/// Minimum interval at which targets write their entries, in milliseconds; calls to the store wait about as long.
const MIN_HEARTBEAT_MS: f64 = 100.0;

/// Maximum share of second runs.
const MAX_BACKUP_SHARE: f64 = 0.5;

/// Reports why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A field is missing, unknown or of another type.
    #[snafu(display("{field}: {reason}"))]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong.
        reason: String,
    },
}

/// Settings that a gateway is started with.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identifies the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Region of the VM.
    pub region: RegionId,
    /// Regions by availability zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// Address of the metrics; `null` for none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address for gossip between VMs; `null` for none.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Threads of the executor.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Memory of the VM, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Bounds on what the gateway does.
    #[serde(default)]
    pub bounds: Bounds,
    /// Limits of second runs of slow requests; `null` for none.
    #[serde(default)]
    pub backup_requests: Option<BackupRequests>,
}

/// Limits of second runs of slow requests that may be repeated.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackupRequests {
    /// Second runs as a fraction of the requests.
    pub share: f64,
    /// Quantile of the recent response times after which a request counts as slow.
    pub quantile: f64,
    /// Limits of single services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceBackupRequests>,
}

/// Limits of second runs of one service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceBackupRequests {
    /// Second runs as a fraction of the requests; zero for none.
    pub share: f64,
    /// Quantile of the recent response times after which a request counts as slow.
    pub quantile: f64,
}

impl BackupRequests {
    /// Returns the limits of a service.
    #[must_use]
    pub fn limits(&self, service: &str) -> HedgeLimits {
        let own = self.services.get(service);
        HedgeLimits {
            share: own.map_or(self.share, |own| own.share),
            quantile: own.map_or(self.quantile, |own| own.quantile),
        }
    }

    /// Returns the first field that is out of range, and its number.
    fn invalid_field(&self) -> Option<(String, f64)> {
        let general = ("backup_requests".to_owned(), self.share, self.quantile);
        let services = self.services.iter().map(|(service, own)| {
            let path = format!("backup_requests.services.{service}");
            (path, own.share, own.quantile)
        });
        let mut fields = std::iter::once(general).chain(services);
        fields.find_map(|(path, share, quantile)| {
            if !(0.0..=MAX_BACKUP_SHARE).contains(&share) {
                return Some((format!("{path}.share"), share));
            }
            let is_quantile = (0.5..1.0).contains(&quantile);
            (!is_quantile).then(|| (format!("{path}.quantile"), quantile))
        })
    }
}

/// Bounds on what the gateway does, as agreed with the platform.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum time for which a revoked key may still be accepted, in milliseconds; `null` for no
    /// limit.
    pub revoke_ms: Option<f64>,
    /// Time after which the targets of an evacuated zone must get no more requests, in milliseconds; `null` if
    /// zones are not evacuated.
    pub evacuation_ms: Option<f64>,
    /// Permitted requests of a second to a cold target, as a multiple of what it bears.
    pub cold_ratio: f64,
    /// Requests of a second to a cold target that are permitted beyond.
    pub cold_slack: f64,
    /// Time after which a leaving target must get no more requests, in milliseconds.
    pub drain_ms: f64,
    /// Interval at which targets write their entries in the store, in milliseconds; an entry expires after three.
    pub target_heartbeat_ms: f64,
    /// Time for a graceful shutdown, in seconds.
    pub grace_s: f64,
    /// Extra sends as a fraction of the requests.
    pub retry_ratio: f64,
    /// Extra sends that are always permitted to the fleet.
    pub retry_slack: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Number of VMs that are assumed to share the retry budget while fewer are known; all VMs must assume the same.
    pub vms: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: None,
            evacuation_ms: None,
            cold_ratio: 1.0,
            cold_slack: 0.0,
            drain_ms: 2_500.0,
            target_heartbeat_ms: 1_200.0,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            vms: 8,
        }
    }
}

impl Bounds {
    /// Returns the time after which a leaving target must get no more requests.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_ms / 1_000.0)
    }

    /// Returns the times of calls to the store.
    #[must_use]
    pub fn store_timing(&self) -> StoreTiming {
        StoreTiming::new(Duration::from_secs_f64(self.target_heartbeat_ms / 1_000.0))
    }

    /// Returns the time after which the targets of an evacuated zone must get no more requests; `None` if zones
    /// are not evacuated.
    #[must_use]
    pub fn evacuation(&self) -> Option<Duration> {
        let time = self.evacuation_ms.filter(|time| *time > 0.0);
        time.map(|time| Duration::from_secs_f64(time / 1_000.0))
    }

    /// Returns the tolerance for requests to cold targets.
    #[must_use]
    pub const fn cold(&self) -> ColdBounds {
        ColdBounds {
            ratio: self.cold_ratio,
            slack: self.cold_slack,
        }
    }

    /// Returns the time for a graceful shutdown.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the window of the retry budget.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// Returns the maximum time for which a revoked key may still be accepted.
    #[must_use]
    pub fn revoke(&self) -> Option<Duration> {
        self.revoke_ms
            .map(|time| Duration::from_secs_f64(time / 1_000.0))
    }
}

const fn default_threads() -> usize {
    1
}

const fn default_memory_mb() -> f64 {
    128.0
}

impl GatewaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the path of the invalid field.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        Self::from_json(&bytes)
    }

    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the path of the invalid field.
    pub fn from_json(bytes: &[u8]) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let settings: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Field {
                field: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks that the numbers are in range, so that reading the settings fails and not a later use.
    fn check(&self) -> Result<(), SettingsError> {
        let backups = self.backup_requests.as_ref();
        if let Some((field, number)) = backups.and_then(BackupRequests::invalid_field) {
            let reason = format!(
                "{number} is no share up to {MAX_BACKUP_SHARE}, or no quantile from 0.5 below 1"
            );
            return Err(SettingsError::Field { field, reason });
        }
        let bounds = &self.bounds;
        let numbers = [
            ("memory_mb", self.memory_mb),
            ("bounds.revoke_ms", bounds.revoke_ms.unwrap_or_default()),
            (
                "bounds.evacuation_ms",
                bounds.evacuation_ms.unwrap_or_default(),
            ),
            ("bounds.cold_ratio", bounds.cold_ratio),
            ("bounds.cold_slack", bounds.cold_slack),
            ("bounds.drain_ms", bounds.drain_ms),
            ("bounds.target_heartbeat_ms", bounds.target_heartbeat_ms),
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_slack", bounds.retry_slack),
            ("bounds.retry_window_s", bounds.retry_window_s),
        ];
        let invalid = numbers
            .into_iter()
            .find(|(_, number)| !(0.0..=MAX_NUMBER).contains(number));
        if bounds.target_heartbeat_ms < MIN_HEARTBEAT_MS {
            return Err(SettingsError::Field {
                field: "bounds.target_heartbeat_ms".to_owned(),
                reason: format!("{} is below {MIN_HEARTBEAT_MS}", bounds.target_heartbeat_ms),
            });
        }
        match invalid {
            Some((field, number)) => Err(SettingsError::Field {
                field: field.to_owned(),
                reason: format!("{number} is not between 0 and {MAX_NUMBER}"),
            }),
            None => Ok(()),
        }
    }

    /// Returns the region of an availability zone; an unlisted zone is its own region.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> RegionId {
        let region = self.zones.get(zone);
        region.cloned().unwrap_or_else(|| SmolStr::new(zone))
    }

    /// Returns the number of bytes that request bodies, and as many that collected responses, may take at once: an
    /// eighth of the memory.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the memory of a VM is positive and fits the address space"
    )]
    pub const fn body_budget(&self) -> usize {
        (self.memory_mb * 1024.0 * 1024.0 / 8.0) as usize
    }

    /// Returns the number of bytes that may be held for callers that read slowly: a quarter of the memory.
    #[must_use]
    pub const fn slow_caller_budget(&self) -> usize {
        2 * self.body_budget()
    }
}

#[cfg(test)]
mod tests;
