//! Queries to peers whose responses have not arrived yet.

use crate::Timestamp;
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of pending queries; older ones count as lost.
const MAX_PENDING: usize = 4;

/// Stores the send time of each pending query, to date the facts in its response.
///
/// A response can stay unread for any length of time, in a queue or while a VM is suspended, so the
/// time at which it is read does not date its facts. It states how old each fact was when it was written,
/// and it was written after its query was sent. The age is therefore subtracted from the send time, on
/// the clock of the VM that sent the query, which never makes a fact appear newer than it is.
///
/// ```
/// use almondcroft_core::gateway::PendingQueries;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut queries = PendingQueries::default();
/// let nonce = queries.start(second * 10, &mut rand::rng());
/// let query = queries.complete(nonce).unwrap();
/// assert_eq!(query.observed_at(second * 2), second * 8);
/// assert!(queries.complete(nonce).is_none(), "a response counts once");
/// ```
#[derive(Debug, Default)]
pub struct PendingQueries {
    pending: VecDeque<(u64, Timestamp)>,
}

impl PendingQueries {
    /// Starts a query; returns the nonce that its response must carry.
    pub fn start(&mut self, now: Timestamp, random: &mut impl Rng) -> u64 {
        let nonce = random.random();
        self.pending.push_back((nonce, now));
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        nonce
    }

    /// Completes the query that a response belongs to, if it is pending.
    pub fn complete(&mut self, nonce: u64) -> Option<CompletedQuery> {
        let at = self.pending.iter().position(|(open, _)| *open == nonce)?;
        let (_, sent) = self.pending.remove(at)?;
        Some(CompletedQuery { sent })
    }
}

/// Dates the facts in the response to one query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedQuery {
    sent: Timestamp,
}

impl CompletedQuery {
    /// Returns the time at which a fact was true, given its age in the response; it may be too early
    /// but never too late.
    #[must_use]
    pub const fn observed_at(self, age: Duration) -> Timestamp {
        self.sent.saturating_sub(age)
    }
}

#[cfg(test)]
mod tests;
