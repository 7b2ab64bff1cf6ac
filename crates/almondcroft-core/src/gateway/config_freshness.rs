//! Freshness of the configuration.

use crate::Timestamp;
use std::time::Duration;

/// Fraction of the maximum age that is reserved as a margin for delays between decision and arrival.
const MARGIN: f64 = 0.1;

/// Time after a restoration of the store in which the operators write again what it lost.
///
/// Until then the store may confirm a configuration although it has lost a later one.
const RESTORATION_TIME: Duration = Duration::from_secs(2);

/// Tracks whether the configuration is recent enough to accept keys.
///
/// A store that was restored from an older copy proves nothing about the configurations that it lost,
/// so what it confirms shortly after is not accepted.
///
/// Times come from a clock that also counts while the VM is suspended, so a VM that resumes sees at
/// once that its configuration has aged.
///
/// ```
/// use almondcroft_core::gateway::ConfigFreshness;
/// use std::time::Duration;
///
/// let mut freshness = ConfigFreshness::new(Some(Duration::from_secs(5)));
/// assert!(!freshness.is_fresh(Duration::from_secs(100)));
/// freshness.confirm(Duration::from_secs(100));
/// assert!(freshness.is_fresh(Duration::from_secs(104)));
/// assert!(!freshness.is_fresh(Duration::from_secs(105)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ConfigFreshness {
    max_age: Option<Duration>,
    confirmed_at: Option<Timestamp>,
    restored_at: Option<Timestamp>,
}

impl ConfigFreshness {
    /// Creates a state without a confirmed configuration.
    ///
    /// Without a maximum age, a configuration stays fresh once it has been confirmed.
    #[must_use]
    pub const fn new(max_age: Option<Duration>) -> Self {
        Self {
            max_age,
            confirmed_at: None,
            restored_at: None,
        }
    }

    /// Changes the maximum age.
    pub const fn set_max_age(&mut self, max_age: Option<Duration>) {
        self.max_age = max_age;
    }

    /// Records that the store was restored from an older copy, at the latest at a time.
    pub const fn record_restoration(&mut self, at: Timestamp) {
        self.restored_at = Some(at);
    }

    /// Records that the active configuration was the newest one at a time.
    pub fn confirm(&mut self, at: Timestamp) {
        let unproven = self
            .restored_at
            .is_some_and(|restored| at >= restored && at < restored + RESTORATION_TIME);
        if !unproven {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the latest time at which the configuration was known to be the newest.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns whether keys may be accepted.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        match (self.confirmed_at, self.max_age) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(at), Some(max_age)) => now < at + max_age.mul_f64(1.0 - MARGIN),
        }
    }
}

#[cfg(test)]
mod tests;
