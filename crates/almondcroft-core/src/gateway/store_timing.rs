//! Times of calls to the store, derived from how often targets write their entries.

use std::time::Duration;

/// Shortest outage in which the entry of a running target can expire, in heartbeat intervals.
///
/// An entry expires after three intervals, of which one may have passed when the outage begins; targets keep to the interval
/// only approximately.
const MIN_OUTAGE_INTERVALS: f64 = 1.9;

/// Maximum wait of a call for changes, in heartbeat intervals.
const WAIT_INTERVALS: f64 = 1.25;

/// Upper bound of that wait; shorter than the times within which changes must be known.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Time beyond its wait after which a call is overdue, in heartbeat intervals.
const OVERDUE_INTERVALS: f64 = 1.0 / 3.0;

/// Upper bound of that time.
const MAX_OVERDUE: Duration = Duration::from_millis(400);

/// Relates the times of calls to the time after which entries expire.
///
/// A silent connection is replaced before an outage that began with its silence could have cost an entry, so that the response
/// on a new connection tells the two apart.
///
/// ```
/// use almondcroft_core::gateway::StoreTiming;
/// use std::time::Duration;
///
/// let timing = StoreTiming::new(Duration::from_millis(1_200));
/// assert!(timing.max_wait() + timing.overdue() < timing.min_outage());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreTiming {
    heartbeat: Duration,
}

impl StoreTiming {
    /// Creates the times for an interval at which targets write their entries.
    #[must_use]
    pub const fn new(heartbeat: Duration) -> Self {
        Self { heartbeat }
    }

    /// Returns the shortest outage in which the entry of a running target can expire.
    #[must_use]
    pub fn min_outage(self) -> Duration {
        self.heartbeat.mul_f64(MIN_OUTAGE_INTERVALS)
    }

    /// Returns the maximum wait of a call for changes.
    #[must_use]
    pub fn max_wait(self) -> Duration {
        self.heartbeat.mul_f64(WAIT_INTERVALS).min(MAX_WAIT)
    }

    /// Returns the time beyond its wait after which the connection of a call counts as silent.
    #[must_use]
    pub fn overdue(self) -> Duration {
        self.heartbeat.mul_f64(OVERDUE_INTERVALS).min(MAX_OVERDUE)
    }
}
