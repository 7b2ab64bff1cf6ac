//! One shard of the ledger, as a state machine that a driver connects to a store.

mod action;
mod event;
mod options;

use super::{Claim, ClaimAnswer, ClaimTable, Entry, Expected, Segment};
use crate::Timestamp;
use std::collections::{BTreeMap, VecDeque};

pub use action::ShardAction;
pub use event::{ShardEvent, Ticket, WriteId};
pub use options::ShardOptions;

/// Doublings of the delay between reads while the store fails.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

#[derive(Debug, Clone)]
struct Tail {
    index: u64,
    expected: Expected,
    segment: Segment,
    bytes: usize,
}

#[derive(Debug, Clone)]
struct WriteCall {
    id: WriteId,
    notes: usize,
    next: Tail,
}

#[derive(Debug, Clone)]
enum Flight {
    Idle,
    Loading(WriteId),
    Writing(Box<WriteCall>),
}

#[derive(Debug, Clone)]
struct Pending {
    ticket: Ticket,
    claim: Claim,
    /// Whether a write that holds the claim was started.
    sent: bool,
}

/// Decides claims of one shard and says what to read and write.
///
/// Claims wait in the shard until the log itself settles them. A failed or unanswered write changes
/// nothing: the log is read again and the claims that it does not hold are appended anew. At most
/// one store call is under way per shard.
///
/// # Example
///
/// ```
/// use almondcroft_core::ledger::{ClaimShard, ShardAction, ShardEvent, ShardOptions};
/// use std::time::Duration;
///
/// let mut shard = ClaimShard::new(ShardOptions::default());
/// let now = Duration::from_secs(1);
/// assert!(shard.handle(ShardEvent::Tick, now).is_empty());
/// ```
#[derive(Debug)]
pub struct ClaimShard {
    options: ShardOptions,
    table: ClaimTable,
    tail: Option<Tail>,
    sealed: BTreeMap<u64, Timestamp>,
    pending: VecDeque<Pending>,
    notes: VecDeque<Entry>,
    flight: Flight,
    in_sync: bool,
    /// Whether an append has succeeded since the log was read; a read alone can be outdated.
    proven: bool,
    synced_at: Timestamp,
    next_write: Timestamp,
    next_load: Timestamp,
    failures: u32,
    last_id: WriteId,
}

