//! This VM's share of the fleet's retry budget.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the share that is used; the rest covers windows that the VMs see differently.
const USED_PART: f64 = 0.8;

/// Permits sends beyond the first of each request within a sliding window.
///
/// The budget is the fleet's: a ratio of all requests plus a fixed number. Each VM uses the ratio of
/// its own requests and its part of the fixed number, so the sum keeps the bound without messages.
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Timestamp>,
    sends: VecDeque<Timestamp>,
}

impl RetryShare {
    /// Creates a share of `slack / vms` extra sends and `ratio` of the requests per window.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, vms: u32, window: Duration) -> Self {
        Self {
            ratio: ratio * USED_PART,
            slack: slack * USED_PART / f64::from(vms.max(1)),
            window,
            requests: VecDeque::new(),
            sends: VecDeque::new(),
        }
    }

    /// Notes a caller's request.
    pub fn note_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one extra send; returns whether the budget permits it.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.expire(now);
        if self.left() < 1.0 {
            return false;
        }
        self.sends.push_back(now);
        true
    }

    /// Returns the extra sends that are left in the window.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.slack + self.ratio * count(&self.requests) - count(&self.sends)
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.sends] {
            while times.front().is_some_and(|at| *at + self.window < now) {
                times.pop_front();
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a window are small")]
fn count(times: &VecDeque<Timestamp>) -> f64 {
    times.len() as f64
}
