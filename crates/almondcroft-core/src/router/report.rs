//! Load reports of engines.

use crate::Timestamp;
use serde::{Deserialize, Serialize};

/// A model engine's load at a moment in the past.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time at which the load was measured.
    pub at: Timestamp,
    /// Number of generations in the batch.
    pub running: u32,
    /// Number of generations that wait in the engine's queue.
    pub waiting: u32,
    /// Tokens held in the engine's KV cache.
    pub kv_used: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_total: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
}

impl LoadReport {
    /// Returns the number of generations in the batch and in the queue.
    pub(super) const fn generations(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
