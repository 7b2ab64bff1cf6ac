//! Backups and migrations of running generations: their targets and the order of migrations.

use super::target_state::{InFlightRequest, KvCopy, TargetState};
use super::{Choice, Demand, Fleet, Need};
use crate::{RequestId, TargetId, Timestamp};
use std::time::Duration;

/// Typical decode time per token on an engine that runs several generations.
const TYPICAL_TOKEN_TIME: Duration = Duration::from_millis(10);

/// Delay before a generation that is expected to end soon is migrated off a leaving target.
///
/// Half of the shortest notice before a target shuts down, so that a generation that does not end
/// within the delay can still be migrated.
const NEAR_END_DELAY: Duration = Duration::from_millis(700);

impl Fleet {
    /// Records which target holds a backup of a generation, or that none does.
    ///
    /// A backup is a copy of the KV cache that is kept up to date while the generation runs.
    pub fn set_backup(&mut self, request: &RequestId, copy_target: Option<&TargetId>) {
        self.set_copy_target(request, copy_target, false);
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
        in_flight.has_copy = copy_target.is_some();
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

    /// Returns how long to wait before a generation is migrated off a leaving target.
    ///
    /// Copies queue on the target's link, and the last part of each, during which its generation is
    /// paused, waits for all others. VMs therefore migrate one after another, in the order of their
    /// names. They need no coordination, because each VM learns from gossip roughly how many tokens its
    /// peers have to migrate. A VM migrates its own generations by remaining output, the longest first.
    /// A generation that is expected to end soon is delayed by at least a fixed time that the shutdown
    /// notice allows for, so that it can end in place.
    #[must_use]
    pub fn migration_delay(&self, request: &RequestId, now: Timestamp) -> Duration {
        let Some(source) = self
            .assignments
            .get(request)
            .and_then(|assignment| self.targets.get(&assignment.target))
        else {
            return Duration::ZERO;
        };
        let earlier_peers = self.reachable_peers(now).filter(|(vm, _)| **vm < self.vm);
        let peer_tokens: u32 = earlier_peers
            .filter_map(|(_, snapshot)| snapshot.loads.get(&source.entry.id))
            .map(|load| load.migration_tokens)
            .sum();
        let remaining = source
            .requests
            .get(request)
            .map_or(0, InFlightRequest::remaining_output);
        let min_delay = if TYPICAL_TOKEN_TIME * remaining < NEAR_END_DELAY {
            NEAR_END_DELAY
        } else {
            Duration::ZERO
        };
        let own_tokens: u32 = source
            .requests
            .iter()
            .filter(|(id, in_flight)| (in_flight.remaining_output(), *id) > (remaining, request))
            .map(|(_, in_flight)| in_flight.migration_tokens())
            .sum();
        min_delay.max(self.options.link_time * (peer_tokens + own_tokens))
    }

    /// Returns the tokens that a generation holds in the KV cache now.
    #[must_use]
    pub fn resident_tokens(&self, request: &RequestId) -> u32 {
        let assignment = self.assignments.get(request);
        let state = assignment.and_then(|assignment| self.targets.get(&assignment.target));
        let in_flight = state.and_then(|state| state.requests.get(request));
        in_flight.map_or(0, InFlightRequest::resident_tokens)
    }

    /// Describes the copy of a generation to another target.
    fn copy_demand(&self, request: &RequestId) -> Option<Demand> {
        let source = self.targets.get(&self.assignments.get(request)?.target)?;
        let in_flight = source.requests.get(request)?;
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
