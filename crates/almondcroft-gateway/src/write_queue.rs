//! Bytes of responses that a caller has not accepted yet.

use crate::clock;
use crate::connection::Sender;
use crate::logging::millis;
use crate::runtime::{sleep, within};
use crate::state::lock;
use almondcroft_core::Timestamp;
use almondcroft_core::gateway::{ConnectionId, SlowCallers};
use async_channel::{Receiver, bounded};
use futures_lite::future::or;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time without any sign that a caller reads after which its response is given up, once its deadline has passed too.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks whether a caller that accepts nothing reads.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two checks whether the rest of a response has arrived.
const MIN_DELIVERY_POLL: Duration = Duration::from_millis(5);

/// Something that one task signals and another one waits for.
#[derive(Debug)]
struct Signal(async_channel::Sender<()>, Receiver<()>);

impl Default for Signal {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self(sender, receiver)
    }
}

impl Signal {
    fn send(&self) {
        // A signal that was not received yet serves for this one too.
        let _ = self.0.try_send(());
    }

    async fn wait(&self) {
        let _ = self.1.recv().await;
    }
}

/// What all connections of callers hold, and how those are told whose response is given up.
#[derive(Debug)]
pub(crate) struct SlowCallerRegistry {
    callers: Mutex<SlowCallers>,
    evictions: Mutex<HashMap<ConnectionId, Arc<Signal>>>,
    next_id: AtomicU64,
}

impl SlowCallerRegistry {
    /// Creates an empty registry with a budget in bytes.
    pub(crate) fn new(budget: usize) -> Self {
        Self {
            callers: Mutex::new(SlowCallers::new(budget)),
            evictions: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    fn remove(&self, id: ConnectionId) {
        lock(&self.callers).remove(id);
        lock(&self.evictions).remove(&id);
    }
}

#[derive(Debug)]
struct State {
    /// Parts, with the number of bytes of each that were sent before.
    parts: VecDeque<(Vec<u8>, usize)>,
    /// Bytes that were queued and not accepted, also those of the part that is being sent.
    queued: usize,
    error: Option<io::ErrorKind>,
    /// Until this time the caller may pause as long as it likes.
    deadline: Timestamp,
    /// Time of the last sign that the caller reads.
    progress_at: Timestamp,
    /// What the caller had not acknowledged at the last check, in bytes.
    unacknowledged: Option<usize>,
}

/// Writes the responses on one connection, and holds what its caller does not accept at once.
///
/// A caller may read slowly: a response is given up only if its caller gives no sign of reading for [`STALL_TIMEOUT`] and
/// its deadline has passed, or if the callers that read slowly take too much memory.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    sender: Sender,
    id: ConnectionId,
    registry: Arc<SlowCallerRegistry>,
    state: Mutex<State>,
    pushed: Signal,
    accepted: Signal,
    evicted: Arc<Signal>,
}

impl WriteQueue {
    pub(crate) fn new(sender: Sender, registry: &Arc<SlowCallerRegistry>) -> Self {
        let now = clock::now();
        Self {
            sender,
            id: registry.next_id.fetch_add(1, Ordering::Relaxed),
            registry: Arc::clone(registry),
            state: Mutex::new(State {
                parts: VecDeque::new(),
                queued: 0,
                error: None,
                deadline: now,
                progress_at: now,
                unacknowledged: None,
            }),
            pushed: Signal::default(),
            accepted: Signal::default(),
            evicted: Arc::default(),
        }
    }

    /// Creates a queue for responses that the process holds as a whole anyway, so that they are not counted.
    pub(crate) fn uncounted(sender: Sender) -> Self {
        Self::new(sender, &Arc::new(SlowCallerRegistry::new(usize::MAX)))
    }

    pub(crate) const fn sender(&self) -> &Sender {
        &self.sender
    }

    /// Sets the time until which the caller may pause as long as it likes.
    pub(crate) fn set_deadline(&self, deadline: Timestamp) {
        lock(&self.state).deadline = deadline;
    }

    /// Runs a future that writes responses, and sends what it queues; `None` if the connection fails first.
    pub(crate) async fn drive<T>(&self, writes: impl Future<Output = T>) -> Option<T> {
        let writes = async { Some(writes.await) };
        let failed = async {
            self.send_queued().await;
            None
        };
        or(writes, failed).await
    }

    /// Sends bytes, or queues them if the caller does not accept them at once; waits as long as there is no room.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection failed, or [`io::ErrorKind::TimedOut`] if the response was given up.
    pub(crate) async fn push(&self, part: Vec<u8>) -> io::Result<()> {
        let sent = if self.check()? {
            self.send_now(&part)?
        } else {
            0
        };
        if sent == part.len() {
            return Ok(());
        }
        while !self.try_reserve(part.len() - sent) {
            if self.check()? {
                return self.push_unreserved(part, sent).await;
            }
            self.accepted.wait().await;
        }
        self.enqueue(part, sent);
        Ok(())
    }

    /// Queues a part for which others have left no room, and waits until it is accepted.
    async fn push_unreserved(&self, part: Vec<u8>, sent: usize) -> io::Result<()> {
        self.enqueue(part, sent);
        let flushed = self.flush().await;
        lock(&self.registry.callers).record_unblocked(self.id);
        flushed
    }

