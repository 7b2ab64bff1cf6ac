//! Ways from this VM to the targets: its own, and tunnels through other VMs.
//!
//! It is designed for a VM that loses its own way to some or all targets for seconds, while other VMs
//! still reach them, and for targets that are gone, which no VM reaches. The two look the same from one
//! connection that fails, so a connection that opens through a peer is what tells them apart.

use crate::{TargetId, Timestamp, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Delay before a tunnel is tried beside a direct connection, on a way that is not known to fail.
///
/// It exceeds the round trip of a direct connection between regions.
const TUNNEL_DELAY: Duration = Duration::from_millis(150);

/// Delay before the next peer is tried beside the ones that have not answered.
pub const PEER_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of peers that are tried for one connection.
const MAX_PEERS: usize = 3;

/// Time for which a failure of the direct way is remembered.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// Number of targets whose direct way must have failed for this VM to count as cut off from all.
const CUT_OFF_TARGETS: usize = 2;

/// Time for which a peer that opened no tunnel is tried only after the others.
const PEER_AVOIDANCE: Duration = Duration::from_secs(1);

/// A VM through which a target may be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Its name.
    pub vm: VmId,
    /// Whether it is in this VM's availability zone.
    pub is_near: bool,
}

/// Tracks which targets this VM reaches directly.
#[derive(Debug, Default)]
pub struct TargetPaths {
    /// When a target was last reached through a peer only.
    tunneled: HashMap<TargetId, Timestamp>,
    /// Targets that were silent on a connection and have not been connected to since.
    silent: HashMap<TargetId, Timestamp>,
    last_direct: Option<Timestamp>,
    avoided_peers: HashMap<VmId, Timestamp>,
    turn: usize,
}

impl TargetPaths {
    /// Returns the delay after the start of a direct connection before a tunnel is tried beside it.
    ///
    /// The direct way is always tried, so it is used again as soon as it works.
    #[must_use]
    pub fn tunnel_delay(&self, target: &str, timeout: Duration, now: Timestamp) -> Duration {
        if self.is_tunneled(target, now) {
            Duration::ZERO
        } else {
            TUNNEL_DELAY.min(timeout / 2)
        }
    }

    /// Returns the peers to ask for a tunnel, in this order.
    ///
    /// Peers take turns; those of this VM's zone come before the others, except that the second is from
    /// elsewhere, because a cut may affect a whole zone.
    pub fn order_peers(&mut self, peers: Vec<TunnelPeer>, now: Timestamp) -> Vec<VmId> {
        let is_avoided = |peer: &TunnelPeer| {
            let until = self.avoided_peers.get(&peer.vm);
            until.is_some_and(|until| *until > now)
        };
        let (avoided, usable): (Vec<_>, Vec<_>) = peers.into_iter().partition(is_avoided);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|peer| peer.is_near);
        self.turn = self.turn.wrapping_add(1);
        for group in [&mut near, &mut far] {
            group.sort_by(|a, b| a.vm.cmp(&b.vm));
            let offset = self.turn % group.len().max(1);
            group.rotate_left(offset);
        }
        let split = near.len().min(1);
        let rest = near.split_off(split);
        let ordered = near.into_iter().chain(far).chain(rest).chain(avoided);
        ordered.map(|peer| peer.vm).take(MAX_PEERS).collect()
    }

    /// Records that a direct connection to a target opened.
    pub fn record_direct(&mut self, target: &str, now: Timestamp) {
        self.tunneled.remove(target);
        self.silent.remove(target);
        self.last_direct = Some(now);
    }

    /// Records that a connection to a target opened through a peer, but not directly.
    pub fn record_tunneled(&mut self, target: &TargetId, now: Timestamp) {
        self.tunneled.insert(target.clone(), now);
    }

    /// Records that a target did not respond in time over an open connection.
    pub fn record_silence(&mut self, target: &TargetId, now: Timestamp) {
        self.silent.insert(target.clone(), now);
    }

    /// Records that a peer opened no tunnel.
    pub fn record_peer_failure(&mut self, vm: &VmId, now: Timestamp) {
        self.avoided_peers.insert(vm.clone(), now + PEER_AVOIDANCE);
    }

    /// Returns whether idle connections to a target may be used.
    ///
    /// They may hang without an error if the direct way is cut.
    #[must_use]
    pub fn trusts_idle(&self, target: &str, now: Timestamp) -> bool {
        !self.silent.contains_key(target) && !self.is_tunneled(target, now)
    }

    /// Returns whether this VM appears to be cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self, now: Timestamp) -> bool {
        let since = self.last_direct.unwrap_or_default();
        let recent = self
            .tunneled
            .values()
            .filter(|at| **at > since && is_recent(**at, now));
        recent.count() >= CUT_OFF_TARGETS
    }

    /// Forgets what is too old to decide anything.
    pub fn tick(&mut self, now: Timestamp) {
        self.tunneled.retain(|_, at| is_recent(*at, now));
        self.silent.retain(|_, at| is_recent(*at, now));
        self.avoided_peers.retain(|_, until| *until > now);
    }

    fn is_tunneled(&self, target: &str, now: Timestamp) -> bool {
        let at = self.tunneled.get(target);
        at.is_some_and(|at| is_recent(*at, now)) || self.is_cut_off(now)
    }
}

fn is_recent(at: Timestamp, now: Timestamp) -> bool {
    at + FAILURE_RETENTION > now
}

#[cfg(test)]
mod tests;
