//! Registered targets, tracked across outages of the store.

use super::{StorePosition, TargetEntry};
use crate::{Era, TargetId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of removed targets kept for [`Directory::changes_since`]; more than are removed while
/// a VM is unreachable for a minute.
const MAX_REMOVED: usize = 1_024;

/// Number of VMs whose reports show that the store is unavailable.
const MIN_UNCERTAIN_VIEWS: usize = 2;

/// Time within which live targets register again after an outage of the store: about two seconds, and a margin for the write
/// and for its arrival here.
const REGISTRATION_TIME: Duration = Duration::from_millis(2_300);

/// Time for which a restored entry of a target that is known to be gone is not used.
///
/// The store removes the entries of stopped targets within it.
const RESTORED_ENTRY_DELAY: Duration = Duration::from_secs(5);

/// Reports the state of one entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The entry exists and has this value.
    Present(TargetEntry),
    /// The entry does not exist, or describes no usable target.
    Absent(TargetId),
}

impl EntryEvent {
    /// Returns the target of the entry.
    #[must_use]
    pub const fn target(&self) -> &TargetId {
        match self {
            Self::Present(entry) => &entry.id,
            Self::Absent(id) => id,
        }
    }
}

/// Describes a change of the targets that requests can be placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The target accepts requests.
    Joined(TargetEntry),
    /// The target accepts no new requests and is about to stop.
    Leaving(TargetId),
    /// The target no longer exists.
    Gone(TargetId),
}

/// An entry that disappeared, as a VM saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRemoval {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Position of the store up to which the VM knew all changes.
    pub position: StorePosition,
}

/// Place of a change in the order of [`Directory::changes_after`].
pub type ChangeCursor = (StorePosition, TargetId);

#[derive(Debug)]
struct KnownTarget {
    entry: TargetEntry,
    missing: bool,
}

/// Marks the position up to which all changes are known, and a time at which it was the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Checkpoint {
    position: StorePosition,
    at: Timestamp,
}

/// What is remembered of a removed target.
#[derive(Debug, Clone, Copy)]
struct RemovedTarget {
    incarnation: u64,
    /// Whether that incarnation was leaving.
    draining: bool,
}

/// What the first list after a restoration of the store showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RestoredTargets {
    /// Number of targets in use whose entries the store lost.
    pub lost: usize,
    /// Number of entries of targets that are known to be gone or leaving, which are not believed.
    pub outdated: usize,
}

/// Tracks the registered targets.
///
/// While the store is unavailable, entries expire although their targets run. Targets whose entries
/// are missing when it is available again therefore stay in use until they have had time to register.
///
/// A store that was restored from an older copy begins a new era. Entries in it may be missing, as after
/// an outage, or show targets as ready that have left since the copy was made. Such an entry does not
/// bring a target back: one that is known to be leaving stays so for this incarnation, and one that is
/// known to be gone is used only if its entry outlives the time in which those of stopped targets expire.
///
/// Like the store, a directory can list the changes since a position, for other VMs.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<TargetId, KnownTarget>,
    store_unavailable: bool,
    recovered_at: Option<Timestamp>,
    /// VMs that follow the store and reported it as unavailable since another report was certain.
    uncertain_views: BTreeSet<SocketAddr>,
    /// Newest era of the store that is known.
    era: Era,
    checkpoint: Option<Checkpoint>,
    /// Checkpoint position by which each target last changed, removed targets included.
    changed: BTreeMap<TargetId, StorePosition>,
    removed: BTreeMap<TargetId, RemovedTarget>,
    /// Restored entries of targets that are known to be gone, and when each may be used.
    held: BTreeMap<TargetId, (TargetEntry, Timestamp)>,
    /// Targets that changed since the last checkpoint.
    uncommitted: Vec<TargetId>,
    /// Targets that stay in use although their entries disappeared, since they were last taken out.
    kept: Vec<TargetId>,
    /// Position before which the history of removed targets is incomplete.
    history_start: StorePosition,
}

