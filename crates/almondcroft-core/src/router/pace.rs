//! How fast requests leave the queue.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which dispatches are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Most dispatches that are counted.
const MAX_COUNTED: usize = 256;

/// Counts recent dispatches to tell how long a place in the queue takes.
#[derive(Debug, Default)]
pub(super) struct Pace {
    recent: VecDeque<Timestamp>,
}

impl Pace {
    /// Notes a dispatch.
    pub(super) fn note(&mut self, now: Timestamp) {
        self.recent.push_back(now);
        while self.recent.len() > MAX_COUNTED
            || self.recent.front().is_some_and(|at| *at + WINDOW < now)
        {
            self.recent.pop_front();
        }
    }

    /// Returns the time in which `count` requests are likely to be dispatched.
    pub(super) fn time_for(&self, count: usize, now: Timestamp) -> Duration {
        let Some(first) = self.recent.front() else {
            return Duration::ZERO;
        };
        let dispatched = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        let per_request = now.saturating_sub(*first) / dispatched;
        per_request.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }
}

#[cfg(test)]
mod tests;
