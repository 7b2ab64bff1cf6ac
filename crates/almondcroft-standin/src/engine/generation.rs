//! A generation and its progress in an engine.

use almondcroft_core::Timestamp;
use smol_str::SmolStr;

/// A generation that an engine runs or queues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Unique id.
    pub id: SmolStr,
    /// Priority; lower numbers are more urgent.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Hash and length of the prompt's shared prefix.
    pub prefix: Option<(u64, u64)>,
    /// Length of the output, in tokens; the engine does not use it to schedule.
    pub length: u64,
    /// Arrival time.
    pub arrived_at: Timestamp,
    /// Tokens produced so far.
    pub produced: u64,
    /// Tokens still to be prefilled before decoding can continue.
    pub(super) pending_prefill: u64,
}

impl Generation {
    /// Creates a generation of priority 1 that has produced nothing.
    #[must_use]
    pub const fn new(id: SmolStr, prompt: u64, length: u64, arrived_at: Timestamp) -> Self {
        Self {
            id,
            priority: 1,
            prompt,
            prefix: None,
            length,
            arrived_at,
            produced: 0,
            pending_prefill: prompt,
        }
    }

    /// Sets the priority.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the hash and the length of the shared prefix.
    #[must_use]
    pub const fn prefix(mut self, hash: u64, tokens: u64) -> Self {
        self.prefix = Some((hash, tokens));
        self
    }
}
