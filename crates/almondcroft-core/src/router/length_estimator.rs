//! Estimates of output lengths from completed outputs.

use crate::{CustomerId, ServiceId};
use std::collections::HashMap;

/// Number of buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one starts at 2^16 tokens.
const BUCKETS: usize = 65;

/// Decayed number of a customer's completions from which its own histogram is used instead of the
/// service's.
const MIN_SAMPLES: f64 = 30.0;

/// Factor by which the weight of earlier completions decays at each new one.
const DECAY: f64 = 0.998;

/// Length assumed before any output has completed, in tokens.
const DEFAULT_LENGTH: f64 = 256.0;

/// A histogram of output lengths with logarithmic buckets and exponential decay.
#[derive(Debug, Clone)]
struct LengthHistogram {
    counts: [f64; BUCKETS],
    total: f64,
}

impl LengthHistogram {
    const fn new() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }

    fn record(&mut self, length: u32) {
        self.counts.iter_mut().for_each(|count| *count *= DECAY);
        self.counts[bucket_of(length)] += 1.0;
        self.total = self.total * DECAY + 1.0;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a logarithm of a u32 is small and not negative"
)]
fn bucket_of(length: u32) -> usize {
    let doublings = f64::from(length.max(1)).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "bucket numbers are small")]
fn bucket_midpoint(bucket: usize) -> f64 {
    ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2()
}

/// Estimates the final length of an output, given how much of it has been produced.
///
/// Completed lengths are counted in logarithmic buckets per customer and service, and older ones
/// decay.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimator {
    by_customer: HashMap<(ServiceId, CustomerId), LengthHistogram>,
    by_service: HashMap<ServiceId, LengthHistogram>,
}

impl LengthEstimator {
    /// Records the length of a completed output, in tokens.
    pub fn record(&mut self, service: &ServiceId, customer: &CustomerId, length: u32) {
        self.by_service
            .entry(service.clone())
            .or_insert_with(LengthHistogram::new)
            .record(length);
        self.by_customer
            .entry((service.clone(), customer.clone()))
            .or_insert_with(LengthHistogram::new)
            .record(length);
    }

    /// Returns the expected final length of an output of which `produced` tokens exist.
    #[must_use]
    pub fn mean(&self, service: &ServiceId, customer: &CustomerId, produced: u32) -> f64 {
        let floor = f64::from(produced);
        let Some(histogram) = self.histogram(service, customer) else {
            return DEFAULT_LENGTH.max(floor * 1.5);
        };
        let (weight, sum) =
            (bucket_of(produced)..BUCKETS).fold((0.0, 0.0), |(weight, sum), index| {
                let count = histogram.counts[index];
                (
                    weight + count,
                    sum + count * bucket_midpoint(index).max(floor),
                )
            });
        if weight <= f64::EPSILON {
            return floor * 1.5;
        }
        (sum / weight).max(floor)
    }

    /// Returns the length that a fraction `quantile` of outputs does not exceed, among those with
    /// at least `produced` tokens.
    #[must_use]
    pub fn quantile(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        produced: u32,
        quantile: f64,
    ) -> f64 {
        let floor = f64::from(produced);
        let Some(histogram) = self.histogram(service, customer) else {
            return DEFAULT_LENGTH.max(floor * 1.5);
        };
        let first = bucket_of(produced);
        let weight: f64 = histogram.counts[first..].iter().sum();
        let mut remaining = weight * quantile;
        for index in first..BUCKETS {
            remaining -= histogram.counts[index];
            if remaining <= 0.0 {
                return bucket_midpoint(index).max(floor);
            }
        }
        floor * 1.5
    }

    fn histogram(&self, service: &ServiceId, customer: &CustomerId) -> Option<&LengthHistogram> {
        self.by_customer
            .get(&(service.clone(), customer.clone()))
            .filter(|histogram| histogram.total >= MIN_SAMPLES)
            .or_else(|| self.by_service.get(service))
    }
}

#[cfg(test)]
mod tests;
