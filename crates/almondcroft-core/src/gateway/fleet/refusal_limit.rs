//! Limits that targets state on the requests a second that they can turn away.
//!
//! They answer targets that fail if they have to refuse too much, under bursts and while their queues
//! shrink without notice. Most slots of such a target are dealt to the VMs, which use no more than theirs
//! at a time: short calls end before VMs hear of each other's. Its KV cache is filled less. After a
//! refusal, a VM keeps away for so long that the refusals of all VMs together stay below the limit. What
//! finds no place waits at the VM, or is refused at once.

use super::target_state::TargetState;
use super::target_statements::STATEMENT_RETENTION;
use super::{Fleet, stable_hash};
use crate::Timestamp;
use crate::gateway::number::floor_to_usize;
use std::time::Duration;

/// Fraction of its KV cache to which an engine with such a limit is filled.
const FILL_FRACTION: f64 = 0.7;

/// Fraction of its slots that are dealt to the VMs.
const SLOT_FRACTION: f64 = 0.85;

/// Fraction of the limit that the refusals of all VMs may reach.
const USED_FRACTION: f64 = 0.5;

/// Longest time for which a VM keeps away after a refusal.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(10);

/// The last statement of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusalLimit {
    per_second: f64,
    stated_at: Timestamp,
}

impl RefusalLimit {
    pub(super) fn holds(&self, now: Timestamp) -> bool {
        now < self.stated_at + STATEMENT_RETENTION
    }

    /// Returns how long one of a number of VMs keeps away after a refusal.
    pub(super) fn backoff(&self, vm_count: usize) -> Duration {
        let vms = f64::from(u32::try_from(vm_count).unwrap_or(u32::MAX));
        let seconds = vms / (self.per_second * USED_FRACTION);
        let time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        time.min(MAX_REFUSAL_BACKOFF)
    }
}

/// Returns the fraction of its room to which a target is filled.
pub(super) fn fill_fraction(limit: Option<RefusalLimit>, now: Timestamp) -> f64 {
    if limit.is_some_and(|limit| limit.holds(now)) {
        FILL_FRACTION
    } else {
        1.0
    }
}

impl Fleet {
    /// Returns whether this VM may place another request on a target, as far as its refusals matter.
    ///
    /// A VM that got no slot of any target of the service uses one of a single target, which the slots that
    /// are not dealt make room for.
    pub(super) fn has_dealt_slot(&self, state: &TargetState, slots: u32, now: Timestamp) -> bool {
        if !state
            .statements
            .refusal_limit
            .is_some_and(|limit| limit.holds(now))
        {
            return true;
        }
        let own = self.dealt_slots(state, slots);
        if own > 0 {
            return state.requests.len() < own;
        }
        let others = self.targets.values();
        let mut others = others.filter(|other| other.entry.service == state.entry.service);
        let rank = |state: &TargetState| stable_hash((&self.vm, &state.entry.id));
        state.requests.is_empty()
            && others.all(|other| self.dealt_slots(other, slots) == 0 && rank(other) >= rank(state))
    }

    fn dealt_slots(&self, state: &TargetState, slots: u32) -> usize {
        let dealt = floor_to_usize(f64::from(slots) * SLOT_FRACTION).max(1);
        self.deal(&state.entry.id, |_| dealt).1
    }

    /// Records how many requests a second a target can turn away, `None` if it states no limit; returns
    /// whether this is a change.
    pub fn record_refusal_limit(
        &mut self,
        target: &str,
        per_second: Option<f64>,
        now: Timestamp,
    ) -> bool {
        let Some(state) = self.targets.get_mut(target) else {
            return false;
        };
        let known = state.statements.refusal_limit.map(|limit| limit.per_second);
        state.statements.refusal_limit = per_second.map(|per_second| RefusalLimit {
            per_second,
            stated_at: now,
        });
        known != per_second
    }
}
