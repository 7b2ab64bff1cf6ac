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
mod refused_request;

pub use part_evidence::PartEvidence;
pub use prompt_quarantine::{CrashId, PartId, PromptQuarantine};
pub use refused_part::RefusedPart;
pub use refused_request::RefusedRequest;

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

/// Maximum number of requests in quarantine that are stored.
const MAX_STORED: usize = 256;

/// Time after the last crash or trial from which the first trial may start.
///
/// It lets the other VMs report that targets survived the request.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Time after a failed trial from which the next one may start; doubled with each.
const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Maximum number of trials while a request is in quarantine.
const MAX_TRIALS: u32 = 4;

/// Time for which VMs tell each other that a target survived a request.
const SURVIVAL_SHARING_TIME: Duration = Duration::from_secs(10);

/// Time after a survival in which counts of other VMs are ignored, as they may not know of it.
const SURVIVAL_GRACE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct CrashRecord {
    count: u32,
    last: Timestamp,
    /// The crashes that this VM counted.
    crashes: Vec<CrashId>,
    trials: u32,
    last_trial: Option<Timestamp>,
}

impl CrashRecord {
    const fn new(now: Timestamp) -> Self {
        Self {
            count: 0,
            last: now,
            crashes: Vec::new(),
            trials: 0,
            last_trial: None,
        }
    }

    /// Returns when the next trial may start; `None` if there is none.
    fn next_trial(&self) -> Option<Timestamp> {
        if self.trials >= MAX_TRIALS {
            return None;
        }
        let delay = match self.trials.checked_sub(1) {
            None => FIRST_TRIAL_DELAY,
            Some(failed) => TRIAL_DELAY * 2_u32.pow(failed),
        };
        Some(self.last.max(self.last_trial.unwrap_or_default()) + delay)
    }
}

/// Counts crashes per request fingerprint and quarantines requests that have crashed two targets.
///
/// Counts from other VMs are merged by [`Quarantine::merge`], so a caller cannot evade the
/// quarantine by sending its request to each VM in turn.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<Fingerprint, CrashRecord>,
    /// When a target last survived a request that had crashed targets.
    survived: HashMap<Fingerprint, Timestamp>,
}

