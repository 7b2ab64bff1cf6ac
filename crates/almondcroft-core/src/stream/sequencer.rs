//! Ordering of tokens within one generation.

/// Position of a received token in the order of delivery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenOrder {
    /// The token is the next one to deliver to the caller.
    Next,
    /// The token has been delivered before and must be dropped.
    Duplicate,
    /// Tokens are missing; the generation has to be resumed at `expected`.
    Gap {
        /// Offset of the next token to deliver.
        expected: u64,
    },
}

/// Checks for each numbered token of a stream whether it is the next one to deliver.
///
/// Each stream has its own sequencer. Offsets count the tokens of the generation from zero.
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

    /// Checks the token at `offset` and advances if it is the next one.
    pub const fn accept(&mut self, offset: u64) -> TokenOrder {
        if offset < self.next {
            return TokenOrder::Duplicate;
        }
        if offset > self.next {
            return TokenOrder::Gap {
                expected: self.next,
            };
        }
        self.next += 1;
        TokenOrder::Next
    }
}

#[cfg(test)]
mod tests;
