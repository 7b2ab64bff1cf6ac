//! Queries between VMs about the contents of the platform's store.

use almondcroft_core::gateway::{ChangeCursor, EntryEvent, StorePosition, TargetEntry};
use almondcroft_core::{Era, RegionId, Revision, ServiceId, TargetId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Asks for the newest configuration's revision and for the changes of targets since a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Query {
    pub(crate) nonce: u64,
    /// Era of the store in which the targets are known.
    #[serde(default)]
    pub(crate) era: Era,
    /// Revision in that era.
    pub(crate) targets: Revision,
    /// Whether the VM reads changes in pages.
    #[serde(default)]
    pub(crate) paged: bool,
    /// Change after which the next page starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) after: Option<CursorMessage>,
}

/// Place of a change: the era, the revision and the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CursorMessage(Era, Revision, TargetId);

impl From<ChangeCursor> for CursorMessage {
    fn from((position, target): ChangeCursor) -> Self {
        Self(position.era, position.revision, target)
    }
}

impl From<CursorMessage> for ChangeCursor {
    fn from(CursorMessage(era, revision, target): CursorMessage) -> Self {
        (StorePosition { era, revision }, target)
    }
}

/// Lists some of the changes since a position, for a VM that reads them in pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetPage {
    /// The changes; they are complete up to the position since which they were asked for.
    pub(crate) changes: TargetUpdate,
    /// The last of the changes.
    pub(crate) next: CursorMessage,
}

/// Responds to a query from the VM's own view of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Response {
    pub(crate) nonce: u64,
    /// Newest era of the store that the VM knows.
    #[serde(default)]
    pub(crate) era: Era,
    /// Revision of the VM's configuration, and the time since it was last confirmed as the newest.
    pub(crate) config: Option<(Revision, AgeMs)>,
    /// Changes of targets; `None` if they are unknown or do not fit into a datagram.
    pub(crate) targets: Option<TargetUpdate>,
    /// Whether the store is or recently was unavailable, so that entries of running targets may
    /// have expired.
    #[serde(rename = "away")]
    pub(crate) targets_uncertain: bool,
    /// Whether the changes are only those after the cursor of the query.
    #[serde(default, skip_serializing_if = "super::is_false")]
    pub(crate) continues: bool,
    /// Some of the changes, if all do not fit into a datagram and the VM reads pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) page: Option<TargetPage>,
    /// The evacuated zones; `None` if they are unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<EvacuationList>,
}

/// Lists the zones that are evacuated at a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuationList {
    pub(crate) era: Era,
    pub(crate) revision: Revision,
    /// Time since the list was known to be the newest.
    pub(crate) age: AgeMs,
    pub(crate) zones: BTreeSet<ZoneId>,
}

/// Lists the targets that changed up to a position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetUpdate {
    #[serde(default)]
    era: Era,
    revision: Revision,
    pub(crate) age: AgeMs,
    present: Vec<TargetRecord>,
    gone: Vec<TargetId>,
}

/// Age in milliseconds, rounded up.
pub(crate) type AgeMs = u64;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TargetRecord {
    id: TargetId,
    service: ServiceId,
    address: SocketAddr,
    zone: ZoneId,
    region: RegionId,
    slots: u32,
    draining: bool,
    /// Remaining time of the cold start, in milliseconds; clocks differ between VMs.
    cold: u64,
    #[serde(rename = "born")]
    incarnation: u64,
}

/// Returns the age of an observation.
pub(crate) fn age_ms(at: Timestamp, now: Timestamp) -> AgeMs {
    whole_millis(now.saturating_sub(at)).saturating_add(1)
}

pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl TargetUpdate {
    pub(crate) fn new(
        position: StorePosition,
        age: AgeMs,
        events: Vec<EntryEvent>,
        now: Timestamp,
    ) -> Self {
        let mut update = Self {
            era: position.era,
            revision: position.revision,
            age,
            present: Vec::new(),
            gone: Vec::new(),
        };
        for event in events {
            match event {
                EntryEvent::Present(entry) => update.present.push(TargetRecord::new(entry, now)),
                EntryEvent::Absent(id) => update.gone.push(id),
            }
        }
        update
    }

    pub(crate) const fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }

    pub(crate) fn into_events(self, now: Timestamp) -> Vec<EntryEvent> {
        let present = self.present.into_iter();
        let present = present.map(|entry| EntryEvent::Present(entry.into_target(now)));
        let gone = self.gone.into_iter().map(EntryEvent::Absent);
        present.chain(gone).collect()
    }
}

impl TargetRecord {
    fn new(entry: TargetEntry, now: Timestamp) -> Self {
        Self {
            cold: whole_millis(entry.cold_until.saturating_sub(now)),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            region: entry.region,
            slots: entry.slots,
            draining: entry.draining,
            incarnation: entry.incarnation,
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
            incarnation: self.incarnation,
        }
    }
}

#[cfg(test)]
mod tests;
