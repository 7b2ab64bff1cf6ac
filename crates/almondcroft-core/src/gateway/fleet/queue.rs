//! Admission queue of one service.

use super::Demand;
use crate::{RequestId, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two completions assumed before the first ones are seen.
const INITIAL_COMPLETION_INTERVAL: Duration = Duration::from_millis(100);

/// Upper limit for a measured time between two completions; a longer gap is an idle period.
const MAX_COMPLETION_INTERVAL: Duration = Duration::from_secs(2);

/// A request in the admission queue.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) demand: Demand,
    pub(super) enqueued_at: Timestamp,
}

/// Holds waiting requests by priority, then by arrival, and estimates how long they wait.
#[derive(Debug)]
pub(super) struct AdmissionQueue {
    waiting: VecDeque<WaitingRequest>,
    /// Moving average of the time between two completions.
    completion_interval: Duration,
    last_completion: Option<Timestamp>,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            completion_interval: INITIAL_COMPLETION_INTERVAL,
            last_completion: None,
        }
    }
}

impl AdmissionQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        let at = self
            .waiting
            .partition_point(|other| other.demand.priority <= waiting.demand.priority);
        self.waiting.insert(at, waiting);
    }

    /// Returns the request at an index of the queue.
    pub(super) fn get(&self, index: usize) -> Option<&WaitingRequest> {
        self.waiting.get(index)
    }

    /// Removes and returns the request at an index of the queue.
    pub(super) fn take(&mut self, index: usize) -> Option<WaitingRequest> {
        self.waiting.remove(index)
    }

    pub(super) fn remove(&mut self, request: &RequestId) {
        self.waiting.retain(|waiting| waiting.demand.id != *request);
    }

    /// Removes and returns the requests past their deadline, and those that have waited for longer than
    /// a fraction of their caller's timeout.
    pub(super) fn take_expired(
        &mut self,
        now: Timestamp,
        wait_fraction: f64,
    ) -> Vec<WaitingRequest> {
        let waiting = std::mem::take(&mut self.waiting);
        let expired = |waiting: &WaitingRequest| {
            let demand = &waiting.demand;
            now >= demand.deadline
                || now >= waiting.enqueued_at + demand.caller_timeout.mul_f64(wait_fraction)
        };
        let (expired, kept): (VecDeque<_>, VecDeque<_>) = waiting.into_iter().partition(expired);
        self.waiting = kept;
        expired.into()
    }

    /// Records that a request of the service completed.
    pub(super) fn record_completion(&mut self, now: Timestamp, weight: f64) {
        if let Some(before) = self.last_completion.replace(now) {
            let gap = now.saturating_sub(before).min(MAX_COMPLETION_INTERVAL);
            self.completion_interval =
                self.completion_interval.mul_f64(1.0 - weight) + gap.mul_f64(weight);
        }
    }

    /// Returns the mean time between two completions.
    pub(super) const fn completion_interval(&self) -> Duration {
        self.completion_interval
    }

    /// Estimates how long a new request would wait, from the requests ahead of it.
    pub(super) fn estimated_wait(&self, demand: &Demand) -> Duration {
        let ahead = self
            .waiting
            .partition_point(|other| other.demand.priority <= demand.priority);
        self.completion_interval * u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}
