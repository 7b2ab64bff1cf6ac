//! Whether the store is unavailable, as the results of calls to it show.

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// No response or connection came in the time allowed.
    Silent,
    /// The call was cut off, reset or refused, or its response is of no use.
    Prompt,
}

/// Decides from the results of calls whether the store is unavailable.
///
/// A call that waits for changes may be cut off at any time, and any call may fail alone, while the store serves all others.
/// So one call that fails at once shows no outage: the next one, which does not wait, decides. Silence does show one, because
/// entries may have expired in the meantime.
#[derive(Debug, Default)]
pub struct StoreContact {
    has_failed: bool,
    is_lost: bool,
}

impl StoreContact {
    /// Records a failed call; returns whether the store counts as unavailable.
    pub fn record_failure(&mut self, failure: StoreFailure) -> bool {
        self.is_lost |= self.has_failed || failure == StoreFailure::Silent;
        self.has_failed = true;
        self.is_lost
    }

    /// Records a response; returns whether the store counted as unavailable.
    pub fn record_response(&mut self) -> bool {
        self.has_failed = false;
        std::mem::take(&mut self.is_lost)
    }

    /// Returns whether the next call must not wait for changes, as its response tells whether the store is available.
    #[must_use]
    pub const fn is_in_doubt(&self) -> bool {
        self.has_failed
    }

    /// Returns whether the store counts as unavailable.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }
}

#[cfg(test)]
mod tests;