impl ClaimShard {
    /// Creates a shard that knows nothing of its log yet.
    #[must_use]
    pub fn new(options: ShardOptions) -> Self {
        Self {
            options,
            table: ClaimTable::default(),
            tail: None,
            sealed: BTreeMap::new(),
            pending: VecDeque::new(),
            notes: VecDeque::new(),
            flight: Flight::Idle,
            in_sync: false,
            proven: false,
            synced_at: Timestamp::ZERO,
            next_write: Timestamp::ZERO,
            next_load: Timestamp::ZERO,
            failures: 0,
            last_id: 0,
        }
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of claims that wait for the log.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Returns when [`ShardEvent::Tick`] is due, if anything waits for time to pass.
    #[must_use]
    pub fn next_wake(&self) -> Option<Timestamp> {
        let busy = !matches!(self.flight, Flight::Idle);
        if busy || (self.pending.is_empty() && self.notes.is_empty()) {
            return None;
        }
        Some(if self.in_sync {
            self.next_write
        } else {
            self.next_load
        })
    }

    /// Takes in an event and returns what to do now.
    pub fn handle(&mut self, event: ShardEvent, now: Timestamp) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.take_in(event, now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn take_in(&mut self, event: ShardEvent, now: Timestamp, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Claim { ticket, claim } => {
                self.pending.push_back(Pending {
                    ticket,
                    claim,
                    sent: false,
                });
            }
            ShardEvent::Note(entry) => self.take_note(entry),
            ShardEvent::GiveUp { ticket } => self.give_up(ticket, actions),
            ShardEvent::Loaded { id, segments } => {
                if matches!(self.flight, Flight::Loading(current) if current == id) {
                    self.flight = Flight::Idle;
                    self.merge(segments, now);
                }
            }
            ShardEvent::LoadFailed { id } => {
                if matches!(self.flight, Flight::Loading(current) if current == id) {
                    self.flight = Flight::Idle;
                    self.back_off(now);
                }
            }
            ShardEvent::Written { id, version } => self.take_written(id, version, now),
            ShardEvent::WriteFailed { id } => {
                if matches!(&self.flight, Flight::Writing(call) if call.id == id) {
                    self.flight = Flight::Idle;
                    self.in_sync = false;
                }
            }
            ShardEvent::Tick => {}
        }
    }

    /// Answers a claim whose time is up; one that may be in the log already is released.
    fn give_up(&mut self, ticket: Ticket, actions: &mut Vec<ShardAction>) {
        let found = self
            .pending
            .iter()
            .position(|pending| pending.ticket == ticket);
        let Some(pending) = found.and_then(|index| self.pending.remove(index)) else {
            return;
        };
        let loaded = self.proven && self.tail.is_some();
        let known = self.table.judge(&pending.claim);
        let answer = known.unwrap_or(ClaimAnswer::Unavailable { loaded });
        let unused = matches!(answer, ClaimAnswer::Unavailable { .. });
        actions.push(ShardAction::Answer { ticket, answer });
        if unused && pending.sent {
            self.take_note(Entry::Release {
                key: pending.claim.key,
                nonce: pending.claim.nonce,
            });
        }
    }

    fn back_off(&mut self, now: Timestamp) {
        let factor = 1 << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.next_load = now + self.options.retry_delay * factor;
        self.failures += 1;
    }

    fn take_note(&mut self, entry: Entry) {
        if matches!(entry, Entry::Outcome { .. }) {
            // An outcome is true whether or not the store holds it yet.
            self.table.apply(&entry);
        }
        if let Entry::Release { key, nonce } = &entry {
            // A claim that was given up must not be appended after its release.
            self.pending
                .retain(|pending| pending.claim.key != *key || pending.claim.nonce != *nonce);
        }
        if self.notes.len() < self.options.max_notes {
            self.notes.push_back(entry);
        }
    }

    fn take_written(&mut self, id: WriteId, version: u64, now: Timestamp) {
        let flight = std::mem::replace(&mut self.flight, Flight::Idle);
        let Flight::Writing(call) = flight else {
            self.flight = flight;
            return;
        };
        if call.id != id {
            self.flight = Flight::Writing(call);
            return;
        }
        if self.is_outdated(now) {
            self.tail = None;
            self.in_sync = false;
            return;
        }
        let known = self
            .tail
            .as_ref()
            .map_or(0, |tail| tail.segment.entries.len());
        for entry in &call.next.segment.entries[known..] {
            self.table.apply(entry);
        }
        self.notes.drain(..call.notes);
        let mut tail = call.next;
        tail.expected = Expected::Version(version);
        self.set_tail(tail);
        self.synced_at = now;
        self.proven = true;
    }

    /// Returns whether this VM was paused for a large part of the retention.
    ///
    /// Others may have deleted the segments that it knows, so it reads the whole log again before
    /// it trusts an append.
    fn is_outdated(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.synced_at) > self.options.retention / 4
    }

    fn set_tail(&mut self, tail: Tail) {
        if tail.segment.sealed {
            self.sealed.insert(tail.index, tail.segment.last);
            self.tail = Some(Tail {
                index: tail.index + 1,
                expected: Expected::Absent,
                segment: Segment::default(),
                bytes: 0,
            });
        } else {
            self.tail = Some(tail);
        }
    }

    /// Brings the table up to what was read, unless the read is older than what is known.
    fn merge(&mut self, segments: Vec<(u64, u64, Segment)>, now: Timestamp) {
        self.failures = 0;
        self.next_load = now + self.options.retry_delay;
        if self.is_stale(&segments) {
            return;
        }
        if self.tail.is_none() {
            self.proven = false;
            self.table = ClaimTable::default();
            self.sealed.clear();
            self.set_tail(Tail {
                index: segments.first().map_or(0, |(index, _, _)| *index),
                expected: Expected::Absent,
                segment: Segment::default(),
                bytes: 0,
            });
        }
        for (index, version, segment) in segments {
            if !self.merge_segment(index, version, segment) {
                // The log does not go on from what is known: read all of it.
                self.tail = None;
                return;
            }
        }
        self.in_sync = true;
        self.synced_at = now;
    }

