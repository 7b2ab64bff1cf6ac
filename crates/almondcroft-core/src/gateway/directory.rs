//! Targets that exist, through gaps in what is known about them.

use super::TargetEntry;
use crate::{TargetId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

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

/// Follows the registered targets.
///
/// While the store is away, entries expire although their targets run; so what is missing when it
/// returns stays in use until the targets had time to register again.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<TargetId, Known>,
    away: bool,
    back: Option<Timestamp>,
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

    /// Takes in a whole list.
    pub fn replace(&mut self, entries: Vec<TargetEntry>, now: Timestamp) -> Vec<Change> {
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
    pub fn apply(&mut self, event: EntryEvent, now: Timestamp) -> Vec<Change> {
        match event {
            EntryEvent::Present(entry) => self.present(entry),
            EntryEvent::Absent(id) => self.absent(&id, now),
        }
    }

    /// Lets go of targets that did not register again in time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Change> {
        if self.in_grace(now) {
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

    /// Returns the entries that hold, missing ones included.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.known.values().map(|known| &known.entry)
    }

    fn in_grace(&self, now: Timestamp) -> bool {
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
        let grace = self.in_grace(now);
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
