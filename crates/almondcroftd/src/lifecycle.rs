//! Requests in flight and the stages of a stop.

use almondcroft_core::Timestamp;
use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Tracks the requests in flight and whether the daemon drains, aborts its requests or has crashed.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    draining: AtomicBool,
    /// Time at which the requests in flight are aborted; `None` if no stop is planned.
    stop_at: Mutex<Option<Timestamp>>,
    /// Whether no more requests are admitted.
    closed: AtomicBool,
    crashed: AtomicBool,
    in_flight: AtomicUsize,
    abort_sender: Mutex<Option<Sender<()>>>,
    abort_signal: Receiver<()>,
}

impl Lifecycle {
    pub(crate) fn new() -> Arc<Self> {
        let (sender, receiver) = async_channel::bounded(1);
        Arc::new(Self {
            draining: AtomicBool::new(false),
            stop_at: Mutex::new(None),
            closed: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            abort_sender: Mutex::new(Some(sender)),
            abort_signal: receiver,
        })
    }

    /// Marks the daemon as draining, so that the load balancer sends no new requests.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Marks the daemon as draining until the requests in flight are aborted at a time.
    pub(crate) fn start_drain_until(&self, stop_at: Timestamp) {
        *self.stop_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(stop_at);
        self.start_drain();
    }

    /// Admits no more requests.
    ///
    /// A request counts as in flight before it is admitted, so one that was admitted before is noticed.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether a request may be admitted, given the time by which it must be complete.
    pub(crate) fn admits_until(&self, deadline: Timestamp) -> bool {
        let stop_at = *self.stop_at.lock().unwrap_or_else(PoisonError::into_inner);
        !self.closed.load(Ordering::SeqCst) && stop_at.is_none_or(|stop_at| deadline <= stop_at)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Aborts all requests in flight with errors.
    pub(crate) fn abort_requests(&self) {
        self.abort_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }

    /// Closes all connections without a response and ends the background tasks, as a crash of the VM
    /// does. It is also the last step of a graceful shutdown.
    pub(crate) fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.start_drain();
        self.abort_requests();
    }

    pub(crate) fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    pub(crate) fn is_aborted(&self) -> bool {
        self.abort_signal.is_closed()
    }

    /// Waits until the requests in flight are aborted.
    pub(crate) async fn wait_aborted(&self) {
        while self.abort_signal.recv().await.is_ok() {}
    }

    /// Runs a future until it ends; `None` if the requests in flight are aborted first.
    pub(crate) async fn until_aborted<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let aborted = async {
            self.wait_aborted().await;
            None
        };
        futures_lite::future::or(async { Some(future.await) }, aborted).await
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// Counts as one request in flight.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Lifecycle>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
