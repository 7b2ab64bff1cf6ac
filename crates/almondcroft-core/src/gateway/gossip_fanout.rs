//! Rate limit and refresh order of gossip to the other VMs.

use super::number::floor_to_usize;
use crate::Timestamp;
use std::time::Duration;

/// Time within which every peer gets one message even if nothing changed; a third of the time after
/// which a silent VM counts as unreachable.
const REFRESH_TIME: Duration = Duration::from_secs(1);

/// Datagrams that a VM may send per second because of changes. Each costs about 15 us of processor
/// time at the sender and at the receiver.
const CHANGE_RATE: f64 = 400.0;

/// Capacity of the token bucket, as the time in which it refills, in seconds.
const BURST_SECONDS: f64 = 0.5;

/// Decides how many and which peers get a gossip message.
///
/// Every VM places requests by the snapshots of its peers' load, and two VMs with the same snapshots
/// choose the same target. Each VM therefore sends a message to all peers as soon as its own load at
/// engines changes, as far as a token bucket allows, and refreshes a few peers in each round in case
/// they missed a message.
///
/// ```
/// use almondcroft_core::gateway::GossipFanout;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut fanout = GossipFanout::default();
/// assert_eq!(fanout.take(76, second), 76);
/// assert_eq!(fanout.refresh_peers(20, second / 10), [0, 1]);
/// assert_eq!(fanout.refresh_peers(20, second / 10), [2, 3]);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GossipFanout {
    next_peer: usize,
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl Default for GossipFanout {
    fn default() -> Self {
        Self {
            next_peer: 0,
            tokens: CHANGE_RATE * BURST_SECONDS,
            refilled_at: None,
        }
    }
}

impl GossipFanout {
    /// Takes up to `wanted` datagrams from the token bucket; returns how many may be sent now.
    pub fn take(&mut self, wanted: usize, now: Timestamp) -> usize {
        let passed = now.saturating_sub(self.refilled_at.replace(now).unwrap_or(now));
        let capacity = CHANGE_RATE * BURST_SECONDS;
        self.tokens = (self.tokens + passed.as_secs_f64() * CHANGE_RATE).min(capacity);
        let taken = wanted.min(floor_to_usize(self.tokens));
        self.tokens -= f64::from(u32::try_from(taken).unwrap_or(u32::MAX));
        taken
    }

    /// Returns the indices of the peers to refresh in a round, out of `peers`, in round-robin order.
    pub fn refresh_peers(&mut self, peers: usize, round: Duration) -> Vec<usize> {
        if peers == 0 {
            return Vec::new();
        }
        let fraction = round.as_secs_f64() / REFRESH_TIME.as_secs_f64();
        let count =
            floor_to_usize((f64::from(u32::try_from(peers).unwrap_or(u32::MAX)) * fraction).ceil());
        let first = self.next_peer % peers;
        let count = count.clamp(1, peers);
        self.next_peer = first + count;
        (first..first + count).map(|index| index % peers).collect()
    }
}

#[cfg(test)]
mod tests;
