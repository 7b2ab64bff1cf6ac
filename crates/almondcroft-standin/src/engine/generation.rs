//! One generation inside an engine.

use almondcroft_core::Timestamp;
use smol_str::SmolStr;

/// Describes a generation to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Identifies the generation.
    pub id: SmolStr,
    /// Lower numbers go first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hash and length of the prompt's shared prefix.
    pub prefix: Option<(u64, u64)>,
    /// Tokens that it will produce, which the engine does not know beforehand.
    pub length: u64,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Tokens that it has produced.
    pub produced: u64,
    /// Tokens that are still to be read before it can go on.
    pub(super) unread: u64,
}

impl Generation {
    /// Creates a generation that has produced nothing.
    #[must_use]
    pub const fn new(id: SmolStr, prompt: u64, length: u64, arrived: Timestamp) -> Self {
        Self {
            id,
            priority: 1,
            prompt,
            prefix: None,
            length,
            arrived,
            produced: 0,
            unread: prompt,
        }
    }

    /// Sets the priority.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the shared prefix by its hash and length.
    #[must_use]
    pub const fn prefix(mut self, hash: u64, tokens: u64) -> Self {
        self.prefix = Some((hash, tokens));
        self
    }
}
