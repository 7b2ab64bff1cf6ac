//! Backups and migrations of running generations: their targets and the order of migrations.

use super::target_state::{InFlightRequest, KvCopy, TargetState};
use super::{Choice, Demand, Fleet, Need, PeerSnapshot};
use crate::gateway::{AllowedRegions, TargetEntry};
use crate::{RequestId, ServiceId, TargetId, Timestamp};
use std::time::Duration;

/// Typical decode time per token on an engine that runs several generations.
const TYPICAL_TOKEN_TIME: Duration = Duration::from_millis(10);

/// Delay before a generation that is expected to end soon is migrated off a leaving target.
///
/// Half of the shortest notice before a target shuts down, so that a generation that does not end
/// within the delay can still be migrated.
const NEAR_END_DELAY: Duration = Duration::from_millis(700);

/// Time after a leave notice at which generations are stopped at the latest; targets shut down 1.5 s
/// after their notice or later.
const STOP_DELAY: Duration = Duration::from_millis(1_150);

/// Time for the last copies of all generations of a target.
const STOP_TIME: Duration = Duration::from_millis(120);

/// Longest queue on a target's link that a further copy may join; it keeps the link busy between two
/// copies.
const LINK_QUEUE: Duration = Duration::from_millis(250);

/// Time after which a generation that waits for the source's link asks for it again.
const LINK_POLL: Duration = Duration::from_millis(10);

impl Fleet {
    /// Records which target holds a backup of a generation, or that none does.
    ///
    /// A backup is a copy of the KV cache that is kept up to date while the generation runs.
    pub fn set_backup(&mut self, request: &RequestId, copy_target: Option<&TargetId>) {
        self.set_copy_target(request, copy_target, false);
    }

    /// Returns the target that holds a backup of a generation, if one does.
    #[must_use]
    pub fn backup_target(&self, request: &RequestId) -> Option<TargetId> {
        let (_, in_flight) = self.running(request)?;
        let copy_target = self.assignments.get(request)?.copy_target.clone();
        copy_target.filter(|_| in_flight.has_backup)
    }

    /// Records the target to which a generation is being migrated.
    pub fn set_migration_target(&mut self, request: &RequestId, target: &TargetId) {
        self.set_copy_target(request, Some(target), true);
    }

    /// Replaces the target that holds or receives a copy of a generation's KV cache.
    fn set_copy_target(
        &mut self,
        request: &RequestId,
        copy_target: Option<&TargetId>,
        in_transfer: bool,
    ) {
        self.remove_copy(request);
        let in_flight = self
            .assigned_state(request)
            .and_then(|state| state.requests.get_mut(request));
        let Some(in_flight) = in_flight else {
            return;
        };
        in_flight.has_backup = copy_target.is_some() && !in_transfer;
        in_flight.off_link = false;
        let tokens = in_flight.resident_tokens();
        if let Some(assignment) = self.assignments.get_mut(request) {
            assignment.copy_target = copy_target.cloned();
        }
        if let Some(state) = self.copy_state(request) {
            let kv_copy = KvCopy {
                tokens,
                in_transfer,
            };
            state.copies.insert(request.clone(), kv_copy);
        }
    }

    /// Chooses a target to which a running generation can be migrated.
    #[must_use]
    pub fn choose_migration_target(&self, request: &RequestId, now: Timestamp) -> Option<Choice> {
        let demand = self.copy_demand(request)?;
        self.choose(&demand, self.options.migration_headroom, now)
    }

    /// Chooses a target for the backup of a generation, if one has enough headroom.
    #[must_use]
    pub fn choose_backup_target(&self, request: &RequestId, now: Timestamp) -> Option<Choice> {
        let demand = self.copy_demand(request)?;
        self.choose(&demand, self.options.backup_headroom, now)
    }

    /// Chooses a target for the copy that comes with stopping a run of which the copy is not needed: the nearest one that
    /// may hold it, whatever its load.
    #[must_use]
    pub fn choose_stop_destination(
        &self,
        service: &ServiceId,
        source: &TargetId,
        regions: &AllowedRegions,
    ) -> Option<Choice> {
        let place = self.targets.get(source).map(|state| &state.entry);
        let others = self.targets.values().filter(|state| {
            state.entry.service == *service
                && state.entry.id != *source
                && !state.leaving
                && self.is_permitted(state, regions)
        });
        let distance = |state: &&TargetState| {
            let is_near = |near: fn(&TargetEntry, &TargetEntry) -> bool| {
                place.is_some_and(|place| near(place, &state.entry))
            };
            (
                !is_near(|a, b| a.zone == b.zone),
                !is_near(|a, b| a.region == b.region),
                state.local_load().count,
            )
        };
        let nearest = others.min_by_key(distance)?;
        self.choice_for(&nearest.entry.id)
    }

    /// Records that a migration needs the source's link no longer for its first copy: that copy is
    /// complete, or no destination has room.
    pub fn release_link(&mut self, request: &RequestId) {
        let state = self.assigned_state(request);
        if let Some(in_flight) = state.and_then(|state| state.requests.get_mut(request)) {
            in_flight.off_link = true;
        }
    }

