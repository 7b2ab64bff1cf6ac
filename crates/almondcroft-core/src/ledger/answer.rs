//! Answers to claims.

use super::Outcome;
use crate::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// The result of a claim, which decides what a VM does with a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The claim is durable: this attempt alone may run the call.
    Granted,
    /// Another attempt holds the claim and no outcome is known yet.
    Running {
        /// The VM of that attempt.
        vm: VmId,
        /// Incarnation of that VM's process.
        incarnation: Incarnation,
        /// Latest time at which that attempt ends.
        deadline: std::time::Duration,
    },
    /// The call already ran, with this outcome.
    Done(Outcome),
    /// The key was already used with another body.
    Mismatch,
    /// The store cannot be reached; the claim is not granted.
    Unavailable {
        /// Whether the shard's log has been read, so that an earlier claim would be known.
        loaded: bool,
    },
}
