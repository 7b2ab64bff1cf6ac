//! Events that a shard handles.

use crate::Era;
use crate::ledger::{Claim, Entry, Segment};

/// Identifies a pending claim and its answer; chosen by the driver.
pub type Ticket = u64;
/// Identifies a store call, either a load or a write.
pub type CallId = u64;

/// An event for a shard to handle.
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A VM claims a key.
    Claim {
        /// Identifies the claim in the answer.
        ticket: Ticket,
        /// The claim.
        claim: Claim,
    },
    /// An outcome or a release has to be appended to the log; no answer follows.
    Append(Entry),
    /// The claim's time limit has passed; it is answered from the entries applied so far.
    Timeout {
        /// The claim's ticket.
        ticket: Ticket,
    },
    /// A load completed.
    Loaded {
        /// The store call.
        id: CallId,
        /// Era of the store.
        era: Era,
        /// Index, version and contents of each segment, in order of their index.
        segments: Vec<(u64, u64, Segment)>,
    },
    /// A load failed.
    LoadFailed {
        /// The store call.
        id: CallId,
    },
    /// A write took effect.
    Written {
        /// The store call.
        id: CallId,
        /// Era of the store.
        era: Era,
        /// The segment's new version.
        version: u64,
    },
    /// A write had no effect, or its effect is unknown; the log must be read again.
    WriteFailed {
        /// The store call.
        id: CallId,
    },
    /// Time passed.
    Tick,
}
