//! Retry budget that all VMs of the fleet share.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the budget that repeats may spend where generations are resumed; the rest is kept for those.
const REPEAT_FRACTION: f64 = 0.8;

/// Fraction of the budget of repeats up to which hedges may be sent; repeats are needed, hedges are not.
const HEDGE_FRACTION: f64 = 0.5;

/// Fraction of the fleet's budget that may be spent beside VMs of an earlier version, which spend what is left
/// of the whole budget by the counts that they have heard.
const MIXED_FRACTION: f64 = 0.8;

/// Resolution of the counts; a check of the budget looks at each step of a window.
const STEP: Duration = Duration::from_millis(100);

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
/// The budget covers the whole fleet: a ratio of all requests plus a fixed number (`slack`) per window. It is
/// divided in advance: each VM has its share of the fixed number ([`BudgetShare`](super::BudgetShare)) and the ratio
/// of its own requests. In no window, however it lies, does a VM send more than its share of the fixed number and
/// the ratio of its requests in that window and the one before, on average. The sum over all VMs is therefore within
/// the budget, whatever they know of each other. A VM that needs more borrows from peers, which count what they
/// lend as sent.
///
/// An extra send is taken first, and settled or returned once it is known whether it was sent. Until then it counts
/// in all windows, so that it cannot arrive in one in which it is not counted.
///
/// ```
/// use almondcroft_core::gateway::{ExtraSend, FleetRetryBudget};
/// use std::time::Duration;
///
/// let mut budget = FleetRetryBudget::new(0.2, 20.0, Duration::from_secs(10));
/// let (now, share) = (Duration::from_secs(1), 0.1);
/// assert!(budget.try_take(ExtraSend::Repeat, share, now));
/// assert!(!budget.try_take(ExtraSend::Repeat, share, now));
/// assert!(budget.try_take(ExtraSend::Resumption, share, now));
/// assert!(!budget.try_take(ExtraSend::Resumption, share, now));
/// budget.refund();
/// assert!(budget.try_take(ExtraSend::Resumption, share, now));
/// ```
#[derive(Debug)]
pub struct FleetRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    reserves_resumptions: bool,
    requests: VecDeque<(u64, u32)>,
    /// Extra sends that were sent, and loans that may be used until a later time.
    extra: VecDeque<(u64, u32)>,
    /// Extra sends that were taken and neither settled nor returned.
    open: u32,
}