impl Quarantine {
    /// Records that a target crashed while it ran the request, and returns the new count.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Timestamp) -> u32 {
        self.evict(now);
        let entry = self.crashes.entry(fingerprint);
        let entry = entry.or_insert_with(|| CrashRecord::new(now));
        entry.count = entry.count.saturating_add(1);
        entry.last = now;
        entry.count
    }

    /// Records one crash, which counts once however many runs of the request it ended, and returns the
    /// count.
    pub fn record_crash_once(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: Timestamp,
    ) -> u32 {
        let entry = self.crashes.get(&fingerprint);
        if let Some(entry) = entry.filter(|entry| entry.crashes.contains(&crash)) {
            return entry.count;
        }
        let count = self.record_crash(fingerprint, now);
        if let Some(entry) = self.crashes.get_mut(&fingerprint) {
            entry.crashes.push(crash);
        }
        count
    }

    /// Records that a target completed the request, and resets its crash count, as the crashes had
    /// another cause.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Records that a target completed the request, for the other VMs too.
    pub fn record_survival(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if self.crashes.remove(&fingerprint).is_some() {
            self.survived.insert(fingerprint, now);
        }
    }

    /// Merges what another VM reported: that a target survived the request this long ago.
    pub fn merge_survival(&mut self, fingerprint: Fingerprint, age: Duration, now: Timestamp) {
        let at = now.saturating_sub(age);
        let known = self.crashes.get(&fingerprint);
        if age < SURVIVAL_SHARING_TIME && known.is_some_and(|record| record.last <= at) {
            self.crashes.remove(&fingerprint);
            self.survived.insert(fingerprint, at);
        }
    }

    /// Returns the requests that targets survived lately after crashes, with the time since.
    #[must_use]
    pub fn survivals(&self, now: Timestamp) -> Vec<(Fingerprint, Duration)> {
        let ages = self.survived.iter();
        let mut ages: Vec<_> = ages
            .map(|(fingerprint, at)| (*fingerprint, now.saturating_sub(*at)))
            .filter(|(_, age)| *age < SURVIVAL_SHARING_TIME)
            .collect();
        ages.sort_unstable_by_key(|(fingerprint, age)| (*age, *fingerprint));
        ages.truncate(MAX_SHARED);
        ages
    }

    /// Returns the requests in quarantine, to be stored; at most `MAX_STORED`, those that crashed targets last.
    #[must_use]
    pub fn refused_requests(&self, now: Timestamp) -> Vec<RefusedRequest> {
        let refused = self.crashes.iter().filter_map(|(fingerprint, record)| {
            self.remaining(*fingerprint, now)?;
            let last = record.last.max(record.last_trial.unwrap_or_default());
            Some(RefusedRequest {
                fingerprint: *fingerprint,
                crashes: record.count,
                trials: record.trials,
                age: now.saturating_sub(last),
            })
        });
        let mut refused: Vec<RefusedRequest> = refused.collect();
        refused.sort_unstable_by_key(|request| (request.age, request.fingerprint));
        refused.truncate(MAX_STORED);
        refused.sort_unstable();
        refused
    }

    /// Records requests that were stored by [`Self::refused_requests`] before all VMs ended.
    pub fn restore(&mut self, stored: &[RefusedRequest], now: Timestamp) {
        for request in stored.iter().filter(|stored| stored.age < QUARANTINE_TIME) {
            self.evict(now);
            let entry = self.crashes.entry(request.fingerprint);
            let entry = entry.or_insert_with(|| CrashRecord::new(Timestamp::ZERO));
            let last = now.saturating_sub(request.age);
            entry.count = entry.count.max(request.crashes);
            entry.last = entry.last.max(last);
            if request.trials > entry.trials {
                entry.trials = request.trials;
                entry.last_trial = Some(last);
            }
        }
    }

    /// Starts a trial of a request in quarantine if one is due: it may run once.
    ///
    /// Targets also crash for reasons of their own, and a request that many callers send is then in
    /// flight at several of them. Only a run tells.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        let Some(entry) = self.crashes.get_mut(&fingerprint) else {
            return false;
        };
        let is_due = entry.next_trial().is_some_and(|at| at <= now);
        if is_due {
            entry.trials += 1;
            entry.last_trial = Some(now);
        }
        is_due
    }

    /// Merges what another VM reported: the number of trials, and the time since the last one.
    pub fn merge_trials(
        &mut self,
        fingerprint: Fingerprint,
        trials: u32,
        age: Duration,
        now: Timestamp,
    ) {
        if let Some(entry) = self.crashes.get_mut(&fingerprint)
            && trials > entry.trials
        {
            entry.trials = trials;
            entry.last_trial = Some(now.saturating_sub(age));
        }
    }

    /// Returns the requests in quarantine that were tried, with the number of trials and the time since
    /// the last one.
    #[must_use]
    pub fn trials(&self, now: Timestamp) -> Vec<(Fingerprint, u32, Duration)> {
        let mut trials: Vec<_> = self
            .crashes
            .iter()
            .filter_map(|(fingerprint, record)| {
                let age = now.saturating_sub(record.last_trial?);
                Some((*fingerprint, record.trials, age))
            })
            .collect();
        trials.sort_unstable_by_key(|(fingerprint, _, age)| (*age, *fingerprint));
        trials.truncate(MAX_SHARED);
        trials
    }

    /// Returns the time after which a refused request may run, or be tried.
    #[must_use]
    pub fn retry_after(&self, fingerprint: Fingerprint, now: Timestamp) -> Option<Duration> {
        let remaining = self.remaining(fingerprint, now)?;
        let next_trial = self.crashes.get(&fingerprint)?.next_trial();
        let next_trial = next_trial.map(|at| at.saturating_sub(now));
        Some(next_trial.map_or(remaining, |time| time.min(remaining)))
    }

    /// Merges a count that another VM reported.
    pub fn merge(&mut self, fingerprint: Fingerprint, count: u32, now: Timestamp) {
        let survived = self.survived.get(&fingerprint);
        if survived.is_some_and(|at| now < *at + SURVIVAL_GRACE) {
            return;
        }
        self.evict(now);
        let entry = self.crashes.entry(fingerprint);
        let entry = entry.or_insert_with(|| CrashRecord::new(now));
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
        self.survived
            .retain(|_, at| now < *at + SURVIVAL_SHARING_TIME);
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
