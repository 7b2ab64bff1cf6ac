//! What a shard takes in.

use crate::ledger::{Claim, Entry, Segment};

/// Tells one waiting claim from another; chosen by the driver.
pub type Ticket = u64;
/// Tells one store call from another.
pub type WriteId = u64;

/// Tells a shard what happened.
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A VM asks for a claim.
    Claim {
        /// Names the claim in the answer.
        ticket: Ticket,
        /// What is claimed.
        claim: Claim,
    },
    /// An outcome or a release is to be recorded; nobody waits for it.
    Note(Entry),
    /// The time for this claim is up: it is answered from what is known.
    GiveUp {
        /// The claim's ticket.
        ticket: Ticket,
    },
    /// A load ended: segments in order of their index, with their versions.
    Loaded {
        /// The call.
        id: WriteId,
        /// Index, version and contents of each segment.
        segments: Vec<(u64, u64, Segment)>,
    },
    /// A load failed.
    LoadFailed {
        /// The call.
        id: WriteId,
    },
    /// A write took effect and gave this version.
    Written {
        /// The call.
        id: WriteId,
        /// The new version.
        version: u64,
    },
    /// A write had no effect, or its effect is unknown: the log must be read again.
    WriteFailed {
        /// The call.
        id: WriteId,
    },
    /// Time passed.
    Tick,
}
