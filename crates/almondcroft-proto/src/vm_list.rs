//! Messages of the platform's VM list.

use crate::json_parts::{elements, member, members};
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

/// The VM list as read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VmList {
    /// The VMs.
    pub entries: Vec<VmEntry>,
    /// VMs whose entries cannot be read otherwise.
    pub unreadable: Vec<VmId>,
    /// Number of entries that do not even name a VM, so that any VM may be among them.
    pub unknown: usize,
}

impl VmList {
    /// Reads a list; returns `None` if it is none. Each entry is read on its own.
    #[must_use]
    pub fn read(text: &[u8]) -> Option<Self> {
        let mut list = Self::default();
        for entry in elements(text)? {
            match (serde_json::from_slice(entry), read_id(entry)) {
                (Ok(entry), _) => list.entries.push(entry),
                (Err(_), Some(id)) => list.unreadable.push(id),
                (Err(_), None) => list.unknown += 1,
            }
        }
        Some(list)
    }

    /// Returns whether the list names a VM.
    #[must_use]
    pub fn contains(&self, vm: &str) -> bool {
        self.entries.iter().any(|entry| entry.id == vm) || self.unreadable.iter().any(|id| id == vm)
    }
}

impl From<Vec<VmEntry>> for VmList {
    fn from(entries: Vec<VmEntry>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }
}

fn read_id(entry: &[u8]) -> Option<VmId> {
    serde_json::from_slice(member(&members(entry)?, "id")?).ok()
}
