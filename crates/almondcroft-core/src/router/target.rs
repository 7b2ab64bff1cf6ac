//! What the router knows of one target.

use super::{Estimator, LoadReport, RouteRequest};
use crate::{RegionId, RequestId, ServiceId, TargetId, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Prefixes remembered per target.
const MAX_PREFIXES: usize = 64;

/// Describes a target to the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Identifies the target.
    pub id: TargetId,
    /// Services that it answers.
    pub services: Vec<ServiceId>,
    /// Its region.
    pub region: RegionId,
}

#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) request: RouteRequest,
    pub(super) sent: Timestamp,
    pub(super) produced: u32,
    pub(super) last: Timestamp,
}

impl Flight {
    /// Estimates the tokens that existed at an earlier time.
    fn produced_at(&self, at: Timestamp, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.sent).as_secs_f64();
        let then = at.saturating_sub(self.sent).as_secs_f64();
        if age <= 0.0 {
            return 0.0;
        }
        f64::from(self.produced) * (then / age).min(1.0)
    }
}

/// Tracks the load of one target: the last report and what this VM has sent.
#[derive(Debug, Clone)]
pub struct TargetState {
    pub(super) spec: TargetSpec,
    pub(super) usable: bool,
    pub(super) report: Option<LoadReport>,
    pub(super) flights: BTreeMap<RequestId, Flight>,
    prefixes: VecDeque<u64>,
}

impl TargetState {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            usable: true,
            report: None,
            flights: BTreeMap::new(),
            prefixes: VecDeque::new(),
        }
    }

    pub(super) fn serves(&self, service: &str) -> bool {
        self.usable && self.spec.services.iter().any(|id| id == service)
    }

    pub(super) fn has_prefix(&self, prefix: Option<u64>) -> bool {
        prefix.is_some_and(|prefix| self.prefixes.contains(&prefix))
    }

    pub(super) fn note_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Returns the tokens that this VM's own requests are expected to need at once.
    pub(super) fn own_need(&self, estimator: &Estimator, growth: f64) -> f64 {
        self.flights
            .values()
            .map(|flight| need(estimator, &flight.request, flight.produced, growth))
            .sum()
    }

    /// Returns the tokens that other VMs' requests hold, as far as the report shows.
    pub(super) fn others_used(&self, now: Timestamp) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let own: f64 = self
            .flights
            .values()
            .filter(|flight| flight.sent <= report.at)
            .map(|flight| f64::from(flight.request.prompt) + flight.produced_at(report.at, now))
            .sum();
        (as_f64(report.kv_used) - own).max(0.0)
    }

    /// Returns the number of other VMs' requests, as far as the report shows.
    pub(super) fn others_running(&self) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let own = self
            .flights
            .values()
            .filter(|flight| flight.sent <= report.at)
            .count();
        (f64::from(report.running + report.waiting) - as_f64(own as u64)).max(0.0)
    }

    /// Returns the own requests that were sent after the last report.
    pub(super) fn sent_since_report(&self) -> usize {
        let at = self.report.map_or(Timestamp::ZERO, |report| report.at);
        self.flights
            .values()
            .filter(|flight| flight.sent > at)
            .count()
    }
}

/// Returns the tokens of KV memory that a request is expected to need beside others.
pub(super) fn need(
    estimator: &Estimator,
    request: &RouteRequest,
    produced: u32,
    growth: f64,
) -> f64 {
    let mean = estimator.mean(&request.service, &request.customer, produced);
    let capped = request
        .max_tokens
        .map_or(mean, |most| mean.min(f64::from(most.max(produced))));
    let remaining = (capped - f64::from(produced)).max(0.0);
    f64::from(request.prompt) + f64::from(produced) + growth * remaining
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) const fn as_f64(count: u64) -> f64 {
    count as f64
}
