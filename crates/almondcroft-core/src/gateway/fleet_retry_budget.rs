//! Retry budget that all VMs of the fleet share.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the budget that may be spent; the rest covers extra sends of peers since their last
/// snapshot.
const USABLE_FRACTION: f64 = 0.8;

/// Fraction of the usable budget that repeats may spend; the rest is kept for resumptions.
const REPEAT_FRACTION: f64 = 0.8;

/// Fraction of the budget of repeats up to which hedges may be sent; repeats are needed, hedges are not.
const HEDGE_FRACTION: f64 = 0.5;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraSend {
    /// A target did not run it, or it may be repeated.
    Repeat,
    /// It is slow at its target, and runs at a second one, too.
    Hedge,
    /// A generation goes on at another target; without it, what the caller got so far is lost.
    Resumption,
}

impl ExtraSend {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Repeat => "repeat",
            Self::Hedge => "hedge",
            Self::Resumption => "resumption",
        }
    }
}

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

/// Describes what a VM knows of the sends of its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSends {
    /// Sum over the reachable peers.
    pub others: SendCounts,
    /// Number of reachable VMs, this one included.
    pub reachable_vms: u32,
    /// Number of all VMs.
    pub total_vms: u32,
}

/// Permits sends beyond the first of each request within a sliding window.
///
/// The budget covers the whole fleet: a ratio of all requests plus a fixed number (`slack`) per window.
/// VMs that can reach each other spend one common budget. Its fixed number is scaled by the
/// fraction of the fleet that they make up, so that the sides of a network partition together keep the
/// bound without exchanging messages. Repeats leave a part of the budget to resumptions, which matters
/// most to a VM that hears no peers while targets fail.
///
/// ```
/// use almondcroft_core::gateway::{ExtraSend, FleetRetryBudget, FleetSends, SendCounts};
/// use std::time::Duration;
///
/// let mut budget = FleetRetryBudget::new(0.2, 10.0, Duration::from_secs(10));
/// let now = Duration::from_secs(1);
/// let others = SendCounts { requests: 0, extra: 7 };
/// let sends = FleetSends { others, reachable_vms: 4, total_vms: 4 };
/// assert!(!budget.try_take(ExtraSend::Repeat, sends, now));
/// assert!(budget.try_take(ExtraSend::Resumption, sends, now));
/// assert!(!budget.try_take(ExtraSend::Resumption, sends, now));
/// ```
#[derive(Debug)]
pub struct FleetRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Timestamp>,
    extra: VecDeque<Timestamp>,
}

impl FleetRetryBudget {
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

    /// Changes the budget; the counts of the current window are kept.
    pub const fn set_budget(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one extra send from the budget; returns whether the budget permits it.
    pub fn try_take(&mut self, send: ExtraSend, sends: FleetSends, now: Timestamp) -> bool {
        self.expire(now);
        let counts = self.counts(now).add(sends.others);
        let fraction = f64::from(sends.reachable_vms)
            / f64::from(sends.total_vms.max(sends.reachable_vms).max(1));
        let budget =
            (self.ratio * f64::from(counts.requests) + self.slack * fraction) * USABLE_FRACTION;
        let share = match send {
            ExtraSend::Repeat => REPEAT_FRACTION,
            ExtraSend::Hedge => REPEAT_FRACTION * HEDGE_FRACTION,
            ExtraSend::Resumption => 1.0,
        };
        let permitted = f64::from(counts.extra) + 1.0 <= budget * share;
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
