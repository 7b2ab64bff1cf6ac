//! Admission queue of requests that wait for a target with room.

use super::RouteRequest;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// Order of a request in the queue: priority, deadline, then arrival number.
type QueueKey = (u8, Timestamp, u64);

/// Holds waiting requests in the order in which they are dispatched.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    waiting: BTreeMap<QueueKey, RouteRequest>,
    arrivals: u64,
}

impl AdmissionQueue {
    pub(super) fn push(&mut self, request: RouteRequest) {
        self.arrivals += 1;
        let key = (request.priority, request.deadline, self.arrivals);
        self.waiting.insert(key, request);
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

    /// Counts the queued requests that would be dispatched before this one.
    pub(super) fn count_ahead(&self, request: &RouteRequest) -> usize {
        let key = (request.priority, request.deadline, u64::MAX);
        self.waiting.range(..key).count()
    }

    pub(super) fn remove(&mut self, id: &RequestId) {
        self.waiting.retain(|_, request| request.id != *id);
    }

    /// Removes the requests for which `keep` returns `false`.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&RouteRequest) -> bool) {
        self.waiting.retain(|_, request| keep(request));
    }
}

#[cfg(test)]
mod tests;