    /// Counts bytes that are read ahead; if there is no room for them, the source of the response has to wait.
    fn try_reserve(&self, bytes: usize) -> bool {
        let now = clock::now();
        let mut evictions = lock(&self.registry.evictions);
        evictions
            .entry(self.id)
            .or_insert_with(|| Arc::clone(&self.evicted));
        let mut callers = lock(&self.registry.callers);
        if callers.try_read_ahead(self.id, bytes, now) {
            callers.record_unblocked(self.id);
            return true;
        }
        for id in callers.record_blocked(self.id, now) {
            if let Some(evicted) = evictions.get(&id) {
                evicted.send();
            }
        }
        false
    }

    /// Waits until the operating system has accepted everything.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`WriteQueue::push`].
    pub(crate) async fn flush(&self) -> io::Result<()> {
        while !self.check()? {
            self.accepted.wait().await;
        }
        Ok(())
    }

    /// Hands everything to the operating system, which sends it also after the end of the process.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`WriteQueue::push`].
    pub(crate) async fn hand_over(&self) -> io::Result<()> {
        let queued = lock(&self.state).queued;
        if queued > 0 {
            let unacknowledged = self.sender.unacknowledged_bytes().unwrap_or_default();
            self.sender.set_send_buffer(queued + unacknowledged);
        }
        self.flush().await
    }

    /// Ends the sending direction and waits until everything has arrived at the caller, or the caller does not read.
    pub(crate) async fn close(&self) {
        if !self.sender.finish_sending() {
            return;
        }
        lock(&self.state).progress_at = clock::now();
        let mut interval = MIN_DELIVERY_POLL;
        while self.sender.sends_rest() {
            if self.is_given_up() {
                self.sender.reset_on_close();
                return;
            }
            sleep(interval).await;
            interval = (interval * 2).min(CHECK_INTERVAL);
        }
    }

    /// Sends what is queued; returns once the connection has failed or its response is given up.
    async fn send_queued(&self) {
        loop {
            let first = lock(&self.state).parts.pop_front();
            let Some((part, sent)) = first else {
                self.pushed.wait().await;
                continue;
            };
            let mut rest = &part[sent..];
            while !rest.is_empty() {
                match within(CHECK_INTERVAL, self.send_unless_evicted(rest)).await {
                    Some(Ok(0)) | None => {
                        if self.is_given_up() {
                            return self.fail(io::ErrorKind::TimedOut);
                        }
                    }
                    Some(Ok(count)) => {
                        rest = &rest[count..];
                        self.record_accepted(count);
                    }
                    Some(Err(error)) => return self.fail(error.kind()),
                }
            }
        }
    }

    /// Sends at least one byte; returns zero if the response may have been given up first.
    async fn send_unless_evicted(&self, bytes: &[u8]) -> io::Result<usize> {
        let evicted = async {
            self.evicted.wait().await;
            Ok(0)
        };
        or(self.sender.send_some(bytes), evicted).await
    }

    /// Returns whether nothing is queued, or the error with which the connection failed.
    fn check(&self) -> io::Result<bool> {
        let state = lock(&self.state);
        match state.error {
            Some(error) => Err(error.into()),
            None => Ok(state.queued == 0),
        }
    }

    fn send_now(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.sender.try_send(&bytes[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(sent)
    }

    fn enqueue(&self, part: Vec<u8>, sent: usize) {
        let mut state = lock(&self.state);
        if state.queued == 0 {
            state.progress_at = clock::now();
        }
        state.queued += part.len() - sent;
        state.parts.push_back((part, sent));
        drop(state);
        self.pushed.send();
    }

    fn record_accepted(&self, count: usize) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.progress_at = now;
        state.queued -= count;
        drop(state);
        lock(&self.registry.callers).record_progress(self.id, count, now);
        self.accepted.send();
    }

    fn fail(&self, error: io::ErrorKind) {
        lock(&self.state).error = Some(error);
        self.accepted.send();
    }

    /// Returns whether the response is given up: its caller does not read, or the memory is needed for others.
    fn is_given_up(&self) -> bool {
        let now = clock::now();
        let unacknowledged = self.sender.unacknowledged_bytes();
        let mut state = lock(&self.state);
        let before = std::mem::replace(&mut state.unacknowledged, unacknowledged);
        if before
            .zip(unacknowledged)
            .is_some_and(|(before, now)| now < before)
        {
            // A caller that reads little at a time leaves room in the buffer only now and then.
            state.progress_at = now;
            lock(&self.registry.callers).record_progress(self.id, 0, now);
        }
        let stalled_for = now.saturating_sub(state.progress_at);
        let is_stalled = stalled_for >= STALL_TIMEOUT && now >= state.deadline;
        let is_evicted = lock(&self.registry.callers).is_evicted(self.id);
        if is_stalled || is_evicted {
            log::info!(event = "caller-given-up",
                reason = if is_evicted { "memory" } else { "stalled" },
                stalled_ms = millis(stalled_for),
                queued_bytes = state.queued,
                unacknowledged_bytes = unacknowledged.unwrap_or_default(); "");
        }
        is_stalled || is_evicted
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.registry.remove(self.id);
    }
}

#[cfg(test)]
mod tests;
