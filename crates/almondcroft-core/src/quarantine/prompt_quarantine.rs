//! Quarantine of parts of prompts that crash the targets that respond to them.

use super::part_evidence::PartEvidence;
use super::part_record::PartRecord;
use super::prompt_run::{self, PromptRun, RunState};
use super::refused_part::RefusedPart;
use crate::{RequestId, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Identifies a part that prompts share, a hash of its id.
pub type PartId = u64;

/// Identifies the crash of one incarnation of a target, a hash of both.
pub type CrashId = u32;

/// Number of crashes at which a part is suspect.
pub(super) const CRASH_LIMIT: usize = 3;

/// Maximum number of parts with a record.
const MAX_PARTS: usize = 10_000;

/// Maximum number of parts shared with peers at once.
const MAX_SHARED_PARTS: usize = 16;

/// Finds the parts of prompts that crash targets, and refuses requests that contain them.
///
/// It answers a load in which requests that are never alike share a part that crashes each target that
/// begins to respond to it, while sound requests share their other parts and their customer. A crash is
/// evidence against the parts of the prompts that the target had just begun to respond to, or had yet to.
/// A target that survives the start of a response clears the prompt's parts of all earlier crashes. So a
/// common part is cleared again and again, and a part to blame never is.
///
/// A request with a suspect part is refused, unless suspect parts that it does not contain explain the
/// crashes. Where targets crash so often that few responses are survived, the parts of sound prompts are suspect
/// too; those whose responses made progress do not explain the crashes of a part without any. To release a part that was blamed for crashes with another cause, one request after another
/// may test it, at growing intervals.
///
/// The VMs of a fleet exchange their [`PartEvidence`].
///
/// ```
/// use almondcroft_core::quarantine::PromptQuarantine;
/// use std::time::Duration;
///
/// let mut quarantine = PromptQuarantine::default();
/// let (common, faulty) = (1, 2);
/// for crash in 0..4 {
///     let now = Duration::from_secs(u64::from(crash));
///     let request = format!("r-{crash}").into();
///     assert!(quarantine.admit(&request, crash, &[common, faulty], now).is_ok());
///     quarantine.record_crash(crash, now, now);
/// }
/// let now = Duration::from_secs(4);
/// assert!(quarantine.admit(&"r-4".into(), 4, &[common, faulty], now).is_err());
/// assert!(quarantine.admit(&"r-5".into(), 4, &[common], now).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    /// Runs by target, as the crash that would end it, and by request.
    runs: HashMap<(CrashId, RequestId), PromptRun>,
    parts: HashMap<PartId, PartRecord>,
    change_count: u64,
    trial_count: u64,
}

impl PromptQuarantine {
    /// Returns the time for which a request is still refused, or `None` if it may be sent.
    #[must_use]
    pub fn remaining(
        &self,
        request: &RequestId,
        parts: &[PartId],
        now: Timestamp,
    ) -> Option<Duration> {
        let waits = self.blocking(parts).into_iter().map(|part| {
            let record = &self.parts[&part];
            record.trial_wait(request, self.failed_trials(record, parts), now)
        });
        waits.max().filter(|wait| !wait.is_zero())
    }

    /// Records that a request is about to be sent to a target, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the time for which the request is refused.
    pub fn admit(
        &mut self,
        request: &RequestId,
        target: CrashId,
        parts: &[PartId],
        now: Timestamp,
    ) -> Result<(), Duration> {
        if parts.is_empty() {
            return Ok(());
        }
        if let Some(wait) = self.remaining(request, parts, now) {
            return Err(wait);
        }
        let blocking = self.blocking(parts);
        for part in &blocking {
            if let Some(record) = self.parts.get_mut(part) {
                self.trial_count += u64::from(record.start_trial(request, now));
            }
        }
        let run = PromptRun::new(parts.to_vec(), !blocking.is_empty());
        self.runs.insert((target, request.clone()), run);
        Ok(())
    }

    /// Records that a generation that a target has survived is about to be resumed at another one.
    pub fn readmit(&mut self, request: &RequestId, target: CrashId, parts: &[PartId]) {
        if !parts.is_empty() {
            let run = PromptRun::new(parts.to_vec(), false);
            self.runs.insert((target, request.clone()), run);
        }
    }

