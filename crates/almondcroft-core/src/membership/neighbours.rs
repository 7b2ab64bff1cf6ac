//! Whom a VM probes.

use crate::VmId;

/// Returns the `count` members that follow `me` in the ring of sorted ids.
///
/// Each member is probed by `count` others, so the cost per VM stays the same as the fleet grows.
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
mod tests {
    use super::*;

    #[test]
    fn neighbours_wrap_around() {
        let members: Vec<VmId> = ["a", "b", "c", "d"].map(VmId::from).to_vec();
        assert_eq!(neighbours("c", &members, 2), ["d", "a"]);
        assert_eq!(neighbours("c", &members, 9), ["d", "a", "b"]);
        assert!(neighbours("a", &["a".into()], 2).is_empty());
    }
}
