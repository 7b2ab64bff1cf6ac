//! The fleet's retry budget, as one VM may draw on it.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the budget that is used; the rest covers what other VMs did since they told.
const USED_PART: f64 = 0.8;

/// Counts requests and extra sends within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SendCounts {
    /// Requests of callers.
    pub requests: u32,
    /// Sends beyond the first of each request.
    pub extra: u32,
}

impl SendCounts {
    /// Adds up the counts of two VMs.
    #[must_use]
    pub const fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            extra: self.extra.saturating_add(other.extra),
        }
    }
}

/// Tells what a VM knows of the others' sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Sums of the others that are heard.
    pub others: SendCounts,
    /// VMs that are heard, this one included.
    pub vms: u32,
    /// All VMs.
    pub of: u32,
}

/// Permits sends beyond the first of each request within a sliding window.
///
/// The budget is the fleet's: a ratio of all requests plus a fixed number. VMs that hear of each other
/// draw on what they have left together; of the fixed number, they have the part of those they hear,
/// so that VMs that are cut off from each other keep the bound without messages.
///
/// ```
/// use almondcroft_core::gateway::{Heard, RetryShare, SendCounts};
/// use std::time::Duration;
///
/// let mut share = RetryShare::new(0.2, 10.0, Duration::from_secs(10));
/// let now = Duration::from_secs(1);
/// let others = SendCounts { requests: 0, extra: 7 };
/// let heard = Heard { others, vms: 4, of: 4 };
/// assert!(share.take(heard, now));
/// assert!(!share.take(heard, now));
/// ```
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Timestamp>,
    extra: VecDeque<Timestamp>,
}

impl RetryShare {
    /// Creates a budget of `slack` extra sends and `ratio` of the requests per window.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            extra: VecDeque::new(),
        }
    }

    /// Changes the budget; what was counted stays counted.
    pub const fn set_budget(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Notes a caller's request.
    pub fn note_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one extra send; returns whether the budget permits it.
    pub fn take(&mut self, heard: Heard, now: Timestamp) -> bool {
        self.expire(now);
        let counts = self.counts(now).add(heard.others);
        let part = f64::from(heard.vms) / f64::from(heard.of.max(heard.vms).max(1));
        let budget = (self.ratio * f64::from(counts.requests) + self.slack * part) * USED_PART;
        let permitted = f64::from(counts.extra) + 1.0 <= budget;
        if permitted {
            self.extra.push_back(now);
        }
        permitted
    }

    /// Returns this VM's counts within the window.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> SendCounts {
        let recent = |times: &VecDeque<Timestamp>| {
            let count = times.iter().filter(|at| **at + self.window >= now).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        SendCounts {
            requests: recent(&self.requests),
            extra: recent(&self.extra),
        }
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.extra] {
            while times.front().is_some_and(|at| *at + self.window < now) {
                times.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
