//! Requests of one service that wait for room.

use super::Demand;
use crate::{RequestId, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two departures that is assumed before any was seen.
const INITIAL_PACE: Duration = Duration::from_millis(100);

/// Longest time between two departures that is taken as a sign of pace.
const MAX_PACE: Duration = Duration::from_secs(2);

/// Holds a request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) demand: Demand,
    pub(super) since: Timestamp,
}

/// Orders requests by priority, then by the time at which they came.
#[derive(Debug)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    pace: Duration,
    departed: Option<Timestamp>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            pace: INITIAL_PACE,
            departed: None,
        }
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let at = self
            .waiting
            .partition_point(|other| other.demand.priority <= waiting.demand.priority);
        self.waiting.insert(at, waiting);
    }

    /// Returns the request at a place in the order.
    pub(super) fn at(&self, place: usize) -> Option<&Waiting> {
        self.waiting.get(place)
    }

    /// Takes out the request at a place in the order.
    pub(super) fn take(&mut self, place: usize) -> Option<Waiting> {
        self.waiting.remove(place)
    }

    pub(super) fn remove(&mut self, request: &RequestId) {
        self.waiting.retain(|waiting| waiting.demand.id != *request);
    }

    /// Takes out what has waited longer than a part of its caller's patience.
    pub(super) fn take_expired(&mut self, now: Timestamp, part: f64) -> Vec<Waiting> {
        let waiting = std::mem::take(&mut self.waiting);
        let expired = |waiting: &Waiting| {
            let demand = &waiting.demand;
            now >= demand.deadline || now >= waiting.since + demand.patience.mul_f64(part)
        };
        let (expired, kept): (VecDeque<_>, VecDeque<_>) = waiting.into_iter().partition(expired);
        self.waiting = kept;
        expired.into()
    }

    pub(super) fn note_departure(&mut self, now: Timestamp, weight: f64) {
        if let Some(before) = self.departed.replace(now) {
            let gap = now.saturating_sub(before).min(MAX_PACE);
            self.pace = self.pace.mul_f64(1.0 - weight) + gap.mul_f64(weight);
        }
    }

    /// Returns the mean time between two departures.
    pub(super) const fn pace(&self) -> Duration {
        self.pace
    }

    /// Estimates how long a new request would wait.
    pub(super) fn wait_for(&self, demand: &Demand) -> Duration {
        let ahead = self
            .waiting
            .partition_point(|other| other.demand.priority <= demand.priority);
        self.pace * u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}
