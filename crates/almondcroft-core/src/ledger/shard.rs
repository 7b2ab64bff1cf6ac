//! One shard of the ledger, as a state machine that a driver connects to a store.

mod action;
mod event;
mod options;

use super::{Claim, ClaimAnswer, ClaimTable, Entry, Expected, Segment};
use crate::{Era, Timestamp};
use std::collections::{BTreeMap, VecDeque};

pub use action::ShardAction;
pub use event::{CallId, ShardEvent, Ticket};
pub use options::ShardOptions;

/// Highest era of a store that was never restored.
const FIRST_ERA: Era = 1;

/// Maximum number of doublings of the delay between reads while the store fails.
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
    id: CallId,
    queued_count: usize,
    next: Tail,
}

#[derive(Debug, Clone)]
enum CallState {
    Idle,
    Loading(CallId),
    Writing(Box<WriteCall>),
}

#[derive(Debug, Clone)]
struct Pending {
    ticket: Ticket,
    claim: Claim,
    /// Whether a write that may contain the claim has been started.
    sent: bool,
}

/// Decides claims on the keys of one shard and requests the necessary reads and writes of its log.
///
/// A claim stays pending until the log decides it. A write that failed or got no response changes
/// no state: the log is read again and the claims missing from it are appended again. At most one
/// store call is in progress per shard.
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
    /// What was known before the log has to be read again after a restoration of the store.
    remembered: Option<ClaimTable>,
    /// Era of the store in which the log was last read or written.
    era: Option<Era>,
    /// Claims on keys issued before this time may have been lost with a restoration of the store.
    unproven_before: Timestamp,
    /// Segment, by index and version, whose older era was taken into account.
    outdated_segment: Option<(u64, u64)>,
    tail: Option<Tail>,
    sealed: BTreeMap<u64, Timestamp>,
    pending: VecDeque<Pending>,
    queued: VecDeque<Entry>,
    call_state: CallState,
    in_sync: bool,
    /// Whether an append has succeeded since the whole log was read; a read alone can be stale.
    append_confirmed: bool,
    synced_at: Timestamp,
    next_write: Timestamp,
    next_load: Timestamp,
    failures: u32,
    last_id: CallId,
}

impl ClaimShard {
    /// Creates a shard that has not read its log yet.
    #[must_use]
    pub fn new(options: ShardOptions) -> Self {
        Self {
            options,
            table: ClaimTable::default(),
            remembered: None,
            era: None,
            unproven_before: Timestamp::ZERO,
            outdated_segment: None,
            tail: None,
            sealed: BTreeMap::new(),
            pending: VecDeque::new(),
            queued: VecDeque::new(),
            call_state: CallState::Idle,
            in_sync: false,
            append_confirmed: false,
            synced_at: Timestamp::ZERO,
            next_write: Timestamp::ZERO,
            next_load: Timestamp::ZERO,
            failures: 0,
            last_id: 0,
        }
    }

    /// Returns the number of known keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of claims that the log has not decided yet.
    #[must_use]
    pub fn pending_claims(&self) -> usize {
        self.pending.len()
    }

    /// Returns when the next [`ShardEvent::Tick`] is due, or `None` if no timer is needed.
    #[must_use]
    pub fn next_wake(&self) -> Option<Timestamp> {
        let busy = !matches!(self.call_state, CallState::Idle);
        if busy || (self.pending.is_empty() && self.queued.is_empty()) {
            return None;
        }
        Some(if self.in_sync {
            self.next_write
        } else {
            self.next_load
        })
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: ShardEvent, now: Timestamp) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.apply_event(event, now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn apply_event(&mut self, event: ShardEvent, now: Timestamp, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Claim { ticket, claim } => {
                self.pending.push_back(Pending {
                    ticket,
                    claim,
                    sent: false,
                });
            }
            ShardEvent::Append(entry) => self.queue_entry(entry),
            ShardEvent::Timeout { ticket } => self.time_out_claim(ticket, now, actions),
            ShardEvent::Loaded { id, era, segments } => {
                if matches!(self.call_state, CallState::Loading(current) if current == id) {
                    self.call_state = CallState::Idle;
                    let is_partial = self.tail.is_some();
                    let restored = self.observe_era(era, now);
                    if !(restored && is_partial) && self.era == Some(era) {
                        self.merge(segments, now);
                    }
                }
            }
            ShardEvent::LoadFailed { id } => {
                if matches!(self.call_state, CallState::Loading(current) if current == id) {
                    self.call_state = CallState::Idle;
                    self.back_off(now);
                }
            }
            ShardEvent::Written { id, era, version } => self.apply_write(id, era, version, now),
            ShardEvent::WriteFailed { id } => {
                if matches!(&self.call_state, CallState::Writing(call) if call.id == id) {
                    self.call_state = CallState::Idle;
                    self.in_sync = false;
                }
            }
            ShardEvent::Tick => {}
        }
    }

