//! Load of one VM at the targets, as exchanged by gossip.

use crate::gateway::SendCounts;
use crate::{ServiceId, TargetId, Timestamp, VmId, ZoneId};
use std::collections::HashMap;

/// Sums up the requests and KV cache copies of one VM at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerLoad {
    /// Number of requests.
    pub count: u32,
    /// KV cache tokens that requests are expected to fill at their end, and those of copies.
    pub tokens: u32,
    /// Prompt tokens that the target has yet to prefill.
    pub prefill_tokens: u32,
    /// Tokens that migrations would have to copy if the target left now; generations that are copied
    /// already do not count.
    pub migration_tokens: u32,
    /// Tokens of migrations under way to the target.
    pub incoming_tokens: u32,
}

impl PeerLoad {
    pub(super) const fn add(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_add(other.count),
            tokens: self.tokens.saturating_add(other.tokens),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            migration_tokens: self.migration_tokens.saturating_add(other.migration_tokens),
            incoming_tokens: self.incoming_tokens.saturating_add(other.incoming_tokens),
        }
    }

    pub(super) const fn subtract(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_sub(other.count),
            tokens: self.tokens.saturating_sub(other.tokens),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            migration_tokens: self.migration_tokens.saturating_sub(other.migration_tokens),
            incoming_tokens: self.incoming_tokens.saturating_sub(other.incoming_tokens),
        }
    }
}

/// Load of one VM at all targets at one time, the content of a gossip message.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerSnapshot {
    /// Time at which the snapshot was received, or taken if it is this VM's own.
    pub at: Timestamp,
    /// Availability zone of the VM; empty if it is unknown.
    pub zone: ZoneId,
    /// Time at which the VM, or the first VM of a zone, began to shut down; `None` if it, or any VM of
    /// the zone, serves callers.
    pub draining_since: Option<Timestamp>,
    /// Whether the VM reaches no target itself.
    pub is_cut_off: bool,
    /// Load by target.
    pub loads: HashMap<TargetId, PeerLoad>,
    /// Requests and extra sends by service.
    pub sends: HashMap<ServiceId, SendCounts>,
    /// Extra sends that the VM can lend, by service; `None` for VMs of an earlier version, which spend the fleet's
    /// retry budget without shares.
    pub spare_sends: Option<HashMap<ServiceId, u32>>,
}

/// Sums up the load of all VMs of a zone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneDigest {
    /// The sums, and the time at which they were received, or taken if they are this zone's own.
    pub sums: PeerSnapshot,
    /// Number of VMs.
    pub vm_count: usize,
    /// The VMs of the zone that [`Fleet::select_vms`](super::Fleet::select_vms) considers.
    pub candidates: Vec<VmId>,
}
