//! Retry budget.

/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of saved retries, so that a VM with little traffic can still hide single
/// failures from callers.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Limits retries to a fraction of first attempts, so that retries cannot amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
