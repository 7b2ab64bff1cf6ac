//! Targets that exist, through gaps in what is known about them.

use super::TargetEntry;
use crate::{Revision, TargetId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Targets that are remembered to be gone, for those who ask what changed; more than leave while a
/// VM is out of touch for a minute.
const MAX_GONE: usize = 1_024;

/// Time after the store's return within which live targets register again.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Tells what the store says of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The entry holds this.
    Present(TargetEntry),
    /// The entry is gone, or names no usable target.
    Absent(TargetId),
}

impl EntryEvent {
    /// Returns the target.
    #[must_use]
    pub const fn target(&self) -> &TargetId {
        match self {
            Self::Present(entry) => &entry.id,
            Self::Absent(id) => id,
        }
    }
}

/// Tells what changed for the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The target takes work.
    Joined(TargetEntry),
    /// The target takes no new work and is about to go.
    Leaving(TargetId),
    /// The target is gone.
    Gone(TargetId),
}

#[derive(Debug)]
struct Known {
    entry: TargetEntry,
    missing: bool,
}

/// Names the revision up to which everything is known, and when the store had no later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reached {
    revision: Revision,
    at: Timestamp,
}

/// Follows the registered targets.
///
/// While the store is away, entries expire although their targets run; so what is missing when it
/// returns stays in use until the targets had time to register again.
///
/// A VM can tell others what changed since a revision, as the store does.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<TargetId, Known>,
    away: bool,
    back: Option<Timestamp>,
    reached: Option<Reached>,
    /// Revisions by which targets had changed, those that are gone included.
    changed: BTreeMap<TargetId, Revision>,
    /// Targets that changed since the last revision that was reached.
    fresh: Vec<TargetId>,
    /// Revision before which targets may have gone that are not remembered.
    floor: Revision,
}