    /// Answers a claim whose time limit has passed; releases it if it may be in the log already.
    fn time_out_claim(&mut self, ticket: Ticket, now: Timestamp, actions: &mut Vec<ShardAction>) {
        let found = self
            .pending
            .iter()
            .position(|pending| pending.ticket == ticket);
        let Some(pending) = found.and_then(|index| self.pending.remove(index)) else {
            return;
        };
        let proven = !self.is_unproven(&pending.claim, now);
        let loaded = proven && self.append_confirmed && self.tail.is_some();
        let known = self.table.answer_claim(&pending.claim);
        let answer = known.unwrap_or(ClaimAnswer::Unavailable { loaded });
        let unavailable = matches!(answer, ClaimAnswer::Unavailable { .. });
        actions.push(ShardAction::Answer { ticket, answer });
        if unavailable && pending.sent {
            self.queue_entry(Entry::Release {
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

    fn queue_entry(&mut self, entry: Entry) {
        if matches!(entry, Entry::Outcome { .. }) {
            // An outcome is final whether or not it has been stored.
            self.table.apply(&entry);
        }
        if let Entry::Release { key, nonce } = &entry {
            // A released claim must not be appended after its release.
            self.pending
                .retain(|pending| pending.claim.key != *key || pending.claim.nonce != *nonce);
        }
        if self.queued.len() < self.options.max_queued {
            self.queued.push_back(entry);
        }
    }

    fn apply_write(&mut self, id: CallId, era: Era, version: u64, now: Timestamp) {
        let call_state = std::mem::replace(&mut self.call_state, CallState::Idle);
        let CallState::Writing(call) = call_state else {
            self.call_state = call_state;
            return;
        };
        if call.id != id {
            self.call_state = CallState::Writing(call);
            return;
        }
        // A write that took effect in a later era than its base proves nothing: the version that it
        // replaced may have been another one of the same number.
        if self.observe_era(era, now) || self.era != Some(era) || self.is_outdated(now) {
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
        self.queued.drain(..call.queued_count);
        let mut tail = call.next;
        tail.expected = Expected::Version(version);
        self.set_tail(tail);
        self.synced_at = now;
        self.append_confirmed = true;
    }

    /// Returns whether more than a quarter of the retention has passed since the last sync.
    ///
    /// This happens after the VM was paused. Other VMs may have deleted segments in the meantime, so
    /// the whole log is read again before an append is trusted.
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

    /// Records the era of the store; returns whether the store was restored since the log was read.
    fn observe_era(&mut self, era: Era, now: Timestamp) -> bool {
        let restored = self.era.is_some_and(|known| known < era);
        self.era = self.era.max(Some(era));
        if restored {
            self.forget_log(now);
        }
        restored
    }

    /// Prepares for reading the whole log again, which may have lost entries.
    fn forget_log(&mut self, now: Timestamp) {
        self.mark_unproven(now);
        let known = std::mem::take(&mut self.table);
        self.remembered.get_or_insert(known);
        self.tail = None;
        self.in_sync = false;
    }

    fn mark_unproven(&mut self, now: Timestamp) {
        self.unproven_before = self.unproven_before.max(now + self.options.clock_margin);
    }

    /// Returns whether an earlier claim on the same key may have been lost.
    fn is_unproven(&self, claim: &Claim, now: Timestamp) -> bool {
        match claim.issued_at {
            Some(issued_at) => issued_at < self.unproven_before,
            None => {
                !self.unproven_before.is_zero()
                    && now < self.unproven_before + self.options.retention
            }
        }
    }

    /// Takes into account that a segment was last written before the store was restored, or in a log
    /// that had lost claims.
    fn check_segment(&mut self, (index, version, segment): &(u64, u64, Segment), now: Timestamp) {
        self.unproven_before = self.unproven_before.max(segment.unproven_before);
        let seen = self.outdated_segment == Some((*index, *version));
        if !seen && Some(segment.era) < self.era {
            self.outdated_segment = Some((*index, *version));
            self.mark_unproven(now);
        }
    }

    /// Appends again what is remembered and missing in the log that was read.
    fn restore_lost_entries(&mut self) {
        let Some(remembered) = self.remembered.take() else {
            return;
        };
        for entry in remembered.entries_missing_in(&self.table) {
            self.table.apply(&entry);
            if self.queued.len() < self.options.max_queued {
                self.queued.push_back(entry);
            }
        }
    }

    /// Applies the segments of a load, unless they are older than the known tail.
    fn merge(&mut self, segments: Vec<(u64, u64, Segment)>, now: Timestamp) {
        self.failures = 0;
        self.next_load = now + self.options.retry_delay;
        if self.is_stale(&segments) {
            return;
        }
        let is_full = self.tail.is_none();
        if is_full {
            self.append_confirmed = false;
            self.table = ClaimTable::default();
            match segments.last() {
                Some(last) => self.check_segment(last, now),
                // Whether an empty log of a restored store was always empty is not known.
                None if self.era > Some(FIRST_ERA) => self.mark_unproven(now),
                None => {}
            }
            self.sealed.clear();
            self.set_tail(Tail {
                index: segments.first().map_or(0, |(index, _, _)| *index),
                expected: Expected::Absent,
                segment: Segment::default(),
                bytes: 0,
            });
        }
        for (index, version, segment) in segments {
            let found = (index, version, segment);
            if !is_full {
                self.check_segment(&found, now);
            }
            let (index, version, segment) = found;
            if self.is_overwritten(index, &segment) {
                self.forget_log(now);
                return;
            }
            if !self.merge_segment(index, version, segment) {
                // The segments don't continue the known log, so the whole log is read again.
                self.tail = None;
                return;
            }
        }
        self.restore_lost_entries();
        self.in_sync = true;
        self.synced_at = now;
    }

    /// Returns whether a read is older than the known tail.
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

    /// Returns whether a segment lacks known entries: a VM that did not know of the restoration of the
    /// store wrote it from what it had read before.
    fn is_overwritten(&self, index: u64, segment: &Segment) -> bool {
        let known = self.tail.as_ref().filter(|tail| tail.index == index);
        known.is_some_and(|tail| !segment.entries.starts_with(&tail.segment.entries))
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
        self.answer_settled(now, actions);
        if self.in_sync {
            self.delete_expired(now, actions);
        }
        if !matches!(self.call_state, CallState::Idle) {
            return;
        }
        if self.pending.is_empty() && self.queued.is_empty() {
            return;
        }
        if !self.in_sync {
            self.start_load(now, actions);
        } else if now >= self.next_write {
            self.start_write(now, actions);
        }
    }

    fn answer_settled(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        let mut pending = std::mem::take(&mut self.pending);
        let (table, in_sync) = (&self.table, self.in_sync);
        let mut refresh = false;
        pending.retain(|pending| {
            let unproven = self.is_unproven(&pending.claim, now);
            let answer = match table.answer_claim(&pending.claim) {
                None | Some(ClaimAnswer::Granted) if unproven && in_sync => {
                    Some(ClaimAnswer::Unavailable { loaded: false })
                }
                Some(ClaimAnswer::Granted) if unproven => None,
                answer => answer,
            };
            let Some(answer) = answer else {
                return true;
            };
            // Of all answers, only this one can become outdated.
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
        self.pending = pending;
        // Another VM may have appended the outcome, so the log is read again for the next claim or
        // entry.
        if refresh && matches!(self.call_state, CallState::Idle) {
            self.in_sync = false;
        }
    }

    fn delete_expired(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
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
        self.table.remove_before(horizon);
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
        self.call_state = CallState::Loading(id);
        let from = self.tail.as_ref().map(|tail| tail.index);
        actions.push(ShardAction::Load { id, from });
    }

    fn start_write(&mut self, now: Timestamp, actions: &mut Vec<ShardAction>) {
        let Some(tail) = &self.tail else {
            return;
        };
        let (next, queued_count) = self.extend(tail, now);
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
        self.call_state = CallState::Writing(Box::new(WriteCall {
            id,
            queued_count,
            next,
        }));
        self.next_write = now + self.options.interval;
    }

    /// Appends queued entries and pending claims to a copy of the tail.
    ///
    /// Returns the copy and the number of queued entries in it.
    fn extend(&self, tail: &Tail, now: Timestamp) -> (Tail, usize) {
        let mut next = tail.clone();
        let queued_count = self.queued.len().min(self.options.max_batch);
        let remaining = self.options.max_batch - queued_count;
        let mut claimed = std::collections::HashSet::new();
        let claims = self
            .pending
            .iter()
            .filter(|pending| claimed.insert(pending.claim.key))
            .take(remaining)
            .map(|pending| Entry::Claim(pending.claim.clone()));
        let appended = self.queued.iter().take(queued_count).cloned().chain(claims);
        for entry in appended {
            next.bytes += entry.size();
            next.segment.entries.push(entry);
        }
        next.segment.last = now;
        next.segment.era = self.era.unwrap_or_default();
        next.segment.unproven_before = self.unproven_before;
        next.segment.sealed = next.bytes >= self.options.segment_bytes;
        (next, queued_count)
    }

    const fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        self.last_id
    }
}

#[cfg(test)]
mod tests;
