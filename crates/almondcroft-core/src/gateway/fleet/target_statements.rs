//! What one incarnation of a target stated about itself.

use super::limit_statement::LastStatement;
use super::rate_limiter::RateLimiter;
use super::refusal_limit::RefusalLimit;
use crate::Timestamp;
use std::time::Duration;

/// Time after which a stated limit that was not repeated no longer holds.
pub(super) const STATEMENT_RETENTION: Duration = Duration::from_secs(30);

/// The statements of one incarnation of a target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TargetStatements {
    /// End of the time for which the target asked for no requests.
    pub(super) requested_backoff: Timestamp,
    /// Time until which the target stated to be cold.
    pub(super) cold_until: Timestamp,
    /// What the target last stated about the requests a second that it takes.
    pub(super) last_limit: Option<LastStatement>,
    /// This VM's share of the limit that the target states.
    pub(super) limiter: Option<RateLimiter>,
    /// What the target last stated about the requests that it can turn away.
    pub(super) refusal_limit: Option<RefusalLimit>,
}

impl TargetStatements {
    /// Returns whether any of them still binds.
    pub(super) fn binds(&self, now: Timestamp) -> bool {
        now < self.requested_backoff
            || now < self.cold_until
            || self.last_limit.is_some_and(|last| last.holds(now))
            || self.refusal_limit.is_some_and(|limit| limit.holds(now))
    }
}
