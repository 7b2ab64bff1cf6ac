//! Verdicts on whether a request ran.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request ran at a target.
///
/// Every error returned to a caller carries a verdict, so that the caller knows whether a retry is
/// safe.
///
/// ```
/// use almondcroft_core::Verdict;
///
/// assert_eq!(Verdict::NotRun.to_string(), "not-run");
/// assert!(Verdict::NotRun.permits_retry(false));
/// assert!(!Verdict::MayHaveRun.permits_retry(false));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No target started the request.
    NotRun,
    /// A target may have started the request; its outcome is unknown.
    MayHaveRun,
    /// A target ran the request.
    Ran,
}

impl Verdict {
    /// Returns the form used on the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether a retry is safe, given whether the request is idempotent.
    #[must_use]
    pub const fn permits_retry(self, idempotent: bool) -> bool {
        matches!(self, Self::NotRun) || idempotent
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[cfg(test)]
mod tests;
