//! Requests that wait for a place, and those that are refused because they would wait too long.

use super::queue::AdmissionQueue;
use super::target_state::TargetState;
use super::{
    Choice, Demand, Fleet, MIN_RETRY_AFTER, PlacedRequest, Placement, RefusalReason, refusal,
    retry_after,
};
use crate::{ServiceId, Timestamp};
use std::time::Duration;

/// Maximum number of late requests at the head of a queue to skip in search of one that can be placed;
/// each costs a placement decision.
const MAX_SKIPPED: usize = 8;

impl Fleet {
    /// Returns how long all of some targets still want no requests; zero if one accepts them.
    pub(super) fn backoff_wait(
        &self,
        usable: impl Fn(&TargetState) -> bool,
        now: Timestamp,
    ) -> Duration {
        let ends = self.targets.values().filter(|state| usable(state));
        let first_end = ends.map(TargetState::requested_backoff).min();
        first_end.unwrap_or_default().saturating_sub(now)
    }

    pub(super) fn refuse_until_backoff_ends(
        &mut self,
        service: &ServiceId,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        let usable = |state: &TargetState| {
            state.entry.service == *service
                && !state.leaving
                && !self.evacuated.contains(&state.entry.zone)
        };
        let wait = self.backoff_wait(usable, now);
        let wait_fraction = self.options.wait_fraction;
        let Some(queue) = self.queues.get_mut(service).filter(|_| !wait.is_zero()) else {
            return Vec::new();
        };
        let refused = queue.take_expired(now + wait, wait_fraction);
        refused
            .into_iter()
            .map(|waiting| PlacedRequest {
                request: waiting.demand.id,
                placement: refusal(RefusalReason::Backoff, retry_after(wait)),
            })
            .collect()
    }

    /// Returns the refusal of a request that must not be queued, or `None` if it may be.
    pub(super) fn immediate_refusal(&self, demand: &Demand, now: Timestamp) -> Option<Placement> {
        if !self
            .targets
            .values()
            .any(|state| self.may_serve(state, demand))
        {
            let excluded = demand.regions.is_restricted()
                && self
                    .targets
                    .values()
                    .any(|state| state.entry.service == demand.service && !state.leaving);
            let reason = if excluded {
                RefusalReason::Regions
            } else {
                RefusalReason::NoTarget
            };
            return Some(refusal(reason, MIN_RETRY_AFTER * 5));
        }
        if now >= demand.deadline {
            return Some(refusal(RefusalReason::Late, MIN_RETRY_AFTER));
        }
        let wait = self.backoff_wait(|state| self.may_serve(state, demand), now);
        let wait_limit = demand.caller_timeout.mul_f64(self.options.wait_fraction);
        if wait > wait_limit || now + wait >= demand.deadline {
            return Some(refusal(RefusalReason::Backoff, retry_after(wait)));
        }
        let ahead = self
            .queues
            .get(&demand.service)
            .map_or(0, AdmissionQueue::len);
        match self.limit_wait(demand, ahead, now) {
            // Other VMs may have a share of the limits.
            None => return Some(refusal(RefusalReason::Limit, MIN_RETRY_AFTER * 5)),
            Some(wait) if wait > wait_limit || now + wait >= demand.deadline => {
                return Some(refusal(RefusalReason::Limit, retry_after(wait)));
            }
            Some(_) => {}
        }
        let queue = self.queues.get(&demand.service)?;
        let wait = queue.estimated_wait(demand);
        if wait > wait_limit {
            return Some(refusal(RefusalReason::Overload, retry_after(wait)));
        }
        None
    }

    /// Places the requests whose time in the queue has expired on any target with room, or refuses
    /// them.
    pub(super) fn resolve_expired(
        &mut self,
        service: &ServiceId,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        let wait_fraction = self.options.wait_fraction;
        let Some(queue) = self.queues.get_mut(service) else {
            return Vec::new();
        };
        let expired = queue.take_expired(now, wait_fraction);
        let delay = retry_after(
            queue.completion_interval() * u32::try_from(queue.len()).unwrap_or(u32::MAX),
        );
        let mut placements = Vec::new();
        for waiting in expired {
            let demand = waiting.demand;
            let choice = self.choose(&demand, self.options.headroom, now);
            placements.push(match choice {
                Some(choice) if now < demand.deadline => self.assign(demand, choice, now),
                _ => PlacedRequest {
                    request: demand.id,
                    placement: refusal(RefusalReason::Overload, delay),
                },
            });
        }
        placements
    }

    /// Places waiting requests in order, until the first one for which no target has room.
    ///
    /// A request that is limited to some regions does not hold up others. One that would start late is placed only within the smaller `late_headroom`. This leaves
    /// room for requests that can still start in time, which may overtake it.
    pub(super) fn place_waiting(
        &mut self,
        service: &ServiceId,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        let mut placements = Vec::new();
        let (mut index, mut has_slack) = (0, true);
        while index < MAX_SKIPPED
            && let Some(waiting) = self.queues.get(service).and_then(|queue| queue.get(index))
        {
            let demand = &waiting.demand;
            let choice = self.choose(demand, self.options.headroom, now);
            let late = choice
                .as_ref()
                .is_some_and(|choice| Self::starts_late(demand, choice, now));
            let choice = match choice {
                Some(_) if late && !has_slack => None,
                Some(_) if late => self.choose(demand, self.options.late_headroom, now),
                choice => choice,
            };
            let Some(choice) = choice else {
                if !late && !demand.regions.is_restricted() {
                    break;
                }
                has_slack &= !late;
                index += 1;
                continue;
            };
            let queue = self.queues.get_mut(service);
            let Some(waiting) = queue.and_then(|queue| queue.take(index)) else {
                break;
            };
            placements.push(self.assign(waiting.demand, choice, now));
        }
        placements
    }

    /// Returns whether a generation would start too late at the target chosen for it.
    pub(super) fn starts_late(demand: &Demand, choice: &Choice, now: Timestamp) -> bool {
        demand
            .start_deadline
            .is_some_and(|limit| now.saturating_add(choice.cost) > limit)
    }
}
