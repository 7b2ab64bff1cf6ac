//! Availability zones that operators evacuate.

use super::StorePosition;
use crate::{Timestamp, ZoneId};
use std::collections::BTreeSet;

/// Describes the begin or the end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone gets no more requests.
    Begun(ZoneId),
    /// The zone may be used again.
    Ended(ZoneId),
}

/// Tracks which availability zones are evacuated, by the store's list and its changes.
///
/// Views arrive from the store and from other VMs at the same time, so one that is older than what is known is
/// ignored.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeSet<ZoneId>,
    /// Position up to which the zones are known, and a time at which it was the newest.
    checkpoint: Option<(StorePosition, Timestamp)>,
}

impl Evacuations {
    /// Replaces the zones by those that were evacuated at a position, which was the newest at a time.
    pub fn apply_list(
        &mut self,
        zones: BTreeSet<ZoneId>,
        position: StorePosition,
        at: Timestamp,
    ) -> Vec<EvacuationChange> {
        if !self.advance(position, at) {
            return Vec::new();
        }
        let ended = self.zones.difference(&zones).cloned();
        let mut changes: Vec<EvacuationChange> = ended.map(EvacuationChange::Ended).collect();
        let begun = zones.difference(&self.zones).cloned();
        changes.extend(begun.map(EvacuationChange::Begun));
        self.zones = zones;
        changes
    }

    /// Applies all changes up to a position, which was the newest at a time; `true` marks a zone as evacuated.
    pub fn apply_changes(
        &mut self,
        changes: Vec<(ZoneId, bool)>,
        position: StorePosition,
        at: Timestamp,
    ) -> Vec<EvacuationChange> {
        let mut zones = self.zones.clone();
        for (zone, is_evacuated) in changes {
            if is_evacuated {
                zones.insert(zone);
            } else {
                zones.remove(&zone);
            }
        }
        self.apply_list(zones, position, at)
    }

    /// Returns the evacuated zones.
    #[must_use]
    pub const fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }

    /// Returns the position up to which the zones are known, and the latest time at which it was the newest.
    #[must_use]
    pub const fn checkpoint(&self) -> Option<(StorePosition, Timestamp)> {
        self.checkpoint
    }

    /// Moves the checkpoint forward; returns whether the position is not older than the known one.
    fn advance(&mut self, position: StorePosition, at: Timestamp) -> bool {
        let (known, known_at) = self.checkpoint.unwrap_or_default();
        if position < known {
            return false;
        }
        self.checkpoint = Some((position, known_at.max(at)));
        true
    }
}

#[cfg(test)]
mod tests;
