//! Requests that crash the targets that run them.

use crate::Timestamp;
use std::{collections::HashMap, time::Duration};

/// Identifies what a request asks for, whoever sends it again.
pub type Fingerprint = u64;

/// Crashes after which a fingerprint is refused.
const CRASH_LIMIT: u32 = 2;

/// Time after the last crash during which a fingerprint stays refused.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Fingerprints that are remembered at once.
const MAX_FINGERPRINTS: usize = 10_000;

/// Fingerprints that are told to other VMs at once.
const MAX_SHARED: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Timestamp,
}

/// Counts crashes per request fingerprint and refuses those that crashed two targets.
///
/// Counts from other VMs are merged by [`Quarantine::merge`], so a caller gains nothing from trying
/// its request at each VM in turn.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<Fingerprint, Crashes>,
}

impl Quarantine {
    /// Notes that a target died while it ran the request; returns the new count.
    pub fn note_crash(&mut self, fingerprint: Fingerprint, now: Timestamp) -> u32 {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert(Crashes {
            count: 0,
            last: now,
        });
        entry.count += 1;
        entry.last = now;
        entry.count
    }

    /// Notes that a target ran the request whole: what crashed before was not its doing.
    pub fn note_success(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Takes over a count that another VM reported.
    pub fn merge(&mut self, fingerprint: Fingerprint, count: u32, now: Timestamp) {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint).or_insert(Crashes {
            count: 0,
            last: now,
        });
        // Only a higher count is news: repeating an old one must not prolong the quarantine.
        if count > entry.count {
            entry.count = count;
            entry.last = now;
        }
    }

    /// Returns how long the fingerprint is still refused, or `None` when it may run.
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

    /// Lists the fingerprints that are refused, with their counts, for other VMs.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> Vec<(Fingerprint, u32)> {
        let recent = |crashes: &Crashes| crashes.last + QUARANTINE_TIME > now;
        let mut counts: Vec<(Fingerprint, u32)> = self
            .crashes
            .iter()
            .filter(|(_, crashes)| recent(crashes))
            .map(|(fingerprint, crashes)| (*fingerprint, crashes.count))
            .collect();
        counts.sort_unstable();
        counts.truncate(MAX_SHARED);
        counts
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
