//! Rendezvous hashing, by which every VM ranks the same members in the same order.
//!
//! Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.

use smol_str::SmolStr;

/// Returns the score of a member for a key; the member with the highest score owns the key.
#[must_use]
pub fn score(member: &str, key: u64) -> u64 {
    // FNV-1a over the id, mixed with the key by the splitmix64 finalizer: the order must not change
    // between builds, which the standard hashers do not guarantee.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in member.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mut mixed = hash ^ key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the members in descending order of their score for a key.
#[must_use]
pub fn rank_members(members: &[SmolStr], key: u64) -> Vec<SmolStr> {
    let mut order = members.to_vec();
    order.sort_by_cached_key(|member| std::cmp::Reverse(score(member, key)));
    order
}

#[cfg(test)]
mod tests;
