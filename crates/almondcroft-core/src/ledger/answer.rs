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
    /// The claim could not be decided in time, for example because the store cannot be reached; it
    /// is not granted.
    Unavailable {
        /// Whether the shard's whole log is known, so that an earlier claim on the key would have
        /// been found.
        loaded: bool,
    },
}
