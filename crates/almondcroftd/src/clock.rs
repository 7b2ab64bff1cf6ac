//! The present time.

use almondcroft_core::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads the time since the Unix epoch; it never goes back while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Timestamp,
    start: Instant,
}

impl Clock {
    /// Creates a clock from the system's time of day.
    #[must_use]
    pub fn new() -> Self {
        Self {
            epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed()
    }

    /// Returns the present time in milliseconds.
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
