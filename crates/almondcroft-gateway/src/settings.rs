//! Settings of a gateway, in JSON.

use almondcroft_core::{RegionId, VmId, ZoneId};
use serde::Deserialize;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

/// Tells why settings cannot be used.
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

/// Holds everything that a gateway is told at its start.
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
    /// Address for the balancer's question whether the VM takes connections.
    pub ready: SocketAddr,
    /// Address of the metrics; `null` for none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address for news of the other VMs; `null` for none.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Threads of the executor.
    #[serde(default = "one")]
    pub threads: usize,
    /// Memory of the VM, in megabytes.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Bounds.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Bounds of what the gateway does, from the agreement with the platform.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Longest time for which an accepted key may be out of date, in milliseconds; `null` for any.
    pub revoke_ms: Option<u64>,
    /// Time after which a target that leaves must get no work, in milliseconds.
    pub drain_ms: u64,
    /// Time for a planned stop, in seconds.
    pub grace_s: f64,
    /// Extra sends as a part of the requests.
    pub retry_ratio: f64,
    /// Extra sends that are always permitted to the fleet.
    pub retry_slack: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Number of VMs that share the retry budget, as far as it is known at the start.
    pub vms: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: None,
            drain_ms: 2_500,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            vms: 8,
        }
    }
}

impl Bounds {
    /// Returns the time after which a target that leaves must get no work.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the time for a planned stop.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the longest time for which an accepted key may be out of date.
    #[must_use]
    pub fn revoke(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }
}

const fn one() -> usize {
    1
}

const fn default_memory() -> u64 {
    128
}

impl GatewaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the path of the field at fault.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        Self::from_json(&bytes)
    }

    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the path of the field at fault.
    pub fn from_json(bytes: &[u8]) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Field {
            field: error.path().to_string(),
            reason: error.inner().to_string(),
        })
    }

    /// Returns the region of an availability zone.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> RegionId {
        let known = self.zones.get(zone);
        known.cloned().unwrap_or_else(|| SmolStr::new(zone))
    }

    /// Returns the most bytes of bodies that are held at once: an eighth of the memory.
    #[must_use]
    pub const fn body_budget(&self) -> usize {
        (self.memory_mb * 1024 * 1024 / 8) as usize
    }

    /// Returns the address of this VM for the others.
    #[must_use]
    pub fn ip(&self) -> IpAddr {
        self.listen.ip()
    }
}
