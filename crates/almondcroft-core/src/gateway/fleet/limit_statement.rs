//! What a target states about the requests that it takes.

use super::target_statements::STATEMENT_RETENTION;
use crate::{TargetId, Timestamp};
use std::time::Duration;

/// A target's statement, as VMs share it.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitStatement {
    /// The target.
    pub target: TargetId,
    /// Its incarnation, its start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Requests a second that it takes from all VMs together; `None` if it no longer states a limit.
    pub per_second: Option<f64>,
    /// Time since the statement.
    pub age: Duration,
}

/// The last statement of a target that a VM knows.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastStatement {
    pub(super) per_second: Option<f64>,
    pub(super) at: Timestamp,
}

impl LastStatement {
    pub(super) fn holds(&self, now: Timestamp) -> bool {
        now < self.at + STATEMENT_RETENTION
    }
}
