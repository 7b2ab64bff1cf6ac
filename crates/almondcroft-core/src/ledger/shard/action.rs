//! What a shard asks of its driver.

use super::{Ticket, WriteId};
use crate::ledger::{ClaimAnswer, Expected, Segment};

/// Tells the driver what to do.
#[derive(Debug, Clone)]
pub enum ShardAction {
    /// Read all segments from `from`, or all that exist.
    Load {
        /// The call.
        id: WriteId,
        /// First index to read; `None` reads the whole log.
        from: Option<u64>,
    },
    /// Write a segment if it has the expected version.
    Write {
        /// The call.
        id: WriteId,
        /// Index of the segment.
        index: u64,
        /// The version that is replaced.
        expected: Expected,
        /// The new contents.
        segment: Segment,
    },
    /// Delete a segment whose keys are all forgotten.
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