    /// Returns whether a target survived the start of a response, so that its prompt crashes no target.
    #[must_use]
    pub fn has_survived(started_at: Timestamp, now: Timestamp) -> bool {
        prompt_run::has_survived(started_at, now)
    }

    /// Records that the response to a request has started.
    pub fn record_start(&mut self, request: &RequestId, target: CrashId, now: Timestamp) {
        if let Some(run) = self.runs.get_mut(&(target, request.clone())) {
            run.started_at.get_or_insert(now);
        }
    }

    /// Records that the response to a request is complete.
    ///
    /// It does not clear the prompt's parts, because a target may crash shortly after. But parts without any
    /// progress since their crashes are blamed before the others.
    pub fn record_completion(&mut self, request: &RequestId, target: CrashId) {
        if let Some(run) = self.runs.get(&(target, request.clone())) {
            for part in &run.parts {
                if let Some(record) = self.parts.get_mut(part) {
                    record.record_progress();
                }
            }
        }
    }

    /// Records that a target has not run a request.
    pub fn record_not_run(&mut self, request: &RequestId, target: CrashId) {
        let run = self.runs.remove(&(target, request.clone()));
        for part in run
            .filter(|run| run.is_trial)
            .iter()
            .flat_map(|run| &run.parts)
        {
            if let Some(record) = self.parts.get_mut(part) {
                record.release_trial(request);
            }
        }
    }

    /// Records that a request no longer runs at a target, for whatever reason.
    pub fn record_end(&mut self, request: &RequestId, target: CrashId, now: Timestamp) {
        if let Some(run) = self.runs.get_mut(&(target, request.clone())) {
            run.ended_at.get_or_insert(now);
        }
    }

    /// Records that a target crashed; returns the parts that have become suspect.
    pub fn record_crash(
        &mut self,
        target: CrashId,
        crashed_at: Timestamp,
        now: Timestamp,
    ) -> Vec<PartId> {
        let runs = self.runs.extract_if(|(id, _), _| *id == target);
        let runs: Vec<PromptRun> = runs.map(|(_, run)| run).collect();
        let mut suspects = Vec::new();
        for run in runs.iter().filter(|run| run.is_suspect(crashed_at)) {
            for part in &run.parts {
                let record = self.record_of(*part, now);
                let was_suspect = record.is_suspect();
                let is_new = record.record_crash(target, crashed_at, now);
                if run.is_trial {
                    record.record_failed_trial(target, now);
                }
                if run.has_progressed(crashed_at) {
                    record.record_progress();
                }
                if record.is_suspect() && !was_suspect {
                    suspects.push(*part);
                }
                self.change_count += u64::from(is_new || run.is_trial);
            }
        }
        suspects
    }

    /// Merges what a peer knows.
    pub fn merge(&mut self, evidence: &[PartEvidence], now: Timestamp) {
        for evidence in evidence {
            let is_known = self.parts.contains_key(&evidence.part);
            if is_known || !evidence.crashes.is_empty() || evidence.trial.is_some() {
                self.record_of(evidence.part, now).merge(evidence, now);
            }
            // This VM may have runs at a target whose crash only a peer has seen.
            for (crash, age) in &evidence.crashes {
                if self.runs.keys().any(|(target, _)| target == crash) {
                    self.record_crash(*crash, now.saturating_sub(*age), now);
                }
            }
        }
    }

    /// Returns what peers should know, the newest first.
    #[must_use]
    pub fn evidence(&self, now: Timestamp) -> Vec<PartEvidence> {
        let mut records: Vec<(&PartId, &PartRecord)> = self.parts.iter().collect();
        records.sort_unstable_by_key(|(part, record)| {
            (
                !record.is_suspect(),
                now.saturating_sub(record.changed_at()),
                **part,
            )
        });
        let evidence = records
            .into_iter()
            .filter_map(|(part, record)| record.evidence(*part, now));
        evidence.take(MAX_SHARED_PARTS).collect()
    }