impl Directory {
    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// Notes that the store answers again.
    pub fn store_back(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.away) {
            self.back = Some(now);
        }
    }

    /// Notes that everything up to a revision is taken in, and a time at which there was no more.
    fn reach(&mut self, revision: Revision, at: Timestamp) {
        let before = self.reached;
        if before.is_none() {
            self.floor = revision;
        }
        let before = before.unwrap_or(Reached { revision, at });
        let reached = Reached {
            revision: before.revision.max(revision),
            at: before.at.max(at),
        };
        self.reached = Some(reached);
        for id in std::mem::take(&mut self.fresh) {
            self.changed.insert(id, reached.revision);
        }
        self.forget_oldest();
    }

    /// Returns the revision up to which everything is known.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.reached.map(|reached| reached.revision)
    }

    /// Returns the latest time at which what is known was all that there was.
    #[must_use]
    pub fn complete_at(&self) -> Option<Timestamp> {
        self.reached.map(|reached| reached.at)
    }

    /// Returns what changed after a revision, in its latest state.
    ///
    /// Returns `None` where that is not known for certain: around an outage of the store, in which
    /// targets that run may be missing, and for revisions before the first list.
    #[must_use]
    pub fn since(&self, revision: Revision, now: Timestamp) -> Option<Vec<EntryEvent>> {
        self.reached?;
        if revision < self.floor || self.is_in_grace(now) {
            return None;
        }
        let changed = self.changed.iter().filter(|(_, at)| **at > revision);
        let event = |(id, _): (&TargetId, &Revision)| match self.known.get(id) {
            Some(known) if !known.missing => EntryEvent::Present(known.entry.clone()),
            _ => EntryEvent::Absent(id.clone()),
        };
        Some(changed.map(event).collect())
    }

    fn forget_oldest(&mut self) {
        while self.changed.len() > self.known.len() + MAX_GONE {
            let gone = self.changed.iter();
            let gone = gone.filter(|(id, _)| !self.known.contains_key(*id));
            let Some((id, at)) = gone.min_by_key(|(_, at)| **at) else {
                return;
            };
            let (id, at) = (id.clone(), *at);
            self.floor = self.floor.max(at);
            self.changed.remove(&id);
        }
    }

    /// Takes in a whole list that was complete at a time.
    ///
    /// One older than what is known is passed over.
    pub fn take_list(
        &mut self,
        entries: Vec<TargetEntry>,
        (revision, at): (Revision, Timestamp),
        now: Timestamp,
    ) -> Vec<Change> {
        if self.is_behind(revision) {
            return Vec::new();
        }
        let changes = self.replace(entries, now);
        self.reach(revision, at);
        changes
    }

    /// Takes in all changes up to a revision, which were complete at a time.
    ///
    /// Only the latest state of each target counts. Changes can come from the store and from other
    /// VMs at once, so those older than what is known are passed over.
    pub fn take_changes(
        &mut self,
        events: Vec<EntryEvent>,
        (revision, at): (Revision, Timestamp),
        now: Timestamp,
    ) -> Vec<Change> {
        if self.is_behind(revision) {
            return Vec::new();
        }
        let mut latest = BTreeMap::new();
        for event in events {
            latest.insert(event.target().clone(), event);
        }
        let latest = latest.into_values();
        let changes = latest.flat_map(|event| self.apply(event, now)).collect();
        self.reach(revision, at);
        changes
    }

    fn is_behind(&self, revision: Revision) -> bool {
        self.reached
            .is_some_and(|reached| revision < reached.revision)
    }

    /// Takes in a whole list.
    fn replace(&mut self, entries: Vec<TargetEntry>, now: Timestamp) -> Vec<Change> {
        let listed: Vec<TargetId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let mut changes: Vec<Change> = entries
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

    /// Takes in one event.
    fn apply(&mut self, event: EntryEvent, now: Timestamp) -> Vec<Change> {
        let known = match &event {
            EntryEvent::Present(entry) => self
                .known
                .get(&entry.id)
                .is_some_and(|known| known.entry == *entry && !known.missing),
            EntryEvent::Absent(_) => false,
        };
        if !known {
            self.fresh.push(event.target().clone());
        }
        match event {
            EntryEvent::Present(entry) => self.present(entry),
            EntryEvent::Absent(id) => self.absent(&id, now),
        }
    }

    /// Lets go of targets that did not register again in time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Change> {
        if self.is_in_grace(now) {
            return Vec::new();
        }
        let gone: Vec<TargetId> = self
            .known
            .iter()
            .filter(|(_, known)| known.missing)
            .map(|(id, _)| id.clone())
            .collect();
        gone.into_iter()
            .map(|id| {
                self.known.remove(&id);
                Change::Gone(id)
            })
            .collect()
    }

    /// Returns whether entries may be missing although their targets run.
    #[must_use]
    pub fn is_in_grace(&self, now: Timestamp) -> bool {
        self.away || self.back.is_some_and(|back| now < back + RETURN_GRACE)
    }

    fn present(&mut self, entry: TargetEntry) -> Vec<Change> {
        let before = self.known.get(&entry.id);
        let reborn = before.is_some_and(|known| {
            known.entry.born != entry.born || known.entry.address != entry.address
        });
        let mut changes = Vec::new();
        if reborn {
            changes.push(Change::Gone(entry.id.clone()));
        }
        let same = before.is_some_and(|known| known.entry == entry);
        if !same {
            changes.push(if entry.draining {
                Change::Leaving(entry.id.clone())
            } else {
                Change::Joined(entry.clone())
            });
        }
        let known = Known {
            entry,
            missing: false,
        };
        self.known.insert(known.entry.id.clone(), known);
        changes
    }

    fn absent(&mut self, id: &TargetId, now: Timestamp) -> Vec<Change> {
        let grace = self.is_in_grace(now);
        let Some(known) = self.known.get_mut(id) else {
            return Vec::new();
        };
        // A target that said it leaves does not come back.
        if grace && !known.entry.draining {
            known.missing = true;
            return Vec::new();
        }
        self.known.remove(id);
        vec![Change::Gone(id.clone())]
    }
}

#[cfg(test)]
mod tests;
