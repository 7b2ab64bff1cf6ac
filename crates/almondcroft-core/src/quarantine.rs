//! Quarantine of requests that crash the targets that run them.
//!
//! | item | question that it answers |
//! |---|---|
//! | [`Quarantine`] | has this very request crashed targets? |
//! | [`PromptQuarantine`] | does a part of its prompt crash targets, whatever else it contains? |

mod part_evidence;
mod part_record;
mod prompt_quarantine;
mod prompt_run;
mod refused_part;

pub use part_evidence::PartEvidence;
pub use prompt_quarantine::{CrashId, PartId, PromptQuarantine};
pub use refused_part::RefusedPart;

use crate::Timestamp;
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Identifies the content of a request, regardless of the caller that sends it.
pub type Fingerprint = u64;

/// Number of crashes at which requests with a fingerprint are refused.
const CRASH_LIMIT: u32 = 2;

/// Time after the last crash during which requests with a fingerprint are refused.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Maximum number of fingerprints stored.
const MAX_FINGERPRINTS: usize = 10_000;

/// Maximum number of fingerprints shared with other VMs at once.
const MAX_SHARED: usize = 16;

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    count: u32,
    last: Timestamp,
}

/// Counts crashes per request fingerprint and quarantines requests that have crashed two targets.
///
/// Counts from other VMs are merged by [`Quarantine::merge`], so a caller cannot evade the
/// quarantine by sending its request to each VM in turn.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<Fingerprint, CrashRecord>,
}

impl Quarantine {
    /// Records that a target crashed while it ran the request, and returns the new count.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Timestamp) -> u32 {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert(CrashRecord {
            count: 0,
            last: now,
        });
        entry.count += 1;
        entry.last = now;
        entry.count
    }

    /// Records that a target completed the request, and resets its crash count, as the crashes had
    /// another cause.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Merges a count that another VM reported.
    pub fn merge(&mut self, fingerprint: Fingerprint, count: u32, now: Timestamp) {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert(CrashRecord {
            count: 0,
            last: now,
        });
        // Only a higher count restarts the quarantine: a repeated old one must not prolong it.
        if count > entry.count {
            entry.count = count;
            entry.last = now;
        }
    }

    /// Returns how long requests with the fingerprint are still refused, or `None` if they may run.
    #[must_use]
    pub fn remaining(&self, fingerprint: Fingerprint, now: Timestamp) -> Option<Duration> {
        let entry = self.crashes.get(&fingerprint)?;
        if entry.count < CRASH_LIMIT {
            return None;
        }
        (entry.last + QUARANTINE_TIME)
            .checked_sub(now)
            .filter(|left| !left.is_zero())
    }

    /// Returns the fingerprints of recent crashes with their counts, to be shared with other VMs.
    ///
    /// At most `MAX_SHARED` fingerprints are returned: first those in quarantine, then the newest.
    #[must_use]
    pub fn crash_counts(&self, now: Timestamp) -> Vec<(Fingerprint, u32)> {
        let recent = |crashes: &CrashRecord| crashes.last + QUARANTINE_TIME > now;
        let mut records: Vec<(&Fingerprint, &CrashRecord)> = self
            .crashes
            .iter()
            .filter(|(_, crashes)| recent(crashes))
            .collect();
        records.sort_unstable_by_key(|(fingerprint, crashes)| {
            let is_refused = crashes.count >= CRASH_LIMIT;
            (Reverse((is_refused, crashes.last)), **fingerprint)
        });
        let counts = records.into_iter().take(MAX_SHARED);
        counts
            .map(|(fingerprint, crashes)| (*fingerprint, crashes.count))
            .collect()
    }

    fn evict(&mut self, now: Timestamp) {
        if self.crashes.len() < MAX_FINGERPRINTS {
            return;
        }
        self.crashes
            .retain(|_, crashes| crashes.last + QUARANTINE_TIME > now);
        if self.crashes.len() >= MAX_FINGERPRINTS {
            self.crashes.clear();
        }
    }
}

#[cfg(test)]
mod tests;
