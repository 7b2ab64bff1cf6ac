//! When the store is known to have been available.

use super::StoreTiming;
use crate::Timestamp;
use std::time::Duration;

/// A time between two responses of the store in which it may have been unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseGap {
    /// Latest time before it at which the store is known to have responded.
    pub from: Timestamp,
    /// Time of the next response.
    pub until: Timestamp,
}

impl ResponseGap {
    /// Returns its length.
    #[must_use]
    pub const fn length(self) -> Duration {
        self.until.saturating_sub(self.from)
    }
}

/// Tracks when the store has responded to this VM, on any connection.
///
/// A response shows that the store is available now, and says nothing of the time before. If it follows the last one so soon
/// that no entry of a running target can have expired between them, a connection that was silent meanwhile has failed alone.
#[derive(Debug)]
pub struct StoreEvidence {
    timing: StoreTiming,
    responded_at: Option<Timestamp>,
    /// Time between the last two responses.
    interval: Duration,
    /// The last gap in which entries may have expired.
    gap: Option<ResponseGap>,
}

impl StoreEvidence {
    /// Creates a state without a response.
    #[must_use]
    pub const fn new(timing: StoreTiming) -> Self {
        Self {
            timing,
            responded_at: None,
            interval: Duration::ZERO,
            gap: None,
        }
    }

    /// Records that the store made a response at a time or later, and that it is known now.
    pub fn record_response(&mut self, made_at: Timestamp, now: Timestamp) {
        if let Some(from) = self.responded_at {
            let gap = ResponseGap { from, until: now };
            self.interval = gap.length();
            if gap.length() >= self.timing.min_outage() {
                self.gap = Some(gap);
            }
        }
        self.responded_at = self.responded_at.max(Some(made_at));
    }

    /// Returns the last gap that ended after a time and in which entries may have expired.
    #[must_use]
    pub fn gap_since(&self, at: Timestamp) -> Option<ResponseGap> {
        self.gap.filter(|gap| gap.until > at)
    }

    /// Returns the time between the last two responses.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the time since the store is last known to have responded.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.responded_at.map(|at| now.saturating_sub(at))
    }
}

#[cfg(test)]
mod tests;
