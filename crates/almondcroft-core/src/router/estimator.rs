//! Lengths of outputs, learnt from those that completed.

use crate::{CustomerId, ServiceId};
use std::collections::HashMap;

/// Buckets for each doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one begins at 2^16 tokens.
const BUCKETS: usize = 65;

/// Completions of a customer after which its own lengths are used instead of the service's.
const MIN_SAMPLES: f64 = 30.0;

/// Weight that earlier completions keep at each new one.
const DECAY: f64 = 0.998;

/// Length assumed before anything completed, in tokens.
const DEFAULT_LENGTH: f64 = 256.0;

#[derive(Debug, Clone)]
struct Lengths {
    counts: [f64; BUCKETS],
    total: f64,
}

impl Lengths {
    const fn new() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }

    fn note(&mut self, length: u32) {
        self.counts.iter_mut().for_each(|count| *count *= DECAY);
        self.counts[bucket(length)] += 1.0;
        self.total = self.total * DECAY + 1.0;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a logarithm of a u32 is small and not negative"
)]
fn bucket(length: u32) -> usize {
    let doublings = f64::from(length.max(1)).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "bucket numbers are small")]
fn middle(bucket: usize) -> f64 {
    ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2()
}

/// Estimates how long an output becomes, given how much of it has been produced.
///
/// Completed lengths are kept in logarithmic buckets per customer and service; old ones fade.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    by_customer: HashMap<(ServiceId, CustomerId), Lengths>,
    by_service: HashMap<ServiceId, Lengths>,
}

impl Estimator {
    /// Learns from a completed output.
    pub fn note(&mut self, service: &ServiceId, customer: &CustomerId, length: u32) {
        self.by_service
            .entry(service.clone())
            .or_insert_with(Lengths::new)
            .note(length);
        self.by_customer
            .entry((service.clone(), customer.clone()))
            .or_insert_with(Lengths::new)
            .note(length);
    }

    /// Returns the expected final length of an output of which `produced` tokens exist.
    #[must_use]
    pub fn mean(&self, service: &ServiceId, customer: &CustomerId, produced: u32) -> f64 {
        let floor = f64::from(produced);
        let Some(lengths) = self.lengths(service, customer) else {
            return DEFAULT_LENGTH.max(floor * 1.5);
        };
        let (weight, sum) = (bucket(produced)..BUCKETS).fold((0.0, 0.0), |(weight, sum), index| {
            let count = lengths.counts[index];
            (weight + count, sum + count * middle(index).max(floor))
        });
        if weight <= f64::EPSILON {
            return floor * 1.5;
        }
        (sum / weight).max(floor)
    }

    /// Returns the length that a fraction `quantile` of outputs does not exceed, among those of
    /// which `produced` tokens exist.
    #[must_use]
    pub fn quantile(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        produced: u32,
        quantile: f64,
    ) -> f64 {
        let floor = f64::from(produced);
        let Some(lengths) = self.lengths(service, customer) else {
            return DEFAULT_LENGTH.max(floor * 1.5);
        };
        let first = bucket(produced);
        let weight: f64 = lengths.counts[first..].iter().sum();
        let mut left = weight * quantile;
        for index in first..BUCKETS {
            left -= lengths.counts[index];
            if left <= 0.0 {
                return middle(index).max(floor);
            }
        }
        floor * 1.5
    }

    fn lengths(&self, service: &ServiceId, customer: &CustomerId) -> Option<&Lengths> {
        self.by_customer
            .get(&(service.clone(), customer.clone()))
            .filter(|lengths| lengths.total >= MIN_SAMPLES)
            .or_else(|| self.by_service.get(service))
    }
}

#[cfg(test)]
mod tests;
