//! Monotonic clock.

use almondcroft_core::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clock that returns the time since the Unix epoch and never goes backwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Timestamp,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed()
    }

    /// Returns the current time in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
