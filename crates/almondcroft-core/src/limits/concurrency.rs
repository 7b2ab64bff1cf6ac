//! Requests in flight per customer.

use crate::CustomerId;
use std::collections::HashMap;

/// Counts requests in flight per customer and refuses those above the customer's bound.
#[derive(Debug, Default)]
pub struct Concurrency {
    counts: HashMap<CustomerId, u32>,
}

impl Concurrency {
    /// Counts one more request unless `limit` are in flight; returns whether it was counted.
    pub fn acquire(&mut self, customer: &CustomerId, limit: u32) -> bool {
        let count = self.counts.entry(customer.clone()).or_insert(0);
        if *count >= limit {
            return false;
        }
        *count += 1;
        true
    }

    /// Ends a request that [`Concurrency::acquire`] counted.
    pub fn release(&mut self, customer: &CustomerId) {
        let Some(count) = self.counts.get_mut(customer) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.counts.remove(customer);
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }
}

#[cfg(test)]
mod tests;