    /// Lists the parts that a trial has confirmed to crash targets, to be stored.
    #[must_use]
    pub fn refused_parts(&self) -> Vec<RefusedPart> {
        let refused = self.parts.iter().filter_map(|(part, record)| {
            let failed_trials = self.failed_trials(record, &[*part]);
            (failed_trials > 0 && record.is_suspect()).then_some(RefusedPart {
                part: *part,
                failed_trials,
            })
        });
        let mut refused: Vec<RefusedPart> = refused.collect();
        refused.sort_unstable();
        refused.truncate(MAX_SHARED_PARTS);
        refused
    }

    /// Records parts that were stored by [`Self::refused_parts`], as if their last trial were now.
    pub fn restore(&mut self, stored: &[RefusedPart], now: Timestamp) {
        for stored in stored {
            self.record_of(stored.part, now).restore(*stored, now);
        }
    }

    /// Returns how often something has changed here that peers should know soon.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns how many trials of a part this VM has started; its peers should know of each at once.
    #[must_use]
    pub const fn trial_count(&self) -> u64 {
        self.trial_count
    }

    /// Does the work that is due at a time: clears the parts of responses whose targets have survived.
    pub fn tick(&mut self, now: Timestamp) {
        let survived: Vec<(Timestamp, Vec<PartId>)> = self
            .runs
            .values()
            .filter(|run| run.state(now) == RunState::Survived)
            .filter_map(|run| Some((run.started_at?, run.parts.clone())))
            .collect();
        for (started, parts) in survived {
            for part in parts {
                if let Some(record) = self.parts.get_mut(&part) {
                    let is_news = record.record_survival(started, now);
                    self.change_count += u64::from(is_news);
                }
            }
        }
        self.runs
            .retain(|_, run| run.state(now) == RunState::AtRisk);
        self.parts.retain(|_, record| !record.is_expired(now));
    }

    /// Lists the parts for which a request with these parts is refused.
    fn blocking(&self, parts: &[PartId]) -> Vec<PartId> {
        let is_blocking = |part: &&PartId| {
            let record = self.parts.get(part).filter(|record| record.is_suspect());
            record.is_some_and(|record| self.unexplained(record, parts) >= CRASH_LIMIT)
        };
        parts.iter().filter(is_blocking).copied().collect()
    }

    /// Counts the crashes of a part that no suspect part outside a request explains.
    ///
    /// Another part explains crashes only if it shares as many of them as make a part suspect.
    fn unexplained(&self, record: &PartRecord, parts: &[PartId]) -> usize {
        let shared = |other: &PartRecord| {
            let crashes = other.crashes.keys();
            crashes
                .filter(|crash| record.crashes.contains_key(crash))
                .count()
        };
        let others: Vec<&PartRecord> = self
            .parts
            .iter()
            .filter(|(part, other)| other.is_suspect() && !parts.contains(part))
            .map(|(_, other)| other)
            .filter(|other| other.may_explain(record))
            .filter(|other| shared(other) >= CRASH_LIMIT)
            .collect();
        let is_explained =
            |crash: &CrashId| others.iter().any(|other| other.crashes.contains_key(crash));
        record
            .crashes
            .keys()
            .filter(|crash| !is_explained(crash))
            .count()
    }

    /// Counts the trials of a part whose crash no suspect part outside a request explains.
    ///
    /// A trial of several parts at once does not tell which of them crashed its target.
    fn failed_trials(&self, record: &PartRecord, parts: &[PartId]) -> u32 {
        let is_explained = |crash: &CrashId| {
            self.parts.iter().any(|(part, other)| {
                other.is_suspect()
                    && !parts.contains(part)
                    && other.may_explain(record)
                    && other.crashes.contains_key(crash)
            })
        };
        let failed = record.trial_crashes.iter();
        let failed = failed.filter(|crash| !is_explained(crash)).count();
        u32::try_from(failed).unwrap_or(u32::MAX)
    }

    /// Returns the record of a part; drops the oldest half of the records if there are too many.
    fn record_of(&mut self, part: PartId, now: Timestamp) -> &mut PartRecord {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            let mut times: Vec<Timestamp> =
                self.parts.values().map(PartRecord::changed_at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.parts
                .retain(|_, record| record.changed_at() > median && !record.is_expired(now));
        }
        self.parts.entry(part).or_default()
    }
}

#[cfg(test)]
mod tests;
