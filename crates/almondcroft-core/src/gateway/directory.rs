//! Registered targets, tracked across outages of the store.

use super::TargetEntry;
use crate::{Revision, TargetId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of removed targets kept for [`Directory::changes_since`]; more than are removed while
/// a VM is unreachable for a minute.
const MAX_REMOVED: usize = 1_024;

/// Time within which live targets register again after an outage of the store.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);

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

#[derive(Debug)]
struct KnownTarget {
    entry: TargetEntry,
    missing: bool,
}

/// Marks the revision up to which all changes are known, and a time at which it was the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Checkpoint {
    revision: Revision,
    at: Timestamp,
}

/// Tracks the registered targets.
///
/// While the store is unavailable, entries expire although their targets run. Targets whose entries
/// are missing when it is available again therefore stay in use until they have had time to register.
///
/// Like the store, a directory can list the changes since a revision, for other VMs.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<TargetId, KnownTarget>,
    store_unavailable: bool,
    recovered_at: Option<Timestamp>,
    checkpoint: Option<Checkpoint>,
    /// Checkpoint revision by which each target last changed, removed targets included.
    changed: BTreeMap<TargetId, Revision>,
    /// Targets that changed since the last checkpoint.
    uncommitted: Vec<TargetId>,
    /// Revision before which the history of removed targets is incomplete.
    history_start: Revision,
}

impl Directory {
    /// Records that the store does not respond.
    pub fn mark_store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Records that the store responds, and starts the registration time if it did not before.
    pub fn mark_store_available(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.store_unavailable) {
            self.recovered_at = Some(now);
        }
    }

    /// Records that all changes up to a revision are applied, and a time at which it was the newest.
    fn advance_checkpoint(&mut self, revision: Revision, at: Timestamp) {
        let before = self.checkpoint;
        if before.is_none() {
            self.history_start = revision;
        }
        let before = before.unwrap_or(Checkpoint { revision, at });
        let checkpoint = Checkpoint {
            revision: before.revision.max(revision),
            at: before.at.max(at),
        };
        self.checkpoint = Some(checkpoint);
        for id in std::mem::take(&mut self.uncommitted) {
            self.changed.insert(id, checkpoint.revision);
        }
        self.trim_history();
    }

    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.checkpoint.map(|checkpoint| checkpoint.revision)
    }

    /// Returns the latest time at which the directory is known to have been complete.
    #[must_use]
    pub fn complete_at(&self) -> Option<Timestamp> {
        self.checkpoint.map(|checkpoint| checkpoint.at)
    }

    /// Returns the latest state of each target that changed after a revision.
    ///
    /// Returns `None` if the changes are not known for certain: around an outage of the store, when
    /// entries of running targets may be missing, and for revisions before the first list or before
    /// the oldest removals that are kept.
    #[must_use]
    pub fn changes_since(&self, revision: Revision, now: Timestamp) -> Option<Vec<EntryEvent>> {
        self.checkpoint?;
        if revision < self.history_start || self.is_uncertain(now) {
            return None;
        }
        let changed = self.changed.iter().filter(|(_, at)| **at > revision);
        let event = |(id, _): (&TargetId, &Revision)| match self.known.get(id) {
            Some(known) if !known.missing => EntryEvent::Present(known.entry.clone()),
            _ => EntryEvent::Absent(id.clone()),
        };
        Some(changed.map(event).collect())
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
        }
    }

    /// Applies a list of all entries that was complete at a time.
    ///
    /// A list older than the last checkpoint is ignored.
    pub fn apply_list(
        &mut self,
        entries: Vec<TargetEntry>,
        (revision, at): (Revision, Timestamp),
        now: Timestamp,
    ) -> Vec<TargetChange> {
        if self.is_outdated(revision) {
            return Vec::new();
        }
        let changes = self.replace(entries, now);
        self.advance_checkpoint(revision, at);
        changes
    }

    /// Applies all changes up to a revision, which were complete at a time.
    ///
    /// Only the latest state of each target counts. Changes can arrive from the store and from other
    /// VMs at the same time, so changes older than the last checkpoint are ignored.
    pub fn apply_changes(
        &mut self,
        events: Vec<EntryEvent>,
        (revision, at): (Revision, Timestamp),
        now: Timestamp,
    ) -> Vec<TargetChange> {
        if self.is_outdated(revision) {
            return Vec::new();
        }
        let mut latest = BTreeMap::new();
        for event in events {
            latest.insert(event.target().clone(), event);
        }
        let latest = latest.into_values();
        let changes = latest.flat_map(|event| self.apply(event, now)).collect();
        self.advance_checkpoint(revision, at);
        changes
    }

    fn is_outdated(&self, revision: Revision) -> bool {
        self.checkpoint
            .is_some_and(|checkpoint| revision < checkpoint.revision)
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
        match event {
            EntryEvent::Present(entry) => self.apply_present(entry),
            EntryEvent::Absent(id) => self.apply_absent(&id, now),
        }
    }

    /// Removes targets that did not register again within the registration time.
    pub fn remove_missing(&mut self, now: Timestamp) -> Vec<TargetChange> {
        if self.is_uncertain(now) {
            return Vec::new();
        }
        let missing: Vec<TargetId> = self
            .known
            .iter()
            .filter(|(_, known)| known.missing)
            .map(|(id, _)| id.clone())
            .collect();
        missing
            .into_iter()
            .map(|id| {
                self.known.remove(&id);
                TargetChange::Gone(id)
            })
            .collect()
    }

    /// Returns whether entries of running targets may be missing.
    #[must_use]
    pub fn is_uncertain(&self, now: Timestamp) -> bool {
        self.store_unavailable
            || self
                .recovered_at
                .is_some_and(|at| now < at + REGISTRATION_TIME)
    }

    fn apply_present(&mut self, entry: TargetEntry) -> Vec<TargetChange> {
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
            known.missing = true;
            return Vec::new();
        }
        self.known.remove(id);
        vec![TargetChange::Gone(id.clone())]
    }
}

#[cfg(test)]
mod tests;
