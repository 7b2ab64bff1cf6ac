//! What engines report of their load.

use crate::Timestamp;
use serde::{Deserialize, Serialize};

/// Holds a model engine's load as of some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the load was as reported.
    pub at: Timestamp,
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait in the engine.
    pub waiting: u32,
    /// Tokens held in the engine's KV memory.
    pub kv_used: u64,
    /// Tokens that the KV memory can hold.
    pub kv_total: u64,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}
