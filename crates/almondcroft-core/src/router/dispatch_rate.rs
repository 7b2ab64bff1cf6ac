//! Rate at which requests leave the queue.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time window over which dispatches are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of dispatches that are counted.
const MAX_COUNTED: usize = 256;

/// Counts recent dispatches to estimate waiting times in the queue.
#[derive(Debug, Default)]
pub(super) struct DispatchRate {
    recent: VecDeque<Timestamp>,
}

impl DispatchRate {
    /// Records a dispatch.
    pub(super) fn record(&mut self, now: Timestamp) {
        self.recent.push_back(now);
        while self.recent.len() > MAX_COUNTED
            || self.recent.front().is_some_and(|at| *at + WINDOW < now)
        {
            self.recent.pop_front();
        }
    }

    /// Estimates the time until `count` requests are dispatched, or zero without recent dispatches.
    pub(super) fn estimate_wait(&self, count: usize, now: Timestamp) -> Duration {
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
