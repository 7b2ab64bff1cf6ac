//! The memory that responses hold until slow callers read them.

use crate::Timestamp;
use std::collections::BTreeMap;

/// Identifies a caller's connection within one process.
pub type ConnectionId = u64;

/// Bytes that a response whose target waits for the caller may hold in buffers of the operating system, with their overhead:
/// in the receive buffer of the target's connection, and in the send buffer of the caller's.
const BLOCKED_BYTES: usize = (128 + 32) * 1024;

/// Fraction of the budget that the bytes read ahead may take; the rest is for blocked responses.
const READ_AHEAD_DIVISOR: usize = 2;

#[derive(Debug)]
struct Held {
    /// Bytes that were read from targets and that the operating system has not accepted.
    read_ahead: usize,
    is_blocked: bool,
    /// Time of the last sign that the caller reads.
    progress_at: Timestamp,
    is_evicted: bool,
}

impl Held {
    const fn bytes(&self) -> usize {
        self.read_ahead + if self.is_blocked { BLOCKED_BYTES } else { 0 }
    }
}

/// Decides how much is read ahead for callers that read slowly, and whose response is given up if memory runs out.
///
/// A target may cut off a response that stays unread, so responses are read ahead while a caller pauses. Each connection may
/// take as much as all of them leave free, so that one large response does not use up the budget. A response without room
/// is blocked: its target waits for the caller. If the blocked ones exceed the budget too, the response whose caller has
/// not read for the longest time is given up, as the process would otherwise end with all of them.
#[derive(Debug)]
pub struct SlowCallers {
    budget: usize,
    held: BTreeMap<ConnectionId, Held>,
    read_ahead: usize,
    blocked: usize,
}

impl SlowCallers {
    /// Creates an empty record with a budget in bytes.
    #[must_use]
    pub const fn new(budget: usize) -> Self {
        Self {
            budget,
            held: BTreeMap::new(),
            read_ahead: 0,
            blocked: 0,
        }
    }

    /// Counts bytes that are read ahead for a caller; returns whether there is room for them.
    pub fn try_read_ahead(&mut self, id: ConnectionId, bytes: usize, now: Timestamp) -> bool {
        let own = self.held.get(&id).map_or(0, |held| held.read_ahead);
        let free = (self.budget / READ_AHEAD_DIVISOR).saturating_sub(self.read_ahead);
        if own + bytes > free {
            return false;
        }
        self.entry(id, now).read_ahead += bytes;
        self.read_ahead += bytes;
        true
    }

    /// Records that a response waits for its caller; returns those that are given up, as they exceed the budget.
    pub fn record_blocked(&mut self, id: ConnectionId, now: Timestamp) -> Vec<ConnectionId> {
        let held = self.entry(id, now);
        if !held.is_blocked {
            held.is_blocked = true;
            self.blocked += 1;
        }
        self.evict()
    }

    /// Records that a response does not wait for its caller any more.
    pub fn record_unblocked(&mut self, id: ConnectionId) {
        if let Some(held) = self.held.get_mut(&id)
            && held.is_blocked
        {
            held.is_blocked = false;
            self.blocked -= 1;
        }
    }

    /// Records a sign that the caller reads, and the bytes that the operating system accepted.
    pub fn record_progress(&mut self, id: ConnectionId, accepted: usize, now: Timestamp) {
        if let Some(held) = self.held.get_mut(&id) {
            let accepted = accepted.min(held.read_ahead);
            held.read_ahead -= accepted;
            held.progress_at = now;
            self.read_ahead -= accepted;
        }
    }

    /// Returns whether the response of a caller is given up.
    #[must_use]
    pub fn is_evicted(&self, id: ConnectionId) -> bool {
        self.held.get(&id).is_some_and(|held| held.is_evicted)
    }

    /// Forgets a connection.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(held) = self.held.remove(&id) {
            self.read_ahead -= held.read_ahead;
            self.blocked -= usize::from(held.is_blocked);
        }
    }

    /// Returns the bytes that count against the budget.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.read_ahead + self.blocked * BLOCKED_BYTES
    }

    fn entry(&mut self, id: ConnectionId, now: Timestamp) -> &mut Held {
        let held = self.held.entry(id).or_insert(Held {
            read_ahead: 0,
            is_blocked: false,
            progress_at: now,
            is_evicted: false,
        });
        if held.bytes() == 0 {
            // The caller has accepted the response before.
            held.progress_at = now;
        }
        held
    }

    fn evict(&mut self) -> Vec<ConnectionId> {
        let before = self.held.values().filter(|held| held.is_evicted);
        let mut freed: usize = before.map(Held::bytes).sum();
        let mut evicted = Vec::new();
        while self.bytes() - freed > self.budget {
            let kept = self.held.iter_mut();
            let kept = kept.filter(|(_, held)| !held.is_evicted && held.bytes() > 0);
            let Some((id, victim)) = kept.min_by_key(|(_, held)| held.progress_at) else {
                break;
            };
            victim.is_evicted = true;
            freed += victim.bytes();
            evicted.push(*id);
        }
        evicted
    }
}

#[cfg(test)]
mod tests;
