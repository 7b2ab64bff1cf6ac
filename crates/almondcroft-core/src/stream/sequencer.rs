//! Order of tokens within one generation.

/// Tells what to do with an event that a target sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// The token is the next one: hand it to the caller.
    Deliver,
    /// The token was delivered before: drop it.
    Duplicate,
    /// Tokens are missing: resume the generation at `expected`.
    Gap {
        /// Offset of the next token to deliver.
        expected: u64,
    },
}

/// Decides for each numbered token whether it is the next one to deliver.
///
/// Use one per stream. Offsets count tokens of the generation from zero.
#[derive(Debug, Clone, Copy)]
pub struct Sequencer {
    next: u64,
}

impl Sequencer {
    /// Creates a sequencer whose first token to deliver is `next`.
    #[must_use]
    pub const fn new(next: u64) -> Self {
        Self { next }
    }

    /// Returns the offset of the next token to deliver.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Judges the token at `offset` and advances when it is the next one.
    pub const fn accept(&mut self, offset: u64) -> Accept {
        if offset < self.next {
            return Accept::Duplicate;
        }
        if offset > self.next {
            return Accept::Gap {
                expected: self.next,
            };
        }
        self.next += 1;
        Accept::Deliver
    }
}

#[cfg(test)]
mod tests;
