//! Token bucket for one VM's share of the requests that a target takes.

use crate::Timestamp;
use std::time::Duration;

/// Tokens that an unused share can add up to; one, so that all VMs together exceed a limit by at most
/// one request each.
const MAX_TOKENS: f64 = 1.0;

/// Permits requests at a rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimiter {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl RateLimiter {
    /// Creates a limiter that permits nothing until its rate is set.
    pub(super) const fn new(tokens: f64, now: Timestamp) -> Self {
        Self {
            rate: 0.0,
            tokens,
            refilled_at: now,
        }
    }

    pub(super) fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.tokens = self.tokens(now);
        self.refilled_at = now;
        self.rate = rate;
    }

    pub(super) fn tokens(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(MAX_TOKENS)
    }

    pub(super) fn permits(&self, now: Timestamp) -> bool {
        self.rate > 0.0 && self.tokens(now) >= 1.0
    }

    /// Takes a token; one that is not there yet is owed.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.tokens = self.tokens(now) - 1.0;
        self.refilled_at = now;
    }

    /// Returns the time until a number of tokens have come together; `None` if they never will.
    pub(super) fn wait_for(limiters: &[Self], count: f64, now: Timestamp) -> Option<Duration> {
        let rate: f64 = limiters.iter().map(|limiter| limiter.rate).sum();
        let permitting = limiters.iter().filter(|limiter| limiter.rate > 0.0);
        let tokens: f64 = permitting.map(|limiter| limiter.tokens(now)).sum();
        if rate <= 0.0 {
            return None;
        }
        let seconds = ((count - tokens) / rate).max(0.0);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
