//! What is known of one part of prompts.

use super::part_evidence::PartEvidence;
use super::prompt_quarantine::{CRASH_LIMIT, CrashId, PartId};
use super::refused_part::RefusedPart;
use crate::{RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which the result of a first trial is no longer expected.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time from a trial that crashed its target to the next one; doubles with each further one.
const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Upper limit of the time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_mins(10);

/// Time after its last change at which a record is dropped; longer than the time between two trials.
const RETENTION: Duration = Duration::from_mins(30);

/// Time for which a change is shared with peers even if the part is not suspect.
const SHARING_TIME: Duration = Duration::from_secs(3);

/// Maximum number of crashes of one part that are shared with peers.
const MAX_SHARED_CRASHES: usize = 6;

/// Difference below which two times denote the same event, as ages grow by the delay of each message.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// The crashes and trials of a part since a response to a prompt with it last survived.
#[derive(Debug, Default)]
pub(super) struct PartRecord {
    pub(super) crashes: BTreeMap<CrashId, Timestamp>,
    survived_at: Option<Timestamp>,
    /// Whether a response to a prompt with it made progress since its first crash.
    has_progressed: bool,
    trial_at: Option<Timestamp>,
    /// The request that tests the part, if it is one of this VM.
    trial_request: Option<RequestId>,
    /// Crashes of the targets of trials.
    pub(super) trial_crashes: BTreeSet<CrashId>,
    changed_at: Timestamp,
}

impl PartRecord {
    pub(super) fn is_suspect(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Records that a response to a prompt with the part is complete, or went on for some time.
    pub(super) fn record_progress(&mut self) {
        self.has_progressed |= !self.crashes.is_empty();
    }

    /// Returns whether this part may be to blame for crashes of the targets of another one.
    pub(super) const fn may_explain(&self, other: &Self) -> bool {
        !self.has_progressed || other.has_progressed
    }

    /// Returns the time until a request may test the part, if `failed_trials` count against it.
    pub(super) fn trial_wait(
        &self,
        request: &RequestId,
        failed_trials: u32,
        now: Timestamp,
    ) -> Duration {
        if self.trial_request.as_ref() == Some(request) {
            return Duration::ZERO;
        }
        let delay = match failed_trials {
            0 => TRIAL_TIMEOUT,
            failed => (TRIAL_DELAY * 2_u32.pow((failed - 1).min(10))).min(MAX_TRIAL_DELAY),
        };
        self.trial_at
            .map_or(Duration::ZERO, |at| (at + delay).saturating_sub(now))
    }

    /// Records that a request tests the part; returns whether it did not before.
    pub(super) fn start_trial(&mut self, request: &RequestId, now: Timestamp) -> bool {
        if self.trial_request.as_ref() == Some(request) {
            return false;
        }
        self.trial_at = Some(now);
        self.trial_request = Some(request.clone());
        self.changed_at = now;
        true
    }

    /// Records that a target has not run the request, so that another one may test the part.
    pub(super) fn release_trial(&mut self, request: &RequestId) {
        if self.trial_request.as_ref() == Some(request) && self.trial_crashes.is_empty() {
            self.trial_at = None;
            self.trial_request = None;
        }
    }

    /// Records that the request that tests the part crashed its target.
    pub(super) fn record_failed_trial(&mut self, crash: CrashId, now: Timestamp) {
        if self.trial_request.take().is_some() {
            self.trial_crashes.insert(crash);
            self.changed_at = now;
        }
    }

    /// Records a crash; returns whether it is new.
    pub(super) fn record_crash(&mut self, crash: CrashId, at: Timestamp, now: Timestamp) -> bool {
        if self.survived_at.is_some_and(|survived| at <= survived)
            || self.crashes.contains_key(&crash)
        {
            return false;
        }
        self.crashes.insert(crash, at);
        self.changed_at = now;
        true
    }

    /// Records that a target survived the start of a response; returns whether this is news.
    ///
    /// It clears the part of all earlier crashes, as a part to blame for them crashes each target.
    pub(super) fn record_survival(&mut self, started: Timestamp, now: Timestamp) -> bool {
        let known = self.survived_at.map(|at| at + TIME_TOLERANCE);
        if known.is_some_and(|known| started <= known) {
            return false;
        }
        self.survived_at = Some(started);
        let count = self.crashes.len();
        self.crashes.retain(|_, at| *at > started);
        let mut cleared = self.crashes.len() < count;
        if self.trial_at.is_some_and(|at| at <= started) {
            self.trial_at = None;
            self.trial_request = None;
            self.trial_crashes.clear();
            cleared = true;
        }
        if cleared {
            self.changed_at = now;
        }
        cleared
    }

    /// Merges what a peer knows.
    pub(super) fn merge(&mut self, evidence: &PartEvidence, now: Timestamp) {
        if let Some(age) = evidence.survived {
            self.record_survival(now.saturating_sub(age), now);
        }
        for (crash, age) in &evidence.crashes {
            self.record_crash(*crash, now.saturating_sub(*age), now);
        }
        if evidence.has_progressed {
            self.record_progress();
        }
        if let Some((age, failed)) = &evidence.trial {
            self.merge_trial(now.saturating_sub(*age), failed, now);
        }
    }

    fn merge_trial(&mut self, at: Timestamp, failed: &[CrashId], now: Timestamp) {
        if self.survived_at.is_some_and(|survived| at <= survived) {
            return;
        }
        let known = self.trial_at.map(|at| at + TIME_TOLERANCE);
        if known.is_none_or(|known| at > known) {
            self.trial_at = Some(at);
            self.changed_at = now;
        }
        let count = self.trial_crashes.len();
        self.trial_crashes.extend(failed);
        if self.trial_crashes.len() > count {
            self.changed_at = now;
        }
    }

    /// Records that the part was refused before all VMs ended.
    ///
    /// The crashes are not stored, so they get ids that no other part shares.
    pub(super) fn restore(&mut self, stored: RefusedPart, now: Timestamp) {
        if !self.trial_crashes.is_empty() {
            return;
        }
        let [.., a, b, c] = stored.part.to_le_bytes();
        let crash = |number: u8| CrashId::from_le_bytes([number, a, b, c]);
        let failed = u8::try_from(stored.failed_trials).unwrap_or(u8::MAX);
        for number in (0..u8::MAX).take(CRASH_LIMIT) {
            self.record_crash(crash(number), now, now);
        }
        self.trial_crashes.extend((0..failed).map(crash));
        self.trial_at = Some(now);
    }

    /// Returns what peers should know, or `None` if they know it.
    pub(super) fn evidence(&self, part: PartId, now: Timestamp) -> Option<PartEvidence> {
        let is_recent = now < self.changed_at + SHARING_TIME;
        if !is_recent && !self.is_suspect() {
            return None;
        }
        let age = |at: Timestamp| now.saturating_sub(at);
        let mut crashes: Vec<(CrashId, Duration)> = self
            .crashes
            .iter()
            .map(|(crash, at)| (*crash, age(*at)))
            .collect();
        crashes.sort_unstable_by_key(|(_, age)| *age);
        crashes.truncate(if is_recent {
            MAX_SHARED_CRASHES
        } else {
            CRASH_LIMIT
        });
        Some(PartEvidence {
            part,
            crashes,
            survived: self.survived_at.map(age),
            has_progressed: self.has_progressed,
            trial: self.trial_at.map(|at| {
                let failed = self.trial_crashes.iter().copied();
                (age(at), failed.take(MAX_SHARED_CRASHES).collect())
            }),
        })
    }

    pub(super) const fn changed_at(&self) -> Timestamp {
        self.changed_at
    }

    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        let retention = if self.crashes.is_empty() && self.trial_at.is_none() {
            SHARING_TIME
        } else {
            RETENTION
        };
        now >= self.changed_at + retention
    }
}
