//! Requests and connections that are open, and how far a stop has come.

use almondcroft_core::Timestamp;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Tells what the process has open and whether it is stopping.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    drained: Mutex<Option<Timestamp>>,
    requests: AtomicUsize,
    connections: AtomicUsize,
    bodies: AtomicUsize,
}

impl Lifecycle {
    pub(crate) fn start_drain(&self, now: Timestamp) {
        self.drained().get_or_insert(now);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drained().is_some()
    }

    /// Returns the time since the stop began, if it did.
    pub(crate) fn draining_for(&self, now: Timestamp) -> Option<Duration> {
        let begun = *self.drained();
        begun.map(|begun| now.saturating_sub(begun))
    }

    fn drained(&self) -> MutexGuard<'_, Option<Timestamp>> {
        self.drained.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::Requests, 1)
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn enter_connection(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::Connections, 1)
    }

    /// Counts the bytes of a body until the guard is dropped; `None` where the budget is used up.
    pub(crate) fn hold_body(self: &Arc<Self>, bytes: usize, budget: usize) -> Option<Guard> {
        let held = self.bodies.load(Ordering::SeqCst);
        (held + bytes <= budget).then(|| Guard::new(self, Counter::Bodies, bytes))
    }

    const fn counter(&self, counter: Counter) -> &AtomicUsize {
        match counter {
            Counter::Requests => &self.requests,
            Counter::Connections => &self.connections,
            Counter::Bodies => &self.bodies,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Counter {
    Requests,
    Connections,
    Bodies,
}

/// Keeps something counted as open.
#[derive(Debug)]
pub(crate) struct Guard {
    lifecycle: Arc<Lifecycle>,
    counter: Counter,
    amount: usize,
}

impl Guard {
    fn new(lifecycle: &Arc<Lifecycle>, counter: Counter, amount: usize) -> Self {
        lifecycle
            .counter(counter)
            .fetch_add(amount, Ordering::SeqCst);
        Self {
            lifecycle: Arc::clone(lifecycle),
            counter,
            amount,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.lifecycle
            .counter(self.counter)
            .fetch_sub(self.amount, Ordering::SeqCst);
    }
}