impl FleetRetryBudget {
    /// Creates a budget of `slack` extra sends and `ratio` of the requests per window.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            reserves_resumptions: true,
            requests: VecDeque::new(),
            extra: VecDeque::new(),
            open: 0,
        }
    }

    /// Changes the budget; the counts of the current window are kept.
    pub const fn set_budget(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Sets whether a part is kept for resumptions, which services without generations do not need.
    pub const fn reserve_resumptions(&mut self, reserves: bool) {
        self.reserves_resumptions = reserves;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Timestamp) {
        self.expire(now);
        count_at(&mut self.requests, step_of(now));
    }

    /// Takes one extra send; returns whether this VM's part of the budget permits it.
    ///
    /// `share` is the fraction of the fixed number that this VM may spend.
    pub fn try_take(&mut self, send: ExtraSend, share: f64, now: Timestamp) -> bool {
        self.expire(now);
        let permitted = self.spare(send, share, now) > 0;
        self.open += u32::from(permitted);
        permitted
    }

    /// Records that a send that was taken is sent now.
    pub fn settle(&mut self, now: Timestamp) {
        self.refund();
        count_at(&mut self.extra, step_of(now));
    }

    /// Returns a send that was taken and not sent.
    pub const fn refund(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Lends an extra send to a peer, which may send it until a later time; returns whether this VM can spare it.
    pub fn try_lend(
        &mut self,
        send: ExtraSend,
        share: f64,
        until: Timestamp,
        now: Timestamp,
    ) -> bool {
        let permitted = self.try_take(send, share, now);
        if permitted {
            self.settle(until);
        }
        permitted
    }

    /// Records that a loan, which ran until a time, has been used or is not needed.
    pub fn end_loan(&mut self, until: Timestamp, is_used: bool, now: Timestamp) {
        let until = step_of(until);
        let index = self.extra.binary_search_by_key(&until, |(step, _)| *step);
        let Some((_, count)) = index.ok().and_then(|index| self.extra.get_mut(index)) else {
            return;
        };
        *count = count.saturating_sub(1);
        if is_used {
            count_at(&mut self.extra, step_of(now).min(until));
        }
    }

    /// Returns how many more extra sends this VM's part of the budget permits.
    #[must_use]
    pub fn spare(&self, send: ExtraSend, share: f64, now: Timestamp) -> u32 {
        let repeats = if self.reserves_resumptions {
            REPEAT_FRACTION
        } else {
            1.0
        };
        let fraction = match send {
            ExtraSend::Repeat => repeats,
            ExtraSend::Hedge => repeats * HEDGE_FRACTION,
            ExtraSend::Resumption => 1.0,
        };
        let window = steps(self.window);
        let last = step_of(now);
        let first = last.saturating_sub(window);
        // Going back from now, the sends since a step grow, and the windows of its requests move.
        let mut used = self.open + self.extra_since(last + 1);
        let mut since = self.requests_between(last, u64::MAX);
        let mut before = self.requests_between(first, last);
        let mut room = f64::INFINITY;
        for start in (first..=last).rev() {
            used += count_of(&self.extra, start);
            let requests = f64::from(before + since) * 0.5;
            let permitted = (self.slack * share + self.ratio * requests) * fraction;
            room = room.min(permitted - f64::from(used));
            let Some(next) = start.checked_sub(1) else {
                break;
            };
            let count = count_of(&self.requests, next);
            since += count;
            before -= count;
            let entering = next.checked_sub(window);
            before += entering.map_or(0, |step| count_of(&self.requests, step));
        }
        super::number::floor_to_u32(room)
    }

    /// Returns whether the counts that this VM has heard of leave room for one more send of the whole fleet.
    ///
    /// VMs of an earlier version know no shares, so beside them this is required, too.
    #[must_use]
    pub fn permits_beside(&self, send: ExtraSend, fleet: FleetSends, now: Timestamp) -> bool {
        let counts = self.counts(now).add(fleet.others);
        let reachable = f64::from(fleet.reachable_vms)
            / f64::from(fleet.total_vms.max(fleet.reachable_vms).max(1));
        let budget = self.ratio * f64::from(counts.requests) + self.slack * reachable;
        let fraction = match send {
            ExtraSend::Repeat => REPEAT_FRACTION,
            ExtraSend::Hedge => REPEAT_FRACTION * HEDGE_FRACTION,
            ExtraSend::Resumption => 1.0,
        };
        f64::from(counts.extra) + 1.0 <= budget * MIXED_FRACTION * fraction
    }

    /// Returns this VM's counts within the window.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> SendCounts {
        let last = step_of(now);
        let first = last.saturating_sub(steps(self.window));
        SendCounts {
            requests: self.requests_between(first, last + 1),
            extra: self.open + self.extra_since(first),
        }
    }

    fn requests_between(&self, first: u64, end: u64) -> u32 {
        let within = self.requests.iter();
        within
            .filter(|(step, _)| (first..end).contains(step))
            .map(|(_, count)| count)
            .sum()
    }

    fn extra_since(&self, first: u64) -> u32 {
        let within = self.extra.iter().filter(|(step, _)| *step >= first);
        within.map(|(_, count)| count).sum()
    }

    fn expire(&mut self, now: Timestamp) {
        let (last, window) = (step_of(now), steps(self.window));
        while self
            .requests
            .front()
            .is_some_and(|(step, _)| step + 2 * window + 1 < last)
        {
            self.requests.pop_front();
        }
        while self
            .extra
            .front()
            .is_some_and(|(step, _)| step + window < last)
        {
            self.extra.pop_front();
        }
    }
}

/// Adds one to the count of a step.
fn count_at(counts: &mut VecDeque<(u64, u32)>, step: u64) {
    let index = counts.partition_point(|(at, _)| *at < step);
    match counts.get_mut(index) {
        Some((at, count)) if *at == step => *count += 1,
        _ => counts.insert(index, (step, 1)),
    }
}

fn count_of(counts: &VecDeque<(u64, u32)>, step: u64) -> u32 {
    counts
        .binary_search_by_key(&step, |(at, _)| *at)
        .map_or(0, |index| counts[index].1)
}

fn step_of(time: Timestamp) -> u64 {
    steps(time)
}

fn steps(time: Duration) -> u64 {
    u64::try_from(time.as_millis() / STEP.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