    /// Returns whether a read shows less than what this VM has already seen.
    fn is_stale(&self, segments: &[(u64, u64, Segment)]) -> bool {
        let Some(Tail {
            index,
            expected: Expected::Version(known),
            ..
        }) = &self.tail
        else {
            return false;
        };
        let read = segments.iter().find(|(read, _, _)| read == index);
        read.is_none_or(|(_, version, _)| version < known)
    }

    fn merge_segment(&mut self, index: u64, version: u64, segment: Segment) -> bool {
        let Some(tail) = &self.tail else {
            return false;
        };
        if index < tail.index {
            return true;
        }
        let known = tail.segment.entries.len();
        if index > tail.index || segment.entries.len() < known {
            return false;
        }
        for entry in &segment.entries[known..] {
            self.table.apply(entry);
        }
        let bytes = segment.entries.iter().map(Entry::size).sum();
        self.set_tail(Tail {
            index,
            expected: Expected::Version(version),
            segment,
            bytes,
        });
        true
    }

    fn advance(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        self.answer_settled(actions);
        if self.in_sync {
            self.forget_old(now, actions);
        }
        if !matches!(self.flight, Flight::Idle) {
            return;
        }
        if self.pending.is_empty() && self.notes.is_empty() {
            return;
        }
        if !self.in_sync {
            self.start_load(now, actions);
        } else if now >= self.next_write {
            self.start_write(now, actions);
        }
    }

    fn answer_settled(&mut self, actions: &mut Vec<ShardAction>) {
        let (table, in_sync) = (&self.table, self.in_sync);
        let mut refresh = false;
        self.pending.retain(|pending| {
            let Some(answer) = table.judge(&pending.claim) else {
                return true;
            };
            // Of all answers only this one can be outdated.
            let running = matches!(answer, ClaimAnswer::Running { .. });
            if running && !in_sync {
                return true;
            }
            refresh |= running;
            actions.push(ShardAction::Answer {
                ticket: pending.ticket,
                answer,
            });
            false
        });
        // Another VM may have appended the outcome; the next claim or note reads the log first.
        if refresh && matches!(self.flight, Flight::Idle) {
            self.in_sync = false;
        }
    }

    fn forget_old(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        let Some(horizon) = now.checked_sub(self.options.retention) else {
            return;
        };
        let Some((&index, &last)) = self.sealed.first_key_value() else {
            return;
        };
        if last >= horizon {
            return;
        }
        self.sealed.remove(&index);
        self.table.forget_before(horizon);
        actions.push(ShardAction::Delete { index });
    }

    fn start_load(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        if now < self.next_load {
            return;
        }
        if self.is_outdated(now) {
            self.tail = None;
        }
        let id = self.next_id();
        self.flight = Flight::Loading(id);
        let from = self.tail.as_ref().map(|tail| tail.index);
        actions.push(ShardAction::Load { id, from });
    }

    fn start_write(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        let Some(tail) = &self.tail else {
            return;
        };
        let (next, notes) = self.extend(tail, now);
        self.pending
            .iter_mut()
            .for_each(|pending| pending.sent = true);
        let id = self.next_id();
        actions.push(ShardAction::Write {
            id,
            index: next.index,
            expected: next.expected,
            segment: next.segment.clone(),
        });
        self.flight = Flight::Writing(Box::new(WriteCall { id, notes, next }));
        self.next_write = now + self.options.interval;
    }

    /// Returns the tail with waiting notes and claims appended, and how many of them are notes.
    fn extend(&self, tail: &Tail, now: Timestamp) -> (Tail, usize) {
        let mut next = tail.clone();
        let notes = self.notes.len().min(self.options.max_batch);
        let room = self.options.max_batch - notes;
        let mut claimed = std::collections::HashSet::new();
        let claims = self
            .pending
            .iter()
            .filter(|pending| claimed.insert(pending.claim.key))
            .take(room)
            .map(|pending| Entry::Claim(pending.claim.clone()));
        let fresh = self.notes.iter().take(notes).cloned().chain(claims);
        for entry in fresh {
            next.bytes += entry.size();
            next.segment.entries.push(entry);
        }
        next.segment.last = now;
        next.segment.sealed = next.bytes >= self.options.segment_bytes;
        (next, notes)
    }

    const fn next_id(&mut self) -> WriteId {
        self.last_id += 1;
        self.last_id
    }
}
