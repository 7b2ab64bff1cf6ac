//! Limit on requests in flight per customer.

use crate::CustomerId;
use std::collections::HashMap;

/// Counts requests in flight per customer and refuses those above the customer's limit.
#[derive(Debug, Default)]
pub struct ConcurrencyLimiter {
    counts: HashMap<CustomerId, u32>,
}

impl ConcurrencyLimiter {
    /// Counts one more request unless the customer already has `limit` in flight.
    ///
    /// Returns whether the request was counted.
    pub fn try_acquire(&mut self, customer: &CustomerId, limit: u32) -> bool {
        let count = self.counts.entry(customer.clone()).or_insert(0);
        if *count >= limit {
            return false;
        }
        *count += 1;
        true
    }

    /// Releases a request that [`ConcurrencyLimiter::try_acquire`] counted.
    pub fn release(&mut self, customer: &CustomerId) {
        let Some(count) = self.counts.get_mut(customer) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.counts.remove(customer);
        }
    }

    /// Returns the number of requests in flight of all customers.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.counts.values().sum()
    }
}

#[cfg(test)]
mod tests;
