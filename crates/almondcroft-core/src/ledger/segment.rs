//! Segments of a shard's log, each stored as one object.

use super::{Claim, KeyHash, Nonce, Outcome};
use crate::{Era, Timestamp};
use serde::{Deserialize, Serialize};

/// One entry of a shard's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "kebab-case")]
pub enum Entry {
    /// An attempt claims the right to run the call.
    Claim(Claim),
    /// The attempt sent the call to a target, with this outcome.
    Outcome {
        /// Hash of the key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// Nonce of the attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The target's response.
        #[serde(rename = "o")]
        outcome: Outcome,
    },
    /// The attempt ended before it sent the call.
    Release {
        /// Hash of the key.
        #[serde(rename = "k")]
        key: KeyHash,
        /// Nonce of the attempt.
        #[serde(rename = "n")]
        nonce: Nonce,
    },
}

impl Entry {
    /// Returns the hash of the entry's key.
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

/// A run of consecutive entries of a shard's log.
///
/// Only the last segment of a shard is open. The update that fills it also seals it, before the
/// next segment is created, so at any time exactly one object accepts the next entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Segment {
    /// Whether the log continues in the next segment.
    pub sealed: bool,
    /// When the last entry was appended.
    pub last: Timestamp,
    /// Era of the store in which the last entry was appended.
    #[serde(default)]
    pub era: Era,
    /// Claims on keys issued before this time may have been lost with a restoration of the store.
    #[serde(default)]
    pub unproven_before: Timestamp,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}
