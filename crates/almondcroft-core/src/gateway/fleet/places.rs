//! Where requests may be placed: allowed regions and evacuated availability zones.

use super::target_state::TargetState;
use super::{Demand, Fleet, PlacedRequest};
use crate::gateway::AllowedRegions;
use crate::{ServiceId, Timestamp, ZoneId};
use std::collections::BTreeSet;

impl Fleet {
    /// Replaces the availability zones whose targets get no requests.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>, now: Timestamp) -> Vec<PlacedRequest> {
        let ended: Vec<ZoneId> = self.evacuated.difference(&zones).cloned().collect();
        self.evacuated = zones;
        self.begin_cold_starts(&ended, now);
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        let placements = services.iter();
        placements
            .flat_map(|service| self.place_waiting(service, now))
            .collect()
    }

    /// Returns whether a target is in an availability zone that gets no requests.
    #[must_use]
    pub fn is_evacuated(&self, target: &str) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| self.evacuated.contains(&state.entry.zone))
    }

    /// Returns whether a request that is limited to some regions may be sent to a target, as far as its place
    /// matters.
    #[must_use]
    pub fn may_send(&self, target: &str, regions: &AllowedRegions) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| self.is_permitted(state, regions))
    }

    /// Returns whether a generation may be resumed at a target: it is permitted there, the zone is not
    /// evacuated, and the target's limits leave a place.
    #[must_use]
    pub fn may_resume(&self, target: &str, regions: &AllowedRegions, now: Timestamp) -> bool {
        let Some(state) = self.targets.get(target) else {
            return false;
        };
        let has_place = !state.is_cold(now) || state.is_within_limit(now);
        has_place && self.is_permitted(state, regions)
    }

    /// Returns whether requests that are limited to some regions may be sent to a target.
    pub(super) fn is_permitted(&self, state: &TargetState, regions: &AllowedRegions) -> bool {
        regions.permits(&state.entry.region) && !self.evacuated.contains(&state.entry.zone)
    }

    /// Returns whether a target serves the service of a request and may get it, now or later.
    pub(super) fn may_serve(&self, state: &TargetState, demand: &Demand) -> bool {
        state.entry.service == demand.service
            && !state.leaving
            && self.is_permitted(state, &demand.regions)
    }
}
