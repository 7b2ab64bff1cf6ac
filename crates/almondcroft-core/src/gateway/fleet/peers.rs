//! Load of peers, received by gossip: snapshots of single VMs, and digests of other zones.

use super::{Fleet, PeerLoad, PeerSnapshot, ZoneDigest, stable_hash};
use crate::gateway::SendCounts;
use crate::{Timestamp, VmId, ZoneId};
use std::collections::HashMap;
use std::time::Duration;

/// Time after its last message at which a peer or a zone counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the last message of a peer or a zone counts towards the load of targets.
///
/// It exceeds [`PEER_TIMEOUT`]: a VM that is partitioned from its peers for seconds keeps sending
/// requests to the targets, and a VM that has stopped leaves generations behind, which end within
/// about this time.
const PEER_LOAD_RETENTION: Duration = Duration::from_secs(10);

/// Shortest time after which a caller that is refused during a shutdown may return.
const MIN_SHUTDOWN_RETRY: Duration = Duration::from_millis(100);

/// Time after the start of a shutdown by which the load balancer uses other VMs.
const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// Time from the end of a VM's grace period until it serves callers again.
const RESTART_TIME: Duration = Duration::from_millis(900);

/// Distinguishes the selection of relays from others of the same VMs.
const RELAY_ROLE: &str = "relay";

/// Number of candidates in a digest; the largest number of VMs that are selected over the fleet.
const CANDIDATES: usize = 3;

impl Fleet {
    /// Replaces the snapshot of a peer's load.
    ///
    /// A snapshot from another zone is ignored while digests of that zone arrive, because they
    /// contain it.
    pub fn apply_snapshot(&mut self, vm: VmId, snapshot: PeerSnapshot) {
        let digest = self.zones.get(&snapshot.zone);
        if digest.is_some_and(|digest| digest.sums.at + PEER_TIMEOUT > snapshot.at) {
            return;
        }
        self.add_loads(&snapshot);
        if let Some(previous) = self.peers.insert(vm, snapshot) {
            self.subtract_loads(&previous);
        }
    }

    /// Replaces the digest of another zone, and the snapshots of single VMs of that zone.
    pub fn apply_digest(&mut self, zone: ZoneId, digest: ZoneDigest) {
        if zone == self.zone {
            return;
        }
        let single = self.peers.extract_if(|_, peer| peer.zone == zone);
        let single: Vec<PeerSnapshot> = single.map(|(_, snapshot)| snapshot).collect();
        for snapshot in &single {
            self.subtract_loads(snapshot);
        }
        self.add_loads(&digest.sums);
        if let Some(previous) = self.zones.insert(zone, digest) {
            self.subtract_loads(&previous.sums);
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
            zone: self.zone.clone(),
            draining_since: None,
            is_cut_off: false,
            loads: loads.collect(),
            sends: HashMap::new(),
            spare_sends: None,
        }
    }

    /// Returns the digest of this VM's zone: the sums of `local`, this VM's own snapshot, and of
    /// the reachable peers in the zone.
    #[must_use]
    pub fn zone_digest(&self, local: PeerSnapshot, now: Timestamp) -> ZoneDigest {
        let mut sums = local;
        sums.is_cut_off = false;
        let mut vm_count = 1;
        for (_, snapshot) in self.zone_peers(now) {
            vm_count += 1;
            // A zone shuts down if all of its VMs do.
            let since = sums.draining_since.zip(snapshot.draining_since);
            sums.draining_since = since.map(|(a, b)| a.min(b));
            for (target, load) in &snapshot.loads {
                let total = sums.loads.entry(target.clone()).or_default();
                *total = total.add(*load);
            }
            for (service, counts) in &snapshot.sends {
                let total = sums.sends.entry(service.clone()).or_default();
                *total = total.add(*counts);
            }
            // A zone divides the retry budget if all of its VMs do.
            let spare_sends = sums.spare_sends.zip(snapshot.spare_sends.as_ref());
            sums.spare_sends = spare_sends.map(|(mut sum, spare_sends)| {
                for (service, count) in spare_sends {
                    let total: &mut u32 = sum.entry(service.clone()).or_default();
                    *total = total.saturating_add(*count);
                }
                sum
            });
        }
        ZoneDigest {
            sums,
            vm_count,
            candidates: self.select_in_zone(CANDIDATES, now),
        }
    }

    /// Returns the `count` VMs with the lowest hashes among those of this VM's zone.
    #[must_use]
    pub fn select_in_zone(&self, count: usize, now: Timestamp) -> Vec<VmId> {
        let names = self.zone_peers(now).map(|(vm, _)| vm);
        lowest_hashes(names.chain([&self.vm]), count)
    }

