//! Questions between VMs about what the platform's store holds.

use almondcroft_core::gateway::{EntryEvent, TargetEntry};
use almondcroft_core::{RegionId, Revision, ServiceId, TargetId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Asks which configuration is the newest, and what changed of the targets since a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Question {
    pub(crate) nonce: u64,
    pub(crate) targets: Revision,
}

/// Answers a question as far as the VM knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub(crate) nonce: u64,
    /// Revision of the configuration held, and its age: the time since it was surely the newest.
    pub(crate) config: Option<(Revision, Age)>,
    /// What changed of the targets; `None` where it is not known or too much.
    pub(crate) targets: Option<TargetsTold>,
    /// Whether the store is or was away, so that entries may have expired without cause.
    pub(crate) away: bool,
}

/// Tells what changed of the targets up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetsTold {
    pub(crate) revision: Revision,
    pub(crate) age: Age,
    present: Vec<Entry>,
    gone: Vec<TargetId>,
}

/// An age, in milliseconds, rounded up.
pub(crate) type Age = u64;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    id: TargetId,
    service: ServiceId,
    address: SocketAddr,
    zone: ZoneId,
    region: RegionId,
    slots: u32,
    draining: bool,
    /// Time for which it is slow yet, in milliseconds; clocks differ between VMs.
    cold: u64,
    born: u64,
}

/// Returns the age of what was known at a time.
pub(crate) fn age(at: Timestamp, now: Timestamp) -> Age {
    whole(now.saturating_sub(at)).saturating_add(1)
}

fn whole(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl TargetsTold {
    pub(crate) fn new(
        revision: Revision,
        age: Age,
        events: Vec<EntryEvent>,
        now: Timestamp,
    ) -> Self {
        let mut told = Self {
            revision,
            age,
            present: Vec::new(),
            gone: Vec::new(),
        };
        for event in events {
            match event {
                EntryEvent::Present(entry) => told.present.push(Entry::new(entry, now)),
                EntryEvent::Absent(id) => told.gone.push(id),
            }
        }
        told
    }

    pub(crate) fn into_events(self, now: Timestamp) -> Vec<EntryEvent> {
        let present = self.present.into_iter();
        let present = present.map(|entry| EntryEvent::Present(entry.into_target(now)));
        let gone = self.gone.into_iter().map(EntryEvent::Absent);
        present.chain(gone).collect()
    }
}

impl Entry {
    fn new(entry: TargetEntry, now: Timestamp) -> Self {
        Self {
            cold: whole(entry.cold_until.saturating_sub(now)),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            region: entry.region,
            slots: entry.slots,
            draining: entry.draining,
            born: entry.incarnation,
        }
    }

    fn into_target(self, now: Timestamp) -> TargetEntry {
        let cold_until = match self.cold {
            0 => Timestamp::ZERO,
            cold => now.saturating_add(Duration::from_millis(cold)),
        };
        TargetEntry {
            id: self.id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            region: self.region,
            slots: self.slots,
            draining: self.draining,
            cold_until,
            incarnation: self.born,
        }
    }
}

#[cfg(test)]
mod tests;
