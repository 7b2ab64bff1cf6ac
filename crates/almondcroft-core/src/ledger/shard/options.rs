//! Options of a shard.

use std::time::Duration;

/// Limits on how often and how much a shard writes, and on how long it retains keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardOptions {
    /// Minimum time between the starts of two writes.
    pub interval: Duration,
    /// Time for which keys are retained.
    pub retention: Duration,
    /// Initial delay between two reads while the store fails.
    pub retry_delay: Duration,
    /// Size at which a segment is sealed, in bytes.
    pub segment_bytes: usize,
    /// Maximum number of entries appended by one write.
    pub max_batch: usize,
    /// Time by which the clocks of callers may be ahead.
    pub clock_margin: Duration,
    /// Maximum number of outcomes and releases that wait to be appended; further ones are dropped.
    pub max_queued: usize,
}

impl Default for ShardOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(25),
            retention: Duration::from_hours(24),
            retry_delay: Duration::from_millis(50),
            segment_bytes: 32 * 1024,
            max_batch: 256,
            clock_margin: Duration::from_secs(2),
            max_queued: 10_000,
        }
    }
}

impl ShardOptions {
    /// Sets the minimum time between the starts of two writes.
    #[must_use]
    pub const fn interval(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets the time for which keys are retained.
    #[must_use]
    pub const fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the size at which a segment is sealed, in bytes.
    #[must_use]
    pub const fn segment_bytes(mut self, bytes: usize) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Sets the time by which the clocks of callers may be ahead.
    #[must_use]
    pub const fn clock_margin(mut self, margin: Duration) -> Self {
        self.clock_margin = margin;
        self
    }

    /// Sets the maximum number of entries appended by one write.
    #[must_use]
    pub const fn max_batch(mut self, entries: usize) -> Self {
        self.max_batch = entries;
        self
    }
}