    /// Returns the `count` VMs of this VM's zone that answer the others' queries.
    ///
    /// They are selected by another hash than [`Self::select_in_zone`], so that one VM does not have all duties.
    #[must_use]
    pub fn select_relays(&self, count: usize, now: Timestamp) -> Vec<VmId> {
        let names = self.zone_peers(now).map(|(vm, _)| vm);
        let mut names: Vec<&VmId> = names.chain([&self.vm]).collect();
        names.sort_by_cached_key(|name| stable_hash((RELAY_ROLE, name)));
        names.into_iter().take(count).cloned().collect()
    }

    /// Returns the number of reachable VMs of this VM's zone, this one included.
    #[must_use]
    pub fn zone_vm_count(&self, now: Timestamp) -> usize {
        1 + self.zone_peers(now).count()
    }

    /// Sums up the requests and extra sends of the reachable peers.
    #[must_use]
    pub fn peer_sends(&self, service: &str, now: Timestamp) -> SendCounts {
        let counts = self
            .all_peers(now)
            .map(|snapshot| snapshot.sends.get(service).copied().unwrap_or_default());
        counts.fold(SendCounts::default(), SendCounts::add)
    }

    /// Returns whether a peer, or a VM of a zone, spends the retry budget without shares, as an earlier version does.
    ///
    /// One that was heard in the last window counts, too: what it has spent is not in any share.
    #[must_use]
    pub fn has_peers_without_shares(&self) -> bool {
        let zones = self.zones.values().map(|digest| &digest.sums);
        let mut known = self.peers.values().chain(zones);
        known.any(|snapshot| snapshot.spare_sends.is_none())
    }

    /// Lists the reachable VMs that can lend extra sends of a service, and the zones with such VMs.
    #[must_use]
    pub fn lenders(&self, service: &str, now: Timestamp) -> (Vec<VmId>, Vec<ZoneId>) {
        let can_lend = |snapshot: &PeerSnapshot| {
            let spare_sends = snapshot.spare_sends.as_ref();
            spare_sends.is_some_and(|spare| spare.get(service).is_some_and(|count| *count > 0))
        };
        let single = self.reachable_peers(now).filter(|(_, peer)| can_lend(peer));
        let zones = self.reachable_zones(now);
        let zones = zones.filter(|(_, digest)| can_lend(&digest.sums));
        (
            single.map(|(vm, _)| vm.clone()).collect(),
            zones.map(|(zone, _)| zone.clone()).collect(),
        )
    }

    /// Returns the time after which a caller that this VM refuses during its shutdown may return.
    ///
    /// Callers return at once if another VM of the zone serves them. If only VMs elsewhere do, the
    /// load balancer uses them once it has noticed that this zone shuts down. If all VMs shut down,
    /// callers return when the first of them has restarted, because a second refusal is worse for
    /// them than a late answer. `elapsed` is the time since this VM began to shut down.
    #[must_use]
    pub fn shutdown_retry(&self, elapsed: Duration, grace: Duration, now: Timestamp) -> Duration {
        let mut near = self.zone_peers(now).peekable();
        let serves = |snapshot: &PeerSnapshot| snapshot.draining_since.is_none();
        if near.peek().is_none() || near.any(|(_, snapshot)| serves(snapshot)) {
            return MIN_SHUTDOWN_RETRY;
        }
        let wait = if self.all_peers(now).any(serves) {
            BALANCER_DELAY.saturating_sub(elapsed)
        } else {
            let times = self.all_peers(now).filter_map(|peer| peer.draining_since);
            let longest = times.map(|since| now.saturating_sub(since)).max();
            let longest = longest.unwrap_or_default().max(elapsed);
            (grace + RESTART_TIME).saturating_sub(longest)
        };
        wait.max(MIN_SHUTDOWN_RETRY)
    }

    /// Returns whether a VM may open tunnels for others: it is not known to have gone silent, to shut
    /// down or to reach no target. Of VMs of other zones nothing may be known.
    #[must_use]
    pub fn may_open_tunnels(&self, vm: &str, now: Timestamp) -> bool {
        self.peers.get(vm).is_none_or(|snapshot| {
            snapshot.at + PEER_TIMEOUT > now
                && snapshot.draining_since.is_none()
                && !snapshot.is_cut_off
        })
    }

