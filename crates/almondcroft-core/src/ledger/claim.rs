//! Claims on keyed calls.

use super::{BodyHash, KeyHash, Nonce};
use crate::{Incarnation, Timestamp, VmId};
use serde::{Deserialize, Serialize};

/// A request for the exclusive right to run a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of customer, service and idempotency key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Hash of method, path and body.
    #[serde(rename = "b")]
    pub body: BodyHash,
    /// Identifies the attempt; its presence in the log shows that a write took effect.
    #[serde(rename = "n")]
    pub nonce: Nonce,
    /// The VM that would run the call.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// Incarnation of that VM's process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// When the claim was made.
    #[serde(rename = "t")]
    pub at: Timestamp,
    /// When the caller made the key; `None` if the key does not say.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub issued_at: Option<Timestamp>,
    /// Latest time at which the attempt ends.
    #[serde(rename = "d")]
    pub deadline: Timestamp,
}
