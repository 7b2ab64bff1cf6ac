//! A bound on repeated attempts.

/// Retries earned by one first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that can be saved up, so that a quiet VM can still mask a single failure.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Permits retries as a fraction of first attempts, so that retries cannot multiply an overload.
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
    /// Notes a first attempt, which earns a fraction of a retry.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
