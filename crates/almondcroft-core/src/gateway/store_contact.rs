//! Whether the store is unavailable, as the results of calls to it show.

use super::ResponseGap;
use crate::Timestamp;

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// A connection that had been open carried no response in time.
    SilentConnection,
    /// No connection opened, or a new one carried no response to a call that does not wait.
    Silent,
    /// The call was cut off, reset or refused, or its response is of no use.
    Prompt,
}

impl StoreFailure {
    /// Returns the form used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SilentConnection => "silent-connection",
            Self::Silent => "silent",
            Self::Prompt => "prompt",
        }
    }
}

/// What the results of calls show once one has succeeded again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreConclusion {
    /// Connections or single calls failed, while the store was available.
    CallsFailed,
    /// The store was unavailable: new connections were silent, or calls were refused repeatedly.
    Outage,
    /// The store may have been unavailable for long enough for entries to expire, as nothing shows that it responded.
    Unseen(ResponseGap),
}

impl StoreConclusion {
    /// Returns whether entries of running targets may have expired.
    #[must_use]
    pub const fn may_miss_entries(self) -> bool {
        matches!(self, Self::Outage | Self::Unseen(_))
    }

    /// Returns the form used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallsFailed => "calls-failed",
            Self::Outage => "outage",
            Self::Unseen(_) => "unseen",
        }
    }
}

/// Failed calls since the last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedCalls {
    /// How the first one failed.
    pub first: StoreFailure,
    /// When the first one failed.
    pub since: Timestamp,
}

/// Decides from the results of calls whether the store is unavailable.
///
/// A call that waits for changes may be cut off at any time, any call may fail alone, and any connection may go silent for
/// good, while the store serves all others. So one such failure shows no outage: the next call, which does not wait and uses a
/// new connection, decides. If that one fails, too, the store counts as unavailable, because entries may have expired. If it
/// succeeds, the store was available, unless no response on any connection shows that for so long that entries may have
/// expired and the store may be back by now.
#[derive(Debug, Default)]
pub struct StoreContact {
    failed: Option<FailedCalls>,
    is_lost: bool,
}

impl StoreContact {
    /// Records a failed call; returns whether the store counts as unavailable.
    pub fn record_failure(&mut self, failure: StoreFailure, now: Timestamp) -> bool {
        self.is_lost |= match failure {
            StoreFailure::SilentConnection => false,
            StoreFailure::Silent => true,
            StoreFailure::Prompt => self.failed.is_some(),
        };
        self.failed.get_or_insert(FailedCalls {
            first: failure,
            since: now,
        });
        self.is_lost
    }

    /// Records a response, and the longest time in which no response is known since the objects were last known to be
    /// complete; returns what the calls show that failed before, if any did.
    pub fn record_response(
        &mut self,
        gap: Option<ResponseGap>,
    ) -> Option<(StoreConclusion, FailedCalls)> {
        let failed = self.failed.take()?;
        let conclusion = match gap {
            _ if std::mem::take(&mut self.is_lost) => StoreConclusion::Outage,
            Some(gap) => StoreConclusion::Unseen(gap),
            None => StoreConclusion::CallsFailed,
        };
        Some((conclusion, failed))
    }

    /// Returns whether the next call must not wait for changes, as its response tells whether the store is available.
    #[must_use]
    pub const fn is_in_doubt(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns whether the store counts as unavailable.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }
}

#[cfg(test)]
mod tests;
