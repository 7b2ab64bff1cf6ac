//! Requests in flight, and how the daemon stops.

use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Tells how far the daemon is with stopping.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    draining: AtomicBool,
    crashed: AtomicBool,
    active: AtomicUsize,
    cut: Mutex<Option<Sender<()>>>,
    cut_signal: Receiver<()>,
}

impl Lifecycle {
    pub(crate) fn new() -> Arc<Self> {
        let (sender, receiver) = async_channel::bounded(1);
        Arc::new(Self {
            draining: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            cut: Mutex::new(Some(sender)),
            cut_signal: receiver,
        })
    }

    /// Takes no new connections from the balancer from now on.
    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Ends everything in flight with errors.
    pub(crate) fn cut(&self) {
        self.cut
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }

    /// Breaks all connections without a word, as a death of the VM does.
    pub(crate) fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.start_drain();
        self.cut();
    }

    pub(crate) fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    pub(crate) fn is_cut(&self) -> bool {
        self.cut_signal.is_closed()
    }

    /// Ends when everything in flight is to end.
    pub(crate) async fn wait_cut(&self) {
        while self.cut_signal.recv().await.is_ok() {}
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> ActiveGuard {
        self.active.fetch_add(1, Ordering::SeqCst);
        ActiveGuard(Arc::clone(self))
    }

    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }
}

/// Counts as one request in flight.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Arc<Lifecycle>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}
