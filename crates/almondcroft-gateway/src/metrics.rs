//! Prometheus metrics, with histograms by customer and class.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_SECONDS: [f64; 12] = [
    0.01, 0.031, 0.06, 0.18, 0.25, 0.51, 1.0, 1.8, 4.0, 10.0, 20.0, 40.0,
];

/// Holds the metrics of one gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    first_byte: HistogramVec,
    longest_gap: HistogramVec,
    queue_wait: HistogramVec,
    completion: HistogramVec,
    migrations: IntCounterVec,
    evacuations: IntCounterVec,
    hedges: IntCounterVec,
    silences: IntCounterVec,
    pub(crate) waiting: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) connections: IntGauge,
    pub(crate) targets: IntGauge,
    pub(crate) cold: IntGauge,
    pub(crate) vms: IntGauge,
    pub(crate) revision: IntGauge,
    pub(crate) config_age: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        Self {
            outcomes: counter(
                &registry,
                "outcomes_total",
                "Requests by outcome",
                "outcome",
            ),
            first_byte: histogram(&registry, "first_event_seconds", "Time to the first byte"),
            longest_gap: histogram(
                &registry,
                "longest_gap_seconds",
                "Longest pause of a stream",
            ),
            queue_wait: histogram(&registry, "queue_wait_seconds", "Time in the VM's queue"),
            completion: histogram(&registry, "completion_seconds", "Time to the last byte"),
            migrations: counter(&registry, "moves_total", "Moves of generations", "outcome"),
            hedges: counter(
                &registry,
                "hedges_total",
                "Second runs of slow requests, by the send whose response was used",
                "used",
            ),
            silences: counter(
                &registry,
                "silences_total",
                "Streams without an event for a while, by whether the target accepts connections",
                "reached",
            ),
            evacuations: counter(
                &registry,
                "evacuations_total",
                "Begins and ends of evacuations",
                "phase",
            ),
            cold: gauge(
                &registry,
                "targets_cold",
                "Targets with a limited rate because they are cold",
            ),
            waiting: gauge(&registry, "requests_waiting", "Requests in the queue"),
            running: gauge(&registry, "requests_running", "Requests in flight"),
            connections: gauge(&registry, "caller_connections", "Open callers' connections"),
            targets: gauge(&registry, "targets_usable", "Targets that take work"),
            vms: gauge(
                &registry,
                "vms_heard",
                "VMs heard of lately, this one included",
            ),
            revision: gauge(&registry, "config_revision", "Revision in force"),
            config_age: gauge(
                &registry,
                "config_age_milliseconds",
                "Time since the revision in force was known to be the newest",
            ),
            registry,
        }
    }

    pub(crate) fn count_outcome(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_hedge(&self, used: &str) {
        self.hedges.with_label_values(&[used]).inc();
    }

    pub(crate) fn count_silence(&self, reached: bool) {
        let label = if reached { "true" } else { "false" };
        self.silences.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_evacuation(&self, phase: &str) {
        self.evacuations.with_label_values(&[phase]).inc();
    }

    pub(crate) fn count_migration(&self, outcome: &str) {
        self.migrations.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn observe(&self, times: &Times, customer: &str, class: &str) {
        let labels = [customer, class];
        let observe = |histogram: &HistogramVec, time: Option<Duration>| {
            if let Some(time) = time {
                let histogram = histogram.with_label_values(&labels);
                histogram.observe(time.as_secs_f64());
            }
        };
        observe(&self.first_byte, times.first_byte);
        observe(&self.longest_gap, times.longest_gap);
        observe(&self.queue_wait, times.queue_wait);
        observe(&self.completion, times.completion);
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(event = "metrics-failed", error:% = error; "");
        }
        text
    }
}

/// Durations of the phases of one request, as far as it reached them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Times {
    pub(crate) queue_wait: Option<Duration>,
    pub(crate) first_byte: Option<Duration>,
    pub(crate) longest_gap: Option<Duration>,
    pub(crate) completion: Option<Duration>,
}

fn histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options =
        HistogramOpts::new(format!("almondcroft_{name}"), help).buckets(BUCKET_SECONDS.into());
    let metric = HistogramVec::new(options, &["customer", "class"]).expect("the name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let options = Opts::new(format!("almondcroft_{name}"), help);
    let metric = IntCounterVec::new(options, &[label]).expect("the name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(format!("almondcroft_{name}"), help).expect("the name is valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}
