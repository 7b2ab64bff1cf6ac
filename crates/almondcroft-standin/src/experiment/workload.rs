//! Workloads: the requests that callers send, and when.

use crate::engine::draw_output_length;
use almondcroft_core::Timestamp;
use almondcroft_core::config::Objective;
use almondcroft_core::router::RouterOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Relative request rate of each customer.
const CUSTOMER_WEIGHTS: [u32; 10] = [30, 20, 15, 8, 7, 6, 5, 4, 3, 2];

/// Time between the starts of two bursts.
const BURST_PERIOD: Duration = Duration::from_mins(1);

/// Duration of a burst.
const BURST_TIME: Duration = Duration::from_secs(8);

/// Rate during a burst, relative to the rate outside.
const BURST_FACTOR: f64 = 2.0;

/// Length of a customer's shared prompt prefix, in tokens.
const PREFIX_TOKENS: u32 = 256;

/// A workload with its classes of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Long menus and short allergy questions of lunch clubs.
    LunchHour,
    /// Lease drafts and booking summaries at the end of a month.
    MonthEnd,
}

/// A class of requests of a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Class {
    pub(super) service: &'static str,
    /// Fraction of the requests.
    pub(super) share: f64,
    /// Mean length of the prompt, in tokens.
    pub(super) prompt: u32,
    /// Median of the output length, in tokens.
    pub(super) median_length: f64,
    pub(super) priority: u8,
    pub(super) worth: f64,
    pub(super) deadline: Duration,
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Arrival time.
    pub at: Timestamp,
    /// Index of the customer.
    pub customer: usize,
    /// Index of its class within the workload.
    pub class: usize,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Length of the output, in tokens.
    pub length: u32,
    /// Hash of the shared prompt prefix.
    pub prefix: Option<u64>,
}

const LUNCH_HOUR: [Class; 2] = [
    Class {
        service: "menus",
        share: 0.65,
        prompt: 500,
        median_length: 450.0,
        priority: 1,
        worth: 2.5,
        deadline: Duration::from_mins(1),
    },
    Class {
        service: "questions",
        share: 0.35,
        prompt: 350,
        median_length: 40.0,
        priority: 0,
        worth: 1.0,
        deadline: Duration::from_secs(8),
    },
];

const MONTH_END: [Class; 2] = [
    Class {
        service: "leases",
        share: 0.55,
        prompt: 700,
        median_length: 600.0,
        priority: 1,
        worth: 5.0,
        deadline: Duration::from_secs(90),
    },
    Class {
        service: "summaries",
        share: 0.45,
        prompt: 900,
        median_length: 200.0,
        priority: 1,
        worth: 2.0,
        deadline: Duration::from_secs(30),
    },
];

impl Workload {
    /// Returns the name used on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::LunchHour => "lunch-hour",
            Self::MonthEnd => "month-end",
        }
    }

    pub(super) const fn classes(self) -> &'static [Class; 2] {
        match self {
            Self::LunchHour => &LUNCH_HOUR,
            Self::MonthEnd => &MONTH_END,
        }
    }

    /// Returns the number of engines.
    #[must_use]
    pub const fn engines(self) -> usize {
        match self {
            Self::LunchHour => 10,
            Self::MonthEnd => 12,
        }
    }

    /// Returns the one-way delay between a VM and a caller.
    pub(super) const fn caller_delay(self) -> Duration {
        match self {
            Self::LunchHour => Duration::from_millis(3),
            Self::MonthEnd => Duration::from_millis(1),
        }
    }

    /// Returns the router options of a deployment with this workload.
    #[must_use]
    pub fn options(self) -> RouterOptions {
        let objective = match self {
            Self::LunchHour => Objective::Stall,
            Self::MonthEnd => Objective::Preemption,
        };
        RouterOptions::default().with_objective(objective)
    }

    /// Draws all requests of an experiment.
    pub(super) fn draw_arrivals(self, rate: f64, duration: Duration, seed: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let burst_fraction = BURST_TIME.as_secs_f64() / BURST_PERIOD.as_secs_f64();
        let base = rate / (1.0 + burst_fraction * (BURST_FACTOR - 1.0));
        let mut now = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let in_burst = now % BURST_PERIOD.as_secs_f64() < BURST_TIME.as_secs_f64();
            let current = if in_burst { base * BURST_FACTOR } else { base };
            now += -(1.0 - rng.random::<f64>()).ln() / current;
            if now >= duration.as_secs_f64() {
                return arrivals;
            }
            arrivals.push(self.draw_arrival(Duration::from_secs_f64(now), &mut rng));
        }
    }

    pub(super) fn draw_arrival(self, at: Timestamp, rng: &mut ChaCha8Rng) -> Arrival {
        let classes = self.classes();
        let class = usize::from(rng.random::<f64>() >= classes[0].share);
        let customer = draw_customer(rng);
        let length = draw_output_length(rng.random(), classes[class].median_length);
        let prompt = classes[class].prompt / 2 + rng.random_range(0..classes[class].prompt);
        Arrival {
            at,
            customer,
            class,
            prompt: prompt.max(PREFIX_TOKENS),
            length: u32::try_from(length).unwrap_or(u32::MAX),
            prefix: Some(customer as u64 * 2 + class as u64 + 1),
        }
    }
}

/// Returns the length of a shared prompt prefix, in tokens.
pub(super) const fn prefix_tokens() -> u64 {
    PREFIX_TOKENS as u64
}

fn draw_customer(rng: &mut ChaCha8Rng) -> usize {
    let total: u32 = CUSTOMER_WEIGHTS.iter().sum();
    let mut left = rng.random_range(0..total);
    for (number, weight) in CUSTOMER_WEIGHTS.iter().enumerate() {
        if left < *weight {
            return number;
        }
        left -= weight;
    }
    0
}
