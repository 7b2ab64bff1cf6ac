//! What an experiment measures.

use super::{PolicyName, Setup};
use almondcroft_core::router::Policy;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Digits that the histograms keep.
const DIGITS: u8 = 3;

/// Holds the figures of one experiment; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// The workload.
    pub workload: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// Offered load, relative to the engines' capacity.
    pub load: f64,
    /// Requests a second that count as load 1.
    pub capacity_per_s: f64,
    /// Number of VMs.
    pub vms: u32,
    /// Age of the load reports.
    pub report_lag_ms: u64,
    /// The seed.
    pub seed: u64,
    /// Median of the longest time with nothing arriving, the first token included.
    pub stall_p50_ms: f64,
    /// 99th percentile of the same.
    pub stall_p99_ms: f64,
    /// Preemptions for each thousand generations that were begun.
    pub preemptions_per_1000: f64,
    /// 95th percentile of the time between tokens.
    pub gap_p95_ms: f64,
    /// 99th percentile of the same.
    pub gap_p99_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// The same for requests of the first priority, if the workload has several.
    pub urgent_first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens for requests of the first priority.
    pub urgent_gap_p95_ms: f64,
    /// Worth of the requests completed whole and on time, for each second.
    pub worth_per_s: f64,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were refused before they ran.
    pub refused: u64,
    /// Requests completed whole and on time.
    pub completed: u64,
    /// Requests cut at their deadline.
    pub late: u64,
    /// Requests lost with an engine.
    pub lost: u64,
    /// Lowest part of its requests that a customer had completed.
    pub least_served: f64,
    /// Bytes between regions.
    pub link_bytes: u64,
}

impl Figures {
    /// Encodes the figures.
    ///
    /// # Panics
    ///
    /// Never: figures always serialize.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("figures serialize")
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        let map = value.as_object().ok_or(fmt::Error)?;
        let lines: Vec<String> = map
            .iter()
            .map(|(name, value)| format!("{name:28} {value}"))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Gathers measurements while an experiment runs.
pub(super) struct Gauge {
    stall: Histogram<u64>,
    gap: Histogram<u64>,
    urgent_gap: Histogram<u64>,
    first: Histogram<u64>,
    urgent_first: Histogram<u64>,
    pub(super) worth: f64,
    pub(super) refused: u64,
    pub(super) completed: u64,
    pub(super) late: u64,
    pub(super) lost: u64,
    pub(super) begun: u64,
    pub(super) preemptions: u64,
    pub(super) link_bytes: u64,
    offered: Vec<u64>,
    served: Vec<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the number of digits is valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(micros.max(1))
        .expect("the histogram grows with its values");
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^52 microseconds"
)]
fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl Gauge {
    pub(super) fn new(customers: usize) -> Self {
        Self {
            stall: histogram(),
            gap: histogram(),
            urgent_gap: histogram(),
            first: histogram(),
            urgent_first: histogram(),
            worth: 0.0,
            refused: 0,
            completed: 0,
            late: 0,
            lost: 0,
            begun: 0,
            preemptions: 0,
            link_bytes: 0,
            offered: vec![0; customers],
            served: vec![0; customers],
        }
    }

    pub(super) fn offer(&mut self, customer: usize) {
        self.offered[customer] += 1;
    }

    pub(super) fn first_token(&mut self, time: Duration, urgent: bool) {
        record(&mut self.first, time);
        if urgent {
            record(&mut self.urgent_first, time);
        }
    }

    pub(super) fn gap(&mut self, time: Duration, urgent: bool) {
        record(&mut self.gap, time);
        if urgent {
            record(&mut self.urgent_gap, time);
        }
    }

    pub(super) fn stall(&mut self, time: Duration) {
        record(&mut self.stall, time);
    }

    pub(super) fn complete(&mut self, customer: usize, worth: f64) {
        self.completed += 1;
        self.worth += worth;
        self.served[customer] += 1;
    }

    pub(super) fn figures(&self, setup: &Setup, capacity: f64) -> Figures {
        let served = self.offered.iter().zip(&self.served);
        let parts = served.filter(|(offered, _)| **offered > 0);
        let least = parts.map(|(offered, served)| ratio(*served, *offered));
        Figures {
            workload: setup.workload.name(),
            policy: policy_name(setup.policy),
            load: setup.load,
            capacity_per_s: capacity,
            vms: setup.vms,
            report_lag_ms: u64::try_from(setup.report_lag.as_millis()).unwrap_or(u64::MAX),
            seed: setup.seed,
            stall_p50_ms: millis(&self.stall, 0.5),
            stall_p99_ms: millis(&self.stall, 0.99),
            preemptions_per_1000: 1000.0 * ratio(self.preemptions, self.begun),
            gap_p95_ms: millis(&self.gap, 0.95),
            gap_p99_ms: millis(&self.gap, 0.99),
            first_token_p95_ms: millis(&self.first, 0.95),
            urgent_first_token_p95_ms: millis(&self.urgent_first, 0.95),
            urgent_gap_p95_ms: millis(&self.urgent_gap, 0.95),
            worth_per_s: self.worth / setup.time.as_secs_f64(),
            offered: self.offered.iter().sum(),
            refused: self.refused,
            completed: self.completed,
            late: self.late,
            lost: self.lost,
            least_served: least.fold(1.0, f64::min),
            link_bytes: self.link_bytes,
        }
    }
}

const fn policy_name(policy: PolicyName) -> &'static str {
    match policy {
        PolicyName::Oracle => "oracle",
        PolicyName::Router(Policy::Almondcroft) => "almondcroft",
        PolicyName::Router(Policy::RoundRobin) => "round-robin",
        PolicyName::Router(Policy::LeastInFlight) => "least-in-flight",
        PolicyName::Router(Policy::TwoChoices) => "two-choices",
    }
}
