//! Capacity and speed of an engine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of a KV cache block, in tokens.
    pub block_tokens: u64,
    /// Largest number of generations in the batch.
    pub max_batch: usize,
    /// Duration of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Time that each generation adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each prompt token adds to a step, in microseconds.
    pub prefill_us: u64,
    /// Largest number of tokens prefilled in one step.
    pub prefill_chunk: u64,
    /// Capacity of the prefix cache, in tokens.
    pub prefix_tokens: u64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            kv_tokens: 40_000,
            block_tokens: 16,
            max_batch: 64,
            step_us: 10_000,
            sequence_us: 200,
            prefill_us: 20,
            prefill_chunk: 512,
            prefix_tokens: 8_000,
        }
    }
}

impl EngineSpec {
    /// Returns the duration of a step with `batch` generations and `prefill` prefilled tokens.
    #[must_use]
    pub const fn step_time(&self, batch: u64, prefill: u64) -> Duration {
        Duration::from_micros(self.step_us + self.sequence_us * batch + self.prefill_us * prefill)
    }

    /// Rounds a number of tokens up to whole blocks.
    #[must_use]
    pub const fn round_to_blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_tokens) * self.block_tokens
    }
}
