//! One attempt's wish to run a keyed call.

use super::{BodyHash, KeyHash, Nonce};
use crate::{Incarnation, Timestamp, VmId};
use serde::{Deserialize, Serialize};

/// Asks for the right to run a keyed call once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of customer, service and idempotency key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Hash of method, path and body.
    #[serde(rename = "b")]
    pub body: BodyHash,
    /// Tells this attempt from every other; settles whether a write took effect.
    #[serde(rename = "n")]
    pub nonce: Nonce,
    /// The VM that would run the call.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The run of that VM's process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// When the claim was made.
    #[serde(rename = "t")]
    pub at: Timestamp,
    /// When the attempt ends at the latest.
    #[serde(rename = "d")]
    pub deadline: Timestamp,
}
