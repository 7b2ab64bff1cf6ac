//! How recent the configuration is known to be.

use crate::Timestamp;
use std::time::Duration;

/// Part of the bound that is kept as a margin for delays between decision and arrival.
const MARGIN: f64 = 0.1;

/// Tells whether the configuration is recent enough to accept keys.
///
/// Times come from a clock that counts while the VM is suspended, so a VM that wakes up knows that
/// its configuration has aged.
///
/// ```
/// use almondcroft_core::gateway::Vouch;
/// use std::time::Duration;
///
/// let mut vouch = Vouch::new(Some(Duration::from_secs(5)));
/// assert!(!vouch.is_fresh(Duration::from_secs(100)));
/// vouch.confirm(Duration::from_secs(100));
/// assert!(vouch.is_fresh(Duration::from_secs(104)));
/// assert!(!vouch.is_fresh(Duration::from_secs(105)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Vouch {
    bound: Option<Duration>,
    at: Option<Timestamp>,
}

impl Vouch {
    /// Creates a state in which nothing is vouched for; without a bound everything known is fresh.
    #[must_use]
    pub const fn new(bound: Option<Duration>) -> Self {
        Self { bound, at: None }
    }

    /// Changes the bound.
    pub const fn set_bound(&mut self, bound: Option<Duration>) {
        self.bound = bound;
    }

    /// Notes that the configuration held was the newest one at a time.
    pub fn confirm(&mut self, at: Timestamp) {
        self.at = self.at.max(Some(at));
    }

    /// Returns the time at which the configuration was last known to be the newest.
    #[must_use]
    pub const fn at(&self) -> Option<Timestamp> {
        self.at
    }

    /// Returns whether keys may be accepted.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        match (self.at, self.bound) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(at), Some(bound)) => now < at + bound.mul_f64(1.0 - MARGIN),
        }
    }
}

#[cfg(test)]
mod tests;
