//! Messages of the platform's VM list.

use almondcroft_core::{VmId, ZoneId};
use serde::{Deserialize, Serialize};

/// State of a VM as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the VM.
    pub id: VmId,
    /// Base URL of its daemon, with an IP address as the host.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its state as reported by the platform.
    pub state: VmState,
}
