//! Parts of a shard's log, one object each.

use super::{Claim, KeyHash, Nonce, Outcome};
use crate::Timestamp;
use serde::{Deserialize, Serialize};

/// States one fact of a shard's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "kebab-case")]
pub enum Entry {
    /// An attempt may run the call.
    Claim(Claim),
    /// The attempt ran the call.
    Outcome {
        /// Hash of the key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// What the target answered.
        #[serde(rename = "o")]
        outcome: Outcome,
    },
    /// The attempt gave up before it sent anything.
    Release {
        /// Hash of the key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// The attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
    },
}

impl Entry {
    /// Returns the hash of the key that the entry is about.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome { key, .. } | Self::Release { key, .. } => *key,
        }
    }

    /// Estimates the encoded size, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Claim(claim) => 180 + claim.vm.len(),
            Self::Outcome { outcome, .. } => 130 + outcome.body.as_ref().map_or(0, String::len),
            Self::Release { .. } => 90,
        }
    }
}

/// Holds consecutive entries of a shard's log.
///
/// Only the last segment of a shard is open. It is sealed by the update that fills it, before the
/// next one is created; so at each time exactly one object can take the next entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Segment {
    /// Whether the log goes on in the next segment.
    pub sealed: bool,
    /// When the last entry was appended.
    pub last: Timestamp,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}
