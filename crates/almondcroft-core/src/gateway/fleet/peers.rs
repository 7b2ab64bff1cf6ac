//! Load snapshots of peers, received by gossip.

use super::{Fleet, PeerLoad, PeerSnapshot, stable_hash};
use crate::gateway::SendCounts;
use crate::{Timestamp, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Time after its last snapshot at which a peer counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the last snapshot of a peer counts towards the load of targets.
///
/// It exceeds [`PEER_TIMEOUT`]: a VM that is partitioned from its peers for seconds keeps sending
/// requests to the targets, and a VM that has stopped leaves generations behind, which end within
/// about this time.
const PEER_LOAD_RETENTION: Duration = Duration::from_secs(10);

impl Fleet {
    /// Replaces the snapshot of a peer's load.
    pub fn apply_snapshot(&mut self, vm: VmId, snapshot: PeerSnapshot) {
        for (target, load) in &snapshot.loads {
            let total = self.peer_totals.entry(target.clone()).or_default();
            *total = total.add(*load);
        }
        if let Some(previous) = self.peers.insert(vm, snapshot) {
            self.subtract_snapshot(&previous);
        }
    }

    /// Returns a snapshot of this VM's load for its peers, without the counts of sends.
    #[must_use]
    pub fn local_snapshot(&self, now: Timestamp) -> PeerSnapshot {
        let loads = self
            .targets
            .iter()
            .filter(|(_, state)| !state.is_idle())
            .map(|(id, state)| (id.clone(), state.local_load()));
        PeerSnapshot {
            at: now,
            loads: loads.collect(),
            sends: HashMap::new(),
        }
    }

    /// Sums up the requests and extra sends of the reachable peers.
    #[must_use]
    pub fn peer_sends(&self, service: &str, now: Timestamp) -> SendCounts {
        let counts = self
            .reachable_peers(now)
            .map(|(_, snapshot)| snapshot.sends.get(service).copied().unwrap_or_default());
        counts.fold(SendCounts::default(), SendCounts::add)
    }

    /// Returns the number of reachable VMs, this one included.
    #[must_use]
    pub fn vm_count(&self, now: Timestamp) -> usize {
        1 + self.reachable_peers(now).count()
    }

    /// Returns the `count` VMs with the lowest hashes among the reachable peers and this one.
    ///
    /// VMs with the same reachable peers select the same VMs.
    #[must_use]
    pub fn select_vms(&self, count: usize, now: Timestamp) -> Vec<VmId> {
        let reachable = self.reachable_peers(now).map(|(vm, _)| vm);
        let mut vms: Vec<&VmId> = reachable.chain([&self.vm]).collect();
        vms.sort_by_cached_key(|vm| stable_hash(vm));
        vms.into_iter().take(count).cloned().collect()
    }

    /// Subtracts the load of a snapshot from the totals of its targets.
    fn subtract_snapshot(&mut self, snapshot: &PeerSnapshot) {
        for (target, load) in &snapshot.loads {
            if let Some(total) = self.peer_totals.get_mut(target) {
                *total = total.subtract(*load);
                if *total == PeerLoad::default() {
                    self.peer_totals.remove(target);
                }
            }
        }
    }

    /// Removes the peers whose last snapshot is older than [`PEER_LOAD_RETENTION`].
    pub(super) fn expire_peers(&mut self, now: Timestamp) {
        let silent: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, snapshot)| snapshot.at + PEER_LOAD_RETENTION <= now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            if let Some(snapshot) = self.peers.remove(&vm) {
                self.subtract_snapshot(&snapshot);
            }
        }
    }

    /// Iterates over the reachable peers: those whose last snapshot is newer than [`PEER_TIMEOUT`].
    pub(super) fn reachable_peers(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&VmId, &PeerSnapshot)> {
        self.peers
            .iter()
            .filter(move |(_, snapshot)| snapshot.at + PEER_TIMEOUT > now)
    }
}
