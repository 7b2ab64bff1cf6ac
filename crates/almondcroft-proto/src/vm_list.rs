//! Messages of the platform's VM list.

use almondcroft_core::{VmId, ZoneId};
use serde::{Deserialize, Serialize};

/// Tells what the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// Describes one VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identifies the VM.
    pub id: VmId,
    /// Base URL of its daemon, by IP number.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What the platform says of it.
    pub state: VmState,
}
