//! Actions that a shard requests from its driver.

use super::{CallId, Ticket};
use crate::ledger::{ClaimAnswer, Expected, Segment};

/// An action for the driver to carry out.
#[derive(Debug, Clone)]
pub enum ShardAction {
    /// Read the segments from index `from` on, or all of them.
    Load {
        /// Identifies the store call.
        id: CallId,
        /// Index of the first segment to read; `None` reads the whole log.
        from: Option<u64>,
    },
    /// Write a segment if it has the expected version.
    Write {
        /// Identifies the store call.
        id: CallId,
        /// Index of the segment.
        index: u64,
        /// The version to replace.
        expected: Expected,
        /// The new contents.
        segment: Segment,
    },
    /// Delete a segment whose keys have all expired.
    Delete {
        /// Index of the segment.
        index: u64,
    },
    /// Answer a claim.
    Answer {
        /// The claim's ticket.
        ticket: Ticket,
        /// The answer.
        answer: ClaimAnswer,
    },
}
