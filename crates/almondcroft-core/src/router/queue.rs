//! Requests that wait for room.

use super::RouteRequest;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// Place of a request in the queue: priority, deadline, then arrival.
type Place = (u8, Timestamp, u64);

/// Keeps waiting requests in the order in which they are placed.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Place, RouteRequest>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn push(&mut self, request: RouteRequest) {
        self.arrivals += 1;
        let place = (request.priority, request.deadline, self.arrivals);
        self.waiting.insert(place, request);
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn first(&self) -> Option<&RouteRequest> {
        self.waiting.values().next()
    }

    pub(super) fn pop(&mut self) -> Option<RouteRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Returns how many requests go before this one.
    pub(super) fn ahead_of(&self, request: &RouteRequest) -> usize {
        let place = (request.priority, request.deadline, u64::MAX);
        self.waiting.range(..place).count()
    }

    pub(super) fn remove(&mut self, id: &RequestId) {
        self.waiting.retain(|_, request| request.id != *id);
    }

    /// Drops the requests for which `stays` does not hold.
    pub(super) fn retain(&mut self, mut stays: impl FnMut(&RouteRequest) -> bool) {
        self.waiting.retain(|_, request| stays(request));
    }
}

#[cfg(test)]
mod tests;
