//! Copies of generations: who keeps one, where one can move, and in which order.

use super::state::{Flight, HeldCopy, TargetState};
use super::{Choice, Demand, Fleet, Need};
use crate::{RequestId, TargetId, Timestamp};
use std::time::Duration;

/// Time in which an engine makes a token beside others, in the logs of played days.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Time for which a generation that is about to end is left at a target that leaves; half of the
/// shortest notice of the users' sites, so that one that goes on can still be moved.
const ENDS_SOON: Duration = Duration::from_millis(700);

impl Fleet {
    /// Notes which target keeps a copy of a generation's memory as it grows.
    pub fn set_copy(&mut self, request: &RequestId, copy: Option<&TargetId>) {
        self.place_copy(request, copy, false);
    }

    /// Notes to which target a generation's memory is being copied at once.
    pub fn set_move(&mut self, request: &RequestId, to: &TargetId) {
        self.place_copy(request, Some(to), true);
    }

    fn place_copy(&mut self, request: &RequestId, copy: Option<&TargetId>, arriving: bool) {
        self.drop_copy(request);
        let flight = self
            .state_of(request)
            .and_then(|state| state.flights.get_mut(request));
        let Some(flight) = flight else {
            return;
        };
        flight.kept = copy.is_some();
        let tokens = flight.held();
        if let Some(seat) = self.flights.get_mut(request) {
            seat.copy = copy.cloned();
        }
        if let Some(state) = self.copy_of(request) {
            let held = HeldCopy { tokens, arriving };
            state.copies.insert(request.clone(), held);
        }
    }

    /// Chooses a target to which a running generation can be moved.
    #[must_use]
    pub fn destination(&self, request: &RequestId, now: Timestamp) -> Option<Choice> {
        let demand = self.copy_demand(request)?;
        self.choose(&demand, self.options.move_headroom, now)
    }

    /// Chooses a target that keeps a copy of a generation while it runs, if one has much room.
    #[must_use]
    pub fn keeper(&self, request: &RequestId, now: Timestamp) -> Option<Choice> {
        let demand = self.copy_demand(request)?;
        self.choose(&demand, self.options.copy_headroom, now)
    }

    /// Returns how long to wait before a generation is copied off a target that leaves.
    ///
    /// Copies queue on the target's link, and the last part of one stalls behind all others. So the
    /// VMs take turns, in the order of their names, without asking each other: each knows about how
    /// much the others have there. Among its own, the VM begins with the one that has most to come. One
    /// that is expected to end soon is left to, as long as the notice permits.
    #[must_use]
    pub fn move_delay(&self, request: &RequestId, now: Timestamp) -> Duration {
        let Some(source) = self
            .flights
            .get(request)
            .and_then(|seat| self.targets.get(&seat.target))
        else {
            return Duration::ZERO;
        };
        let before = self.fresh_peers(now).filter(|(vm, _)| **vm < self.vm);
        let others: u32 = before
            .filter_map(|(_, news)| news.loads.get(&source.entry.id))
            .map(|load| load.movable)
            .sum();
        let left = source.flights.get(request).map_or(0, Flight::left);
        let patience = if TOKEN_TIME * left < ENDS_SOON {
            ENDS_SOON
        } else {
            Duration::ZERO
        };
        let own: u32 = source
            .flights
            .iter()
            .filter(|(id, flight)| (flight.left(), *id) > (left, request))
            .map(|(_, flight)| flight.movable())
            .sum();
        patience.max(self.options.link_time * (others + own))
    }

    /// Returns the tokens of memory that a generation fills now.
    #[must_use]
    pub fn held(&self, request: &RequestId) -> u32 {
        let seat = self.flights.get(request);
        let state = seat.and_then(|seat| self.targets.get(&seat.target));
        let flight = state.and_then(|state| state.flights.get(request));
        flight.map_or(0, Flight::held)
    }

    fn copy_demand(&self, request: &RequestId) -> Option<Demand> {
        let source = self.targets.get(&self.flights.get(request)?.target)?;
        let flight = source.flights.get(request)?;
        Some(Demand {
            // What was read comes with the copy.
            need: Need {
                prompt: flight.held(),
                output: flight.left(),
                read: true,
            },
            copied: true,
            avoid: vec![source.entry.id.clone()],
            zone: source.entry.zone.clone(),
            region: source.entry.region.clone(),
            ..flight.demand.clone()
        })
    }

    pub(super) fn copy_of(&mut self, request: &RequestId) -> Option<&mut TargetState> {
        self.targets
            .get_mut(self.flights.get(request)?.copy.as_ref()?)
    }

    pub(super) fn drop_copy(&mut self, request: &RequestId) {
        if let Some(state) = self.copy_of(request) {
            state.copies.remove(request);
        }
    }
}
