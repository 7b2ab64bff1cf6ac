//! Answers to claims.

use super::Outcome;
use crate::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Tells a VM what to do with a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimAnswer {
    /// The claim is durable: this attempt alone may run the call.
    Granted,
    /// Another attempt holds the claim and no outcome is known yet.
    Running {
        /// The VM of that attempt.
        vm: VmId,
        /// The run of that VM's process.
        incarnation: Incarnation,
        /// When that attempt ends at the latest.
        deadline: std::time::Duration,
    },
    /// The call ran, with this outcome.
    Done(Outcome),
    /// The key was used with another body.
    Mismatch,
    /// The store cannot be reached; the claim is not granted.
    Unavailable {
        /// Whether the shard's log is known, so that an earlier claim would be known too.
        loaded: bool,
    },
}
