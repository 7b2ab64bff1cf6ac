//! Prometheus metrics, with histograms per customer and service.

use almondcroft_core::Verdict;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 0.51, 1.0, 2.5, 10.0, 30.0, 120.0,
];

/// Holds the metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    first_token: HistogramVec,
    gap: HistogramVec,
    stall: HistogramVec,
    queue_wait: HistogramVec,
    completion: HistogramVec,
    verdicts: IntCounterVec,
    refusals: IntCounterVec,
    link_bytes: IntCounterVec,
    stream_faults: IntCounterVec,
    pub(crate) preemptions: IntGauge,
}

/// Holds the histograms of one customer and service; all times are in seconds.
#[derive(Debug, Clone)]
pub(crate) struct StreamHistograms {
    pub(crate) first_token: Histogram,
    pub(crate) gap: Histogram,
    pub(crate) stall: Histogram,
    pub(crate) queue_wait: Histogram,
    pub(crate) completion: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        Self {
            first_token: histogram(&registry, "first_token_seconds", "Time to the first token"),
            gap: histogram(&registry, "token_gap_seconds", "Time between two tokens"),
            stall: histogram(
                &registry,
                "stall_seconds",
                "Longest time with nothing arriving",
            ),
            queue_wait: histogram(&registry, "queue_wait_seconds", "Time in the VM's queue"),
            completion: histogram(&registry, "completion_seconds", "Time to the last byte"),
            verdicts: counter(&registry, "verdicts_total", "Errors by verdict", "verdict"),
            refusals: counter(&registry, "refusals_total", "Refusals by reason", "reason"),
            link_bytes: counter(
                &registry,
                "link_bytes_total",
                "Bytes between regions",
                "region",
            ),
            stream_faults: counter(
                &registry,
                "stream_faults_total",
                "Faults of engine streams by kind",
                "kind",
            ),
            preemptions: gauge(
                &registry,
                "engine_preemptions",
                "Preemptions that engines report",
            ),
            registry,
        }
    }

    /// Returns the histograms of one customer and service, looked up once per stream.
    ///
    /// The service is the value of the label `class`.
    pub(crate) fn stream_histograms(&self, customer: &str, service: &str) -> StreamHistograms {
        let labels = [customer, service];
        StreamHistograms {
            first_token: self.first_token.with_label_values(&labels),
            gap: self.gap.with_label_values(&labels),
            stall: self.stall.with_label_values(&labels),
            queue_wait: self.queue_wait.with_label_values(&labels),
            completion: self.completion.with_label_values(&labels),
        }
    }

    pub(crate) fn count_verdict(&self, verdict: Verdict) {
        self.verdicts.with_label_values(&[verdict.as_str()]).inc();
    }

    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_link_bytes(&self, region: &str, bytes: usize) {
        self.link_bytes
            .with_label_values(&[region])
            .inc_by(bytes as u64);
    }

    pub(crate) fn count_stream_fault(&self, kind: &str) {
        self.stream_faults.with_label_values(&[kind]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut bytes)
            .is_err()
        {
            bytes.clear();
        }
        bytes
    }
}

fn histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options =
        HistogramOpts::new(format!("almondcroft_{name}"), help).buckets(BUCKET_SECONDS.to_vec());
    let metric =
        HistogramVec::new(options, &["customer", "class"]).expect("the name and labels are valid");
    register(registry, Box::new(metric.clone()));
    metric
}

fn counter(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let options = Opts::new(format!("almondcroft_{name}"), help);
    let metric = IntCounterVec::new(options, &[label]).expect("the name and label are valid");
    register(registry, Box::new(metric.clone()));
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(format!("almondcroft_{name}"), help).expect("the name is valid");
    register(registry, Box::new(metric.clone()));
    metric
}

fn register(registry: &Registry, metric: Box<dyn prometheus::core::Collector>) {
    registry
        .register(metric)
        .expect("each name is registered once");
}