    /// Returns how long a generation must wait before its first copy off a leaving target may begin;
    /// zero if it may begin now. After the wait, the caller asks again.
    ///
    /// Copies queue on the target's link, which can copy only a part of a full engine within the notice.
    /// So VMs copy in the order of their zones and names, each its own generations by remaining output,
    /// the longest first, and a copy begins when few others are ahead of it: the link is always busy,
    /// and a copy that would not be complete in time delays no other. VMs need no coordination, because
    /// each learns from gossip how many tokens its peers have yet to copy.
    ///
    /// A generation that is expected to end soon is delayed by a fixed time that the notice allows for,
    /// so that it can end in place.
    #[must_use]
    pub fn copy_wait(
        &self,
        request: &RequestId,
        started_at: Timestamp,
        now: Timestamp,
    ) -> Duration {
        let Some((source, in_flight)) = self.running(request) else {
            return Duration::ZERO;
        };
        let noticed_at = source.noticed_at.unwrap_or(started_at);
        let end_delay = (noticed_at + NEAR_END_DELAY).saturating_sub(now);
        if ends_soon(in_flight) && !end_delay.is_zero() {
            return end_delay;
        }
        let queue_time =
            self.options.link_time * self.earlier_tokens(source, request, in_flight, now);
        let copy_time = self.options.link_time * in_flight.resident_tokens();
        let stop_at = noticed_at + STOP_DELAY;
        let last_chance = (stop_at + STOP_TIME).saturating_sub(now);
        let is_next = queue_time <= LINK_QUEUE;
        if is_next && now + queue_time + copy_time <= stop_at {
            return Duration::ZERO;
        }
        last_chance.min(LINK_POLL)
    }

    /// Returns how long a generation whose first copy is complete must wait before its last copy, which
    /// stops it, may begin; zero if it may begin now. After the wait, the caller asks again.
    ///
    /// The generation is paused until the last copy is complete. The copy is short but waits for all
    /// others on the link, so it begins when no first copies are left or when the notice is nearly over.
    #[must_use]
    pub fn stop_wait(
        &self,
        request: &RequestId,
        started_at: Timestamp,
        now: Timestamp,
    ) -> Duration {
        let Some((source, _)) = self.running(request) else {
            return Duration::ZERO;
        };
        let own = source.requests.values().any(uses_link);
        let peers = self.all_peers(now);
        let mut tokens = peers.map(|snapshot| tokens_to_copy(snapshot, source));
        if own || tokens.any(|tokens| tokens > 0) {
            let noticed_at = source.noticed_at.unwrap_or(started_at);
            let remaining = (noticed_at + STOP_DELAY).saturating_sub(now);
            return remaining.min(LINK_POLL);
        }
        Duration::ZERO
    }

    /// Returns the tokens that are copied before those of a generation.
    fn earlier_tokens(
        &self,
        source: &TargetState,
        request: &RequestId,
        in_flight: &InFlightRequest,
        now: Timestamp,
    ) -> u32 {
        let key = (in_flight.remaining_output(), request);
        let own: u32 = source
            .requests
            .iter()
            .filter(|(id, other)| uses_link(other) && (other.remaining_output(), *id) > key)
            .map(|(_, other)| other.migration_tokens())
            .sum();
        let peers: u32 = self
            .earlier_peers(now)
            .map(|snapshot| tokens_to_copy(snapshot, source))
            .sum();
        own + peers
    }

    /// Returns the target that runs a request, and the request.
    fn running(&self, request: &RequestId) -> Option<(&TargetState, &InFlightRequest)> {
        let source = self.targets.get(&self.assignments.get(request)?.target)?;
        Some((source, source.requests.get(request)?))
    }

    /// Returns the tokens that a generation holds in the KV cache now.
    #[must_use]
    pub fn resident_tokens(&self, request: &RequestId) -> u32 {
        self.running(request)
            .map_or(0, |(_, in_flight)| in_flight.resident_tokens())
    }

    /// Describes the copy of a generation to another target.
    fn copy_demand(&self, request: &RequestId) -> Option<Demand> {
        let (source, in_flight) = self.running(request)?;
        Some(Demand {
            // The copy includes the KV cache of the prompt, so no prefill is needed.
            need: Need {
                prompt: in_flight.resident_tokens(),
                output: in_flight.remaining_output(),
                prefilled: true,
            },
            is_copy: true,
            avoid: vec![source.entry.id.clone()],
            zone: source.entry.zone.clone(),
            region: source.entry.region.clone(),
            ..in_flight.demand.clone()
        })
    }

    /// Returns the target that holds or receives a copy of a generation.
    pub(super) fn copy_state(&mut self, request: &RequestId) -> Option<&mut TargetState> {
        self.targets
            .get_mut(self.assignments.get(request)?.copy_target.as_ref()?)
    }

    pub(super) fn remove_copy(&mut self, request: &RequestId) {
        if let Some(state) = self.copy_state(request) {
            state.copies.remove(request);
        }
    }
}

/// Returns whether a generation is expected to end before its migration would have to begin.
fn ends_soon(in_flight: &InFlightRequest) -> bool {
    TYPICAL_TOKEN_TIME * in_flight.remaining_output() < NEAR_END_DELAY
}

/// Returns whether a generation uses the link of a leaving target, or will soon.
fn uses_link(in_flight: &InFlightRequest) -> bool {
    in_flight.migration_tokens() > 0 && !ends_soon(in_flight)
}

/// Returns the tokens that a peer has yet to copy off a target.
fn tokens_to_copy(snapshot: &PeerSnapshot, source: &TargetState) -> u32 {
    let load = snapshot.loads.get(&source.entry.id);
    load.map_or(0, |load| load.migration_tokens)
}
