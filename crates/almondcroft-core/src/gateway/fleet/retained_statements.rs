//! What targets stated about themselves, kept while their entries are missing.
//!
//! An entry can disappear and be written again while its target runs on, for example if its heartbeats
//! were lost. What the target asked for still binds then, as long as its incarnation is the same.

use super::Fleet;
use super::limit_statement::LastStatement;
use super::rate_limiter::RateLimiter;
use super::refusal_limit::RefusalLimit;
use super::target_state::TargetState;
use crate::{TargetId, Timestamp};
use std::time::Duration;

/// Time for which a statement without an end of its own is kept.
const RETENTION: Duration = Duration::from_secs(30);

/// The statements of one incarnation of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetainedStatements {
    incarnation: u64,
    pub(super) requested_backoff: Timestamp,
    pub(super) last_statement: Option<LastStatement>,
    pub(super) limiter: Option<RateLimiter>,
    pub(super) refusal_limit: Option<RefusalLimit>,
}

impl RetainedStatements {
    fn of(state: &TargetState) -> Self {
        Self {
            incarnation: state.entry.incarnation,
            requested_backoff: state.requested_backoff(),
            last_statement: state.last_statement,
            limiter: state.limiter,
            refusal_limit: state.refusal_limit,
        }
    }

    fn binds(&self, now: Timestamp) -> bool {
        let has_limit = self
            .last_statement
            .is_some_and(|last| now < last.at + RETENTION);
        let has_refusal_limit = self.refusal_limit.is_some_and(|limit| limit.holds(now));
        now < self.requested_backoff || has_limit || has_refusal_limit
    }
}

impl Fleet {
    /// Removes the targets that a predicate does not keep, and retains what they stated.
    pub(super) fn retain_targets(&mut self, keep: impl Fn(&TargetState) -> bool) {
        let removed = self.targets.extract_if(.., |_, state| !keep(state));
        for (target, state) in removed {
            self.retained_statements
                .insert(target, RetainedStatements::of(&state));
        }
    }

    /// Returns what the present incarnation of a new target stated before its entry disappeared.
    pub(super) fn take_statements(
        &mut self,
        target: &TargetId,
        incarnation: u64,
    ) -> Option<RetainedStatements> {
        let retained = self.retained_statements.remove(target)?;
        (retained.incarnation == incarnation).then_some(retained)
    }

    pub(super) fn expire_statements(&mut self, now: Timestamp) {
        self.retained_statements
            .retain(|_, statements| statements.binds(now));
    }
}