impl Directory {
    /// Records that the store does not respond.
    pub fn mark_store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Records that a VM which follows the store for others reports it as unavailable, now or a short time ago.
    ///
    /// A single VM may be cut off from a store that serves all others, so its report alone says nothing about the store.
    pub fn record_uncertain_view(&mut self, vm: SocketAddr) {
        self.uncertain_views.insert(vm);
        if self.uncertain_views.len() >= MIN_UNCERTAIN_VIEWS {
            self.mark_store_unavailable();
        }
    }

    /// Records that the store responds, and starts the registration time if it did not before.
    pub fn mark_store_available(&mut self, now: Timestamp) {
        self.uncertain_views.clear();
        if std::mem::take(&mut self.store_unavailable) {
            self.recovered_at = Some(now);
        }
    }

    /// Records that a VM which follows the store for others is certain of its view.
    ///
    /// One that reported an outage before has waited for the registrations itself; another one may have started since, so the
    /// registration time starts here.
    pub fn record_certain_view(&mut self, vm: SocketAddr, now: Timestamp) {
        if self.uncertain_views.contains(&vm) {
            self.uncertain_views.clear();
            self.store_unavailable = false;
        } else {
            self.mark_store_available(now);
        }
    }

    /// Records that the store was restored from an older copy and began an era.
    ///
    /// Views of earlier eras are ignored from now on, and targets may be missing until they have had
    /// time to register again.
    pub fn begin_era(&mut self, era: Era, now: Timestamp) {
        if era > self.era {
            self.era = era;
            self.recovered_at = Some(now);
        }
    }

    /// Records that all changes up to a position are applied, and a time at which it was the newest.
    fn advance_checkpoint(&mut self, position: StorePosition, at: Timestamp) {
        let before = self.checkpoint.unwrap_or(Checkpoint { position, at });
        if self.checkpoint.is_none() || position.era > before.position.era {
            self.history_start = position;
        }
        let checkpoint = Checkpoint {
            position: before.position.max(position),
            at: before.at.max(at),
        };
        self.checkpoint = Some(checkpoint);
        for id in std::mem::take(&mut self.uncommitted) {
            self.changed.insert(id, checkpoint.position);
        }
        self.trim_history();
    }