    /// Returns the number of reachable VMs, this one included.
    #[must_use]
    pub fn vm_count(&self, now: Timestamp) -> usize {
        let zones = self.reachable_zones(now);
        let others: usize = zones.map(|(_, digest)| digest.vm_count).sum();
        1 + self.reachable_peers(now).count() + others
    }

    /// Returns the `count` VMs with the lowest hashes among the reachable ones and this one.
    ///
    /// VMs that reach the same VMs select the same; `count` is at most three.
    #[must_use]
    pub fn select_vms(&self, count: usize, now: Timestamp) -> Vec<VmId> {
        let single = self.reachable_peers(now).map(|(vm, _)| vm);
        let zones = self.reachable_zones(now);
        let candidates = zones.flat_map(|(_, digest)| &digest.candidates);
        lowest_hashes(single.chain(candidates).chain([&self.vm]), count)
    }

    /// Iterates over the reachable VMs and zones that come before this VM in the order of zones,
    /// then of names.
    pub(super) fn earlier_peers(&self, now: Timestamp) -> impl Iterator<Item = &PeerSnapshot> {
        let own = (&self.zone, &self.vm);
        let single = self
            .reachable_peers(now)
            .filter(move |(vm, snapshot)| (&snapshot.zone, *vm) < own)
            .map(|(_, snapshot)| snapshot);
        let zones = self.reachable_zones(now);
        let zones = zones.filter(|(zone, _)| **zone < self.zone);
        single.chain(zones.map(|(_, digest)| &digest.sums))
    }

    /// Iterates over the loads of all reachable VMs and zones.
    pub(super) fn all_peers(&self, now: Timestamp) -> impl Iterator<Item = &PeerSnapshot> {
        let single = self.reachable_peers(now).map(|(_, snapshot)| snapshot);
        let zones = self.reachable_zones(now).map(|(_, digest)| &digest.sums);
        single.chain(zones)
    }

    fn add_loads(&mut self, snapshot: &PeerSnapshot) {
        for (target, load) in &snapshot.loads {
            let total = self.peer_totals.entry(target.clone()).or_default();
            *total = total.add(*load);
        }
    }

    /// Subtracts the load of a snapshot from the totals of its targets.
    fn subtract_loads(&mut self, snapshot: &PeerSnapshot) {
        for (target, load) in &snapshot.loads {
            if let Some(total) = self.peer_totals.get_mut(target) {
                *total = total.subtract(*load);
                if *total == PeerLoad::default() {
                    self.peer_totals.remove(target);
                }
            }
        }
    }

    /// Removes the peers and zones whose last message is older than [`PEER_LOAD_RETENTION`].
    pub(super) fn expire_peers(&mut self, now: Timestamp) {
        let is_old = |snapshot: &PeerSnapshot| snapshot.at + PEER_LOAD_RETENTION <= now;
        let peers = self.peers.extract_if(|_, snapshot| is_old(snapshot));
        let mut expired: Vec<PeerSnapshot> = peers.map(|(_, snapshot)| snapshot).collect();
        let zones = self.zones.extract_if(|_, digest| is_old(&digest.sums));
        expired.extend(zones.map(|(_, digest)| digest.sums));
        for snapshot in expired {
            self.subtract_loads(&snapshot);
        }
    }

    /// Iterates over the reachable peers: those whose last snapshot is newer than [`PEER_TIMEOUT`].
    fn reachable_peers(&self, now: Timestamp) -> impl Iterator<Item = (&VmId, &PeerSnapshot)> {
        self.peers
            .iter()
            .filter(move |(_, snapshot)| snapshot.at + PEER_TIMEOUT > now)
    }

    /// Iterates over the reachable peers in this VM's zone.
    fn zone_peers(&self, now: Timestamp) -> impl Iterator<Item = (&VmId, &PeerSnapshot)> {
        self.reachable_peers(now)
            .filter(|(_, snapshot)| snapshot.zone == self.zone)
    }

    /// Iterates over the zones whose last digest is newer than [`PEER_TIMEOUT`].
    fn reachable_zones(&self, now: Timestamp) -> impl Iterator<Item = (&ZoneId, &ZoneDigest)> {
        self.zones
            .iter()
            .filter(move |(_, digest)| digest.sums.at + PEER_TIMEOUT > now)
    }
}

/// Returns the `count` names with the lowest hashes; all VMs that know the same names select the same.
#[must_use]
pub fn lowest_hashes<'a>(names: impl Iterator<Item = &'a VmId>, count: usize) -> Vec<VmId> {
    let mut names: Vec<&VmId> = names.collect();
    names.sort_by_cached_key(|name| stable_hash(name));
    names.into_iter().take(count).cloned().collect()
}
