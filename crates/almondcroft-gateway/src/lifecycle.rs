//! Counts of open requests and connections, and the state of a graceful shutdown.

use almondcroft_core::Timestamp;
use async_channel::{Receiver, Sender, bounded};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Counts what the process has open and records whether it is draining.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    drain_started: Mutex<Option<Timestamp>>,
    requests: AtomicUsize,
    connections: AtomicUsize,
    body_bytes: AtomicUsize,
    response_bytes: AtomicUsize,
    tunnels: AtomicUsize,
    end: EndSignal,
}

/// A channel that closes once the process no longer waits for open requests.
#[derive(Debug)]
struct EndSignal(Sender<()>, Receiver<()>);

impl Default for EndSignal {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self(sender, receiver)
    }
}

impl Lifecycle {
    /// Records that the process no longer waits for open requests.
    pub(crate) fn signal_end(&self) {
        self.end.0.close();
    }

    /// Waits until the process no longer waits for open requests.
    pub(crate) async fn wait_for_end(&self) {
        while self.end.1.recv().await.is_ok() {}
    }

    pub(crate) fn start_drain(&self, now: Timestamp) {
        self.drain_started().get_or_insert(now);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain_started().is_some()
    }

    /// Returns the time at which the drain started; `None` while the process is not draining.
    pub(crate) fn draining_since(&self) -> Option<Timestamp> {
        *self.drain_started()
    }

    /// Returns the time since the drain started; `None` while the process is not draining.
    pub(crate) fn draining_for(&self, now: Timestamp) -> Option<Duration> {
        self.draining_since()
            .map(|started_at| now.saturating_sub(started_at))
    }

    fn drain_started(&self) -> MutexGuard<'_, Option<Timestamp>> {
        self.drain_started
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of tunnels that are open for other VMs.
    pub(crate) fn tunnels(&self) -> usize {
        self.tunnels.load(Ordering::SeqCst)
    }

    /// Counts a tunnel for another VM until the guard is dropped.
    pub(crate) fn enter_tunnel(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::Tunnels, 1)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::Requests, 1)
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn enter_connection(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::Connections, 1)
    }

    /// Counts the bytes of a request body, none so far, until the guard is dropped.
    pub(crate) fn enter_body(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::BodyBytes, 0)
    }

    /// Counts the bytes that a collected response takes, none so far, until the guard is dropped.
    pub(crate) fn enter_response(self: &Arc<Self>) -> Guard {
        Guard::new(self, Counter::ResponseBytes, 0)
    }

    const fn counter(&self, counter: Counter) -> &AtomicUsize {
        match counter {
            Counter::Requests => &self.requests,
            Counter::Connections => &self.connections,
            Counter::BodyBytes => &self.body_bytes,
            Counter::ResponseBytes => &self.response_bytes,
            Counter::Tunnels => &self.tunnels,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Counter {
    Requests,
    Connections,
    BodyBytes,
    ResponseBytes,
    Tunnels,
}

/// Counts something as open until it is dropped.
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

    /// Counts a larger amount, unless the sum of all guards would exceed a limit; returns whether it does.
    pub(crate) fn try_grow(&mut self, amount: usize, limit: usize) -> bool {
        let added = amount.saturating_sub(self.amount);
        let counter = self.lifecycle.counter(self.counter);
        let permitted = counter.load(Ordering::SeqCst) + added <= limit;
        if permitted {
            counter.fetch_add(added, Ordering::SeqCst);
            self.amount += added;
        }
        permitted
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.lifecycle
            .counter(self.counter)
            .fetch_sub(self.amount, Ordering::SeqCst);
    }
}
