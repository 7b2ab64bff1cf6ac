//! A request that is refused, as it is stored.

use super::Fingerprint;
use std::time::Duration;

/// A request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of targets that it crashed.
    pub crashes: u32,
    /// Number of trials.
    pub trials: u32,
    /// Time since the last crash or trial.
    pub age: Duration,
}
