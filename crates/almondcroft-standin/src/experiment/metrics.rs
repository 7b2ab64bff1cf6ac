//! Metrics of an experiment.

use super::{PolicyName, Setup};
use almondcroft_core::router::Policy;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Metrics of one experiment; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Metrics {
    /// Name of the workload.
    pub workload: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Offered load, relative to the engines' capacity.
    pub load: f64,
    /// Requests per second at load 1.
    pub capacity_per_s: f64,
    /// Number of VMs.
    pub vms: u32,
    /// Age of the load reports.
    pub report_lag_ms: u64,
    /// Random seed.
    pub seed: u64,
    /// Median of each request's longest stall: the time without a token, including the wait for the
    /// first one.
    pub stall_p50_ms: f64,
    /// 99th percentile of each request's longest stall.
    pub stall_p99_ms: f64,
    /// Preemptions per thousand generations started.
    pub preemptions_per_1000: f64,
    /// 95th percentile of the time between tokens.
    pub gap_p95_ms: f64,
    /// 99th percentile of the time between tokens.
    pub gap_p99_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the time to the first token for requests of priority 0, if the workload
    /// has any.
    pub urgent_first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens for requests of priority 0.
    pub urgent_gap_p95_ms: f64,
    /// Worth per second of the requests completed before their deadline.
    pub worth_per_s: f64,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests completed before their deadline.
    pub completed: u64,
    /// Requests cancelled at their deadline.
    pub late: u64,
    /// Requests whose output was lost because their engine was reclaimed.
    pub lost: u64,
    /// Lowest completed fraction of a customer's requests, over all customers.
    pub least_served: f64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
}

impl Metrics {
    /// Encodes the metrics as JSON.
    ///
    /// # Panics
    ///
    /// Never: metrics always serialize.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("metrics serialize")
    }
}

impl fmt::Display for Metrics {
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

/// Records measurements while an experiment runs.
pub(super) struct MetricsRecorder {
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
    pub(super) started: u64,
    pub(super) preemptions: u64,
    pub(super) link_bytes: u64,
    offered: Vec<u64>,
    served: Vec<u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the number of digits is valid")
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(micros.max(1))
        .expect("the histogram resizes itself");
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^52 microseconds"
)]
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(count: u64, total: u64) -> f64 {
    count as f64 / total.max(1) as f64
}

impl MetricsRecorder {
    pub(super) fn new(customers: usize) -> Self {
        Self {
            stall: new_histogram(),
            gap: new_histogram(),
            urgent_gap: new_histogram(),
            first: new_histogram(),
            urgent_first: new_histogram(),
            worth: 0.0,
            refused: 0,
            completed: 0,
            late: 0,
            lost: 0,
            started: 0,
            preemptions: 0,
            link_bytes: 0,
            offered: vec![0; customers],
            served: vec![0; customers],
        }
    }

    pub(super) fn record_offered(&mut self, customer: usize) {
        self.offered[customer] += 1;
    }

    pub(super) fn record_first_token(&mut self, time: Duration, urgent: bool) {
        record_time(&mut self.first, time);
        if urgent {
            record_time(&mut self.urgent_first, time);
        }
    }

    pub(super) fn record_gap(&mut self, time: Duration, urgent: bool) {
        record_time(&mut self.gap, time);
        if urgent {
            record_time(&mut self.urgent_gap, time);
        }
    }

    pub(super) fn record_stall(&mut self, time: Duration) {
        record_time(&mut self.stall, time);
    }

    pub(super) fn record_completed(&mut self, customer: usize, worth: f64) {
        self.completed += 1;
        self.worth += worth;
        self.served[customer] += 1;
    }

    pub(super) fn finish(&self, setup: &Setup, capacity: f64) -> Metrics {
        let served = self.offered.iter().zip(&self.served);
        let with_requests = served.filter(|(offered, _)| **offered > 0);
        let fractions = with_requests.map(|(offered, served)| ratio(*served, *offered));
        Metrics {
            workload: setup.workload.name(),
            policy: policy_name(setup.policy),
            load: setup.load,
            capacity_per_s: capacity,
            vms: setup.vms,
            report_lag_ms: u64::try_from(setup.report_lag.as_millis()).unwrap_or(u64::MAX),
            seed: setup.seed,
            stall_p50_ms: quantile_ms(&self.stall, 0.5),
            stall_p99_ms: quantile_ms(&self.stall, 0.99),
            preemptions_per_1000: 1000.0 * ratio(self.preemptions, self.started),
            gap_p95_ms: quantile_ms(&self.gap, 0.95),
            gap_p99_ms: quantile_ms(&self.gap, 0.99),
            first_token_p95_ms: quantile_ms(&self.first, 0.95),
            urgent_first_token_p95_ms: quantile_ms(&self.urgent_first, 0.95),
            urgent_gap_p95_ms: quantile_ms(&self.urgent_gap, 0.95),
            worth_per_s: self.worth / setup.duration.as_secs_f64(),
            offered: self.offered.iter().sum(),
            refused: self.refused,
            completed: self.completed,
            late: self.late,
            lost: self.lost,
            least_served: fractions.fold(1.0, f64::min),
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
