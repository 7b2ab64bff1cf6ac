//! One run of a request at a target, as the quarantine of prompt parts sees it.

use crate::call::Call;
use crate::clock;
use crate::state::{Gateway, lock};
use almondcroft_core::quarantine::{CrashId, PartId, PromptQuarantine};
use almondcroft_core::{RequestId, TargetId, Timestamp};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tracks a run for the quarantine; dropping it records that the run has ended.
pub(crate) struct TargetRun {
    gateway: Arc<Gateway>,
    request: RequestId,
    target: CrashId,
    started_at: Option<Timestamp>,
}

impl TargetRun {
    /// Records that a request is about to be sent to a target.
    ///
    /// # Errors
    ///
    /// Returns the time for which the request is refused because of a part of its prompt.
    pub(crate) fn admit(
        gateway: &Arc<Gateway>,
        call: &Call,
        target: &TargetId,
    ) -> Result<Self, Duration> {
        let run = Self::new(gateway, call, target);
        let mut quarantine = lock(&gateway.prompt_quarantine);
        let trials = quarantine.trial_count();
        quarantine.admit(&call.id, run.target, &call.parts, clock::now())?;
        let is_trial = quarantine.trial_count() > trials;
        drop(quarantine);
        if is_trial {
            log::info!(event = "part-trial", request = call.external_id(),
                target_id = target.as_str(), parts = call.part_names().as_str(); "");
            gateway.request_gossip();
        }
        Ok(run)
    }

    /// Records that a generation is about to be resumed at another target.
    ///
    /// # Errors
    ///
    /// Returns the time for which it is refused, unless its last target survived its start.
    pub(crate) fn readmit(&self, call: &Call, target: &TargetId) -> Result<Self, Duration> {
        if !self.has_survived(clock::now()) {
            return Self::admit(&self.gateway, call, target);
        }
        let run = Self::new(&self.gateway, call, target);
        lock(&self.gateway.prompt_quarantine).readmit(&call.id, run.target, &call.parts);
        Ok(run)
    }

    fn new(gateway: &Arc<Gateway>, call: &Call, target: &TargetId) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            request: call.id.clone(),
            target: crash_id(gateway, target),
            started_at: None,
        }
    }

    /// Returns whether the target survived the start of the response, so that a crash has another cause.
    pub(crate) fn has_survived(&self, now: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| PromptQuarantine::has_survived(started, now))
    }

    /// Returns whether the response has started, so that the target has begun the run.
    pub(crate) const fn has_begun(&self) -> bool {
        self.started_at.is_some()
    }

    /// Records that the response has started.
    pub(crate) fn record_start(&mut self) {
        if self.started_at.is_none() {
            let now = clock::now();
            self.started_at = Some(now);
            lock(&self.gateway.prompt_quarantine).record_start(&self.request, self.target, now);
        }
    }

    /// Records that the response is complete.
    pub(crate) fn record_completion(&self) {
        lock(&self.gateway.prompt_quarantine).record_completion(&self.request, self.target);
    }

    /// Records that the target has not run the request.
    pub(crate) fn record_not_run(&self) {
        lock(&self.gateway.prompt_quarantine).record_not_run(&self.request, self.target);
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        let now = clock::now();
        lock(&self.gateway.prompt_quarantine).record_end(&self.request, self.target, now);
    }
}

/// Identifies the present incarnation of a target.
pub(crate) fn crash_id(gateway: &Gateway, target: &TargetId) -> CrashId {
    let incarnation = lock(&gateway.fleet).incarnation(target);
    let hash = xxh3_64_with_seed(target.as_bytes(), incarnation.unwrap_or_default());
    // Half of the hash identifies the few crashes of a fleet as well, and is shorter to send.
    CrashId::try_from(hash >> 32).unwrap_or_default()
}

/// Identifies the parts that a prompt may share with others: all but the last.
pub(crate) fn shared_parts(parts: &[SmolStr]) -> Vec<PartId> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|id| xxh3_64(id.as_bytes())).collect()
}
