//! Decides when a slow request is sent to a second target.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent response times that are kept.
const MAX_SAMPLES: usize = 128;

/// Number of response times below which their quantile says too little.
const MIN_SAMPLES: usize = 16;

/// Maximum number of unused hedges that add up.
const MAX_TOKENS: f64 = 2.0;

/// Limits of hedged requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeLimits {
    /// Hedged requests as a fraction of all requests that may be repeated.
    pub share: f64,
    /// Quantile of the recent response times after which a request counts as slow.
    pub quantile: f64,
}

/// Decides for one service when a request that may be repeated is sent to a second target, within a share of the
/// requests.
///
/// It answers single slow targets and connections under moderate load. The delay follows the service's own response
/// times, so it grows with the load.
///
/// ```
/// use almondcroft_core::gateway::{HedgeLimits, HedgePolicy};
/// use std::time::Duration;
///
/// let mut policy = HedgePolicy::new(HedgeLimits { share: 0.1, quantile: 0.95 });
/// for number in 1..=100 {
///     policy.record_request();
///     policy.record_response(Duration::from_millis(number));
/// }
/// assert_eq!(policy.delay(), Some(Duration::from_millis(95)));
/// assert!(policy.try_take() && policy.try_take());
/// assert!(!policy.try_take());
/// ```
#[derive(Debug)]
pub struct HedgePolicy {
    limits: HedgeLimits,
    response_times: VecDeque<Duration>,
    tokens: f64,
}

impl HedgePolicy {
    /// Creates a policy that has seen no requests.
    #[must_use]
    pub const fn new(limits: HedgeLimits) -> Self {
        Self {
            limits,
            response_times: VecDeque::new(),
            tokens: 0.0,
        }
    }

    /// Changes the limits; what was seen of the service stays.
    pub const fn set_limits(&mut self, limits: HedgeLimits) {
        self.limits = limits;
    }

    /// Records a request that may be repeated.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.limits.share).min(MAX_TOKENS);
    }

    /// Records the time from a send until its response began.
    pub fn record_response(&mut self, elapsed: Duration) {
        if self.response_times.len() >= MAX_SAMPLES {
            self.response_times.pop_front();
        }
        self.response_times.push_back(elapsed);
    }

    /// Returns the time after which a request counts as slow; `None` as long as too little is known.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        let count = self.response_times.len();
        if count < MIN_SAMPLES {
            return None;
        }
        let mut times: Vec<Duration> = self.response_times.iter().copied().collect();
        let (numerator, denominator) = (self.limits.quantile * 1_000.0, 1_000);
        let rank = super::number::floor_to_usize(numerator) * count / denominator;
        let rank = rank.saturating_sub(1).min(count - 1);
        let (_, time, _) = times.select_nth_unstable(rank);
        Some(*time)
    }

    /// Takes a hedge from the share; returns whether one is left.
    pub fn try_take(&mut self) -> bool {
        let permitted = self.tokens >= 1.0;
        if permitted {
            self.tokens -= 1.0;
        }
        permitted
    }
}

#[cfg(test)]
mod tests;
