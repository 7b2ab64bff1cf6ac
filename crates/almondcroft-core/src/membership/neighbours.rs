//! Selection of the VMs that a VM probes.

use crate::VmId;

/// Returns the `count` members that follow `me` in the ring of sorted ids.
///
/// Each member is probed by `count` others, so the cost per VM stays constant as the fleet grows.
#[must_use]
pub fn neighbours(me: &str, members: &[VmId], count: usize) -> Vec<VmId> {
    let mut ring: Vec<&VmId> = members.iter().filter(|id| *id != me).collect();
    ring.sort();
    ring.dedup();
    let start = ring.partition_point(|id| id.as_str() < me);
    let take = count.min(ring.len());
    (0..take)
        .map(|step| ring[(start + step) % ring.len()].clone())
        .collect()
}

#[cfg(test)]
mod tests;