    /// Returns the position up to which all changes are known.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        self.checkpoint.map(|checkpoint| checkpoint.position)
    }

    /// Returns the latest time at which the directory is known to have been complete.
    #[must_use]
    pub fn complete_at(&self) -> Option<Timestamp> {
        self.checkpoint.map(|checkpoint| checkpoint.at)
    }

    /// Returns the latest state of each target that changed after a position.
    ///
    /// Returns `None` if the changes are not known for certain: around an outage of the store, when
    /// entries of running targets may be missing, and for positions before the first list, in an
    /// earlier era or before the oldest removals that are kept.
    #[must_use]
    pub fn changes_since(
        &self,
        position: StorePosition,
        now: Timestamp,
    ) -> Option<Vec<EntryEvent>> {
        let changes = self.changes_after(position, None, now)?;
        Some(changes.into_iter().map(|(_, event)| event).collect())
    }

    /// Returns the same changes in a fixed order with a cursor each, without those up to a cursor.
    ///
    /// A reader that can take only some at a time continues after the last one. Targets that change meanwhile come
    /// later in the order, so once the reader has got the last one, it knows all changes up to the position that
    /// the directory then has.
    #[must_use]
    pub fn changes_after(
        &self,
        position: StorePosition,
        cursor: Option<&ChangeCursor>,
        now: Timestamp,
    ) -> Option<Vec<(ChangeCursor, EntryEvent)>> {
        self.checkpoint?;
        if position < self.history_start || self.is_uncertain(now) {
            return None;
        }
        let changed = self.changed.iter().filter(|(_, at)| **at > position);
        let cursors = changed.map(|(id, at)| (*at, id.clone()));
        let mut cursors: Vec<ChangeCursor> = cursors
            .filter(|change| cursor.is_none_or(|cursor| change > cursor))
            .collect();
        cursors.sort_unstable();
        let event = |cursor: ChangeCursor| {
            let event = match self.known.get(&cursor.1) {
                Some(known) if !known.missing => EntryEvent::Present(known.entry.clone()),
                _ => EntryEvent::Absent(cursor.1.clone()),
            };
            (cursor, event)
        };
        Some(cursors.into_iter().map(event).collect())
    }

    /// Applies some of the changes since a position that another VM lists, which are not complete up to any later
    /// position; does nothing if more is known already.
    pub fn apply_part(
        &mut self,
        events: Vec<EntryEvent>,
        since: StorePosition,
        now: Timestamp,
    ) -> Vec<TargetChange> {
        if self.position() != Some(since) {
            return Vec::new();
        }
        let events = events.into_iter();
        events.flat_map(|event| self.apply(event, now)).collect()
    }

    /// Returns all entries, or `None` if they are not known for certain.
    #[must_use]
    pub fn entries(&self, now: Timestamp) -> Option<Vec<TargetEntry>> {
        self.checkpoint?;
        if self.is_uncertain(now) {
            return None;
        }
        let present = self.known.values().filter(|known| !known.missing);
        Some(present.map(|known| known.entry.clone()).collect())
    }

    fn trim_history(&mut self) {
        while self.changed.len() > self.known.len() + MAX_REMOVED {
            let removed = self.changed.iter();
            let removed = removed.filter(|(id, _)| !self.known.contains_key(*id));
            let Some((id, at)) = removed.min_by_key(|(_, at)| **at) else {
                return;
            };
            let (id, at) = (id.clone(), *at);
            self.history_start = self.history_start.max(at);
            self.changed.remove(&id);
            self.removed.remove(&id);
        }
    }

    /// Records that an incarnation of a target said itself that it is leaving, before its entry does.
    pub fn record_leaving(&mut self, target: &TargetId, incarnation: u64) -> Vec<TargetChange> {
        let known = self.known.get_mut(target);
        let Some(known) = known.filter(|known| known.entry.incarnation == incarnation) else {
            return Vec::new();
        };
        if std::mem::replace(&mut known.entry.draining, true) {
            return Vec::new();
        }
        self.uncommitted.push(target.clone());
        vec![TargetChange::Leaving(target.clone())]
    }

    /// Applies that another VM saw an entry disappear, before this VM's own view shows it.
    ///
    /// The entry may be back since, so the removal counts only if this VM knows no later changes; those that it learns next then
    /// include the entry if it is back.
    pub fn record_removal(&mut self, removal: &EntryRemoval, now: Timestamp) -> Vec<TargetChange> {
        let is_newer = self.position().is_some_and(|position| {
            position.era == removal.position.era && position < removal.position
        });
        let known = self.known.get(&removal.target);
        let is_same = known.is_some_and(|known| known.entry.incarnation == removal.incarnation);
        if !is_newer || !is_same {
            return Vec::new();
        }
        self.apply(EntryEvent::Absent(removal.target.clone()), now)
    }

    /// Applies a list of all entries that was complete at a time.
    ///
    /// A list older than the last checkpoint is ignored.
    pub fn apply_list(
        &mut self,
        mut entries: Vec<TargetEntry>,
        (position, at): (StorePosition, Timestamp),
        now: Timestamp,
    ) -> Vec<TargetChange> {
        if self.is_outdated(position) {
            return Vec::new();
        }
        let before = self.position();
        if before.is_some_and(|before| before.era < position.era) {
            self.begin_era(position.era, now);
            self.hold_restored(&entries, now);
        }
        self.held.retain(|_, (held, _)| entries.contains(held));
        entries.retain(|entry| !self.held.contains_key(&entry.id));
        let changes = self.replace(entries, now);
        self.advance_checkpoint(position, at);
        changes
    }

    /// Compares the list with which the store begins an era with the targets that are known.
    #[must_use]
    pub fn compare_restored(&self, entries: &[TargetEntry]) -> RestoredTargets {
        let listed = |id: &TargetId| entries.iter().any(|entry| entry.id == *id);
        let in_use = self.known.values().filter(|known| !known.entry.draining);
        let outdated = entries
            .iter()
            .filter(|entry| self.has_ended(entry) || self.is_draining(entry));
        RestoredTargets {
            lost: in_use.filter(|known| !listed(&known.entry.id)).count(),
            outdated: outdated.count(),
        }
    }

    /// Holds back the restored entries of targets that are known to be gone.
    fn hold_restored(&mut self, entries: &[TargetEntry], now: Timestamp) {
        let ended = entries.iter().filter(|entry| self.has_ended(entry));
        let until = now + RESTORED_ENTRY_DELAY;
        let held = ended.map(|entry| (entry.id.clone(), (entry.clone(), until)));
        self.held = held.collect();
    }

    /// Returns whether the incarnation of an entry is known to be gone.
    fn has_ended(&self, entry: &TargetEntry) -> bool {
        match self.known.get(&entry.id) {
            Some(known) => known.entry.incarnation > entry.incarnation,
            None => self
                .removed
                .get(&entry.id)
                .is_some_and(|removed| removed.incarnation == entry.incarnation),
        }
    }

    /// Returns whether an entry shows a target as ready whose incarnation is known to be leaving.
    fn is_draining(&self, entry: &TargetEntry) -> bool {
        let (draining, incarnation) = match self.known.get(&entry.id) {
            Some(known) => (known.entry.draining, known.entry.incarnation),
            None => match self.removed.get(&entry.id) {
                Some(removed) => (removed.draining, removed.incarnation),
                None => return false,
            },
        };
        let is_same = entry.incarnation > 0 && entry.incarnation == incarnation;
        !entry.draining && draining && is_same
    }

    /// Applies all changes up to a position, which were complete at a time.
    ///
    /// Only the latest state of each target counts. Changes can arrive from the store and from other
    /// VMs at the same time, so changes older than the last checkpoint are ignored. The changes of a new
    /// era are ignored too until a list of that era was applied: its revisions are not those before.
    pub fn apply_changes(
        &mut self,
        events: Vec<EntryEvent>,
        (position, at): (StorePosition, Timestamp),
        now: Timestamp,
    ) -> Vec<TargetChange> {
        let before = self.position();
        let listed = before.is_none_or(|before| before.era == position.era);
        if self.is_outdated(position) || !listed {
            return Vec::new();
        }
        let mut latest = BTreeMap::new();
        for event in events {
            latest.insert(event.target().clone(), event);
        }
        let latest = latest.into_values();
        let changes = latest.flat_map(|event| self.apply(event, now)).collect();
        self.advance_checkpoint(position, at);
        changes
    }

    fn is_outdated(&self, position: StorePosition) -> bool {
        let known = self.position().unwrap_or_default();
        position.era < self.era || position < known
    }

    /// Replaces all entries.
    fn replace(&mut self, entries: Vec<TargetEntry>, now: Timestamp) -> Vec<TargetChange> {
        let listed: Vec<TargetId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<TargetChange> = entries
            .into_iter()
            .flat_map(|entry| self.apply(EntryEvent::Present(entry), now))
            .collect();
        let absent: Vec<TargetId> = self
            .known
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in absent {
            changes.extend(self.apply(EntryEvent::Absent(id), now));
        }
        changes
    }

    /// Applies one event.
    fn apply(&mut self, event: EntryEvent, now: Timestamp) -> Vec<TargetChange> {
        let unchanged = match &event {
            EntryEvent::Present(entry) => self
                .known
                .get(&entry.id)
                .is_some_and(|known| known.entry == *entry && !known.missing),
            EntryEvent::Absent(_) => false,
        };
        if !unchanged {
            self.uncommitted.push(event.target().clone());
        }
        self.held.remove(event.target());
        match event {
            EntryEvent::Present(entry) => self.apply_present(entry),
            EntryEvent::Absent(id) => self.apply_absent(&id, now),
        }
    }

    /// Removes targets that did not register again within the registration time, as a view shows that was complete at its end
    /// or later.
    pub fn remove_missing(&mut self, now: Timestamp) -> Vec<TargetChange> {
        if self.is_uncertain(now) || self.is_before_registrations() {
            return Vec::new();
        }
        let missing: Vec<TargetId> = self
            .known
            .iter()
            .filter(|(_, known)| known.missing)
            .map(|(id, _)| id.clone())
            .collect();
        missing.into_iter().map(|id| self.remove(id)).collect()
    }

    /// Takes out the targets that stay in use although their entries disappeared since the last call.
    pub fn take_kept(&mut self) -> Vec<TargetId> {
        std::mem::take(&mut self.kept)
    }

    /// Uses restored entries that outlived the time in which those of stopped targets expire.
    pub fn release_held(&mut self, now: Timestamp) -> Vec<TargetChange> {
        let due = self.held.values().filter(|(_, until)| *until <= now);
        let due: Vec<TargetEntry> = due.map(|(entry, _)| entry.clone()).collect();
        due.into_iter()
            .flat_map(|entry| self.apply(EntryEvent::Present(entry), now))
            .collect()
    }

    fn remove(&mut self, id: TargetId) -> TargetChange {
        if let Some(known) = self.known.remove(&id) {
            let removed = RemovedTarget {
                incarnation: known.entry.incarnation,
                draining: known.entry.draining,
            };
            self.removed.insert(id.clone(), removed);
        }
        TargetChange::Gone(id)
    }

    /// Returns whether entries of running targets may be missing.
    #[must_use]
    pub fn is_uncertain(&self, now: Timestamp) -> bool {
        self.store_unavailable || now < self.registration_end()
    }

    /// Returns the end of the time in which targets register again after the last outage.
    fn registration_end(&self) -> Timestamp {
        let recovered_at = self.recovered_at;
        recovered_at.map_or(Timestamp::ZERO, |at| at + REGISTRATION_TIME)
    }

    /// Returns whether the latest view is from before the end of the registration time.
    fn is_before_registrations(&self) -> bool {
        let end = self.registration_end();
        self.checkpoint
            .is_some_and(|checkpoint| checkpoint.at < end)
    }

    /// Returns when a view is needed that shows which targets have not registered again, if any is missing.
    #[must_use]
    pub fn needs_view_at(&self) -> Option<Timestamp> {
        let is_missing = self.known.values().any(|known| known.missing);
        (is_missing && self.is_before_registrations()).then(|| self.registration_end())
    }

    fn apply_present(&mut self, mut entry: TargetEntry) -> Vec<TargetChange> {
        entry.draining |= self.is_draining(&entry);
        self.removed.remove(&entry.id);
        let before = self.known.get(&entry.id);
        let restarted = before.is_some_and(|known| {
            known.entry.incarnation != entry.incarnation || known.entry.address != entry.address
        });
        let mut changes = Vec::new();
        if restarted {
            changes.push(TargetChange::Gone(entry.id.clone()));
        }
        let same = before.is_some_and(|known| known.entry == entry);
        if !same {
            changes.push(if entry.draining {
                TargetChange::Leaving(entry.id.clone())
            } else {
                TargetChange::Joined(entry.clone())
            });
        }
        let known = KnownTarget {
            entry,
            missing: false,
        };
        self.known.insert(known.entry.id.clone(), known);
        changes
    }

    fn apply_absent(&mut self, id: &TargetId, now: Timestamp) -> Vec<TargetChange> {
        let uncertain = self.is_uncertain(now);
        let Some(known) = self.known.get_mut(id) else {
            return Vec::new();
        };
        // A draining target does not register again.
        if uncertain && !known.entry.draining {
            if !std::mem::replace(&mut known.missing, true) {
                self.kept.push(id.clone());
            }
            return Vec::new();
        }
        vec![self.remove(id.clone())]
    }
}

#[cfg(test)]
mod tests;
