//! Limits on the requests a second that targets get from all VMs together while they are cold.
//!
//! They answer targets that crash under full load shortly after their start, also where a whole zone returns at
//! once, where VMs do not hear each other, and where a target restarted unseen. The permitted rate is dealt like a
//! limit that a target states, as token buckets of one token to a few VMs.

use super::target_state::TargetState;
use super::{Fleet, stable_hash};
use crate::gateway::ColdStart;
use crate::gateway::number::floor_to_usize;
use crate::{TargetId, Timestamp, VmId, ZoneId};
use std::time::Duration;

/// Fraction of the permitted requests of a second that the shares add up to.
///
/// In any second a bucket gives its rate and the one token that it may hold. The rest is for a VM that has registered
/// after the others last read the list of VMs.
const USED_FRACTION: f64 = 0.92;

/// Number of shares, as a fraction of the permitted requests of a second.
const SHARE_FRACTION: f64 = 0.2;

/// Smallest fraction of the permitted requests of a second that is dealt as rate.
const MIN_RATE_FRACTION: f64 = 0.1;

/// Tolerance of a deployment for requests to cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Permitted requests of a second, as a multiple of what a cold target bears.
    pub ratio: f64,
    /// Requests of a second that are permitted beyond.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            slack: 0.0,
        }
    }
}

impl Fleet {
    /// Sets the tolerance for requests to cold targets.
    pub const fn set_cold_bounds(&mut self, bounds: ColdBounds) {
        self.cold_bounds = bounds;
    }

    /// Sets the other VMs that are registered, whether they are reachable or not.
    pub fn set_registered_vms<'a>(&mut self, vms: impl Iterator<Item = &'a VmId>) {
        self.registered_vms = vms.map(stable_hash).collect();
    }

    /// Records that a target states to be cold for a time; returns whether it was not known to be.
    pub fn record_cold(&mut self, target: &TargetId, time: Duration, now: Timestamp) -> bool {
        let Some(state) = self.targets.get_mut(target) else {
            return false;
        };
        let was_cold = state.is_cold(now);
        state.record_cold(now.saturating_add(time));
        self.update_share(target, now);
        !was_cold && !time.is_zero()
    }

    /// Returns whether a target may be cold.
    #[must_use]
    pub fn is_cold(&self, target: &str, now: Timestamp) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| self.cold_start(state).is_some() && state.is_cold(now))
    }

    /// Returns the number of targets whose rate is limited because they are cold.
    #[must_use]
    pub fn cold_count(&self, now: Timestamp) -> usize {
        let cold = self.targets.values();
        cold.filter(|state| self.cold_start(state).is_some() && state.is_cold(now))
            .count()
    }

    /// Lets the targets of availability zones count as cold, as after an evacuation.
    pub(super) fn begin_cold_starts(&mut self, zones: &[ZoneId], now: Timestamp) {
        let of_zones = self.targets.values();
        let of_zones = of_zones.filter(|state| zones.contains(&state.entry.zone));
        let starts: Vec<(TargetId, ColdStart)> = of_zones
            .filter_map(|state| Some((state.entry.id.clone(), self.cold_start(state)?)))
            .collect();
        for (target, start) in starts {
            self.record_cold(&target, start.duration, now);
        }
    }

    /// Records that a target responded, so that a restart that was not seen lies at most a cold start back.
    pub(super) fn record_return(&mut self, target: &TargetId, now: Timestamp) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        if let Some(start) = self.cold_start(state).filter(|_| state.may_have_restarted) {
            self.record_cold(target, start.duration, now);
        }
        if let Some(state) = self.targets.get_mut(target) {
            state.may_have_restarted = false;
        }
    }

    /// Returns this VM's part of the rate of a cold target, in requests a second; `None` if the rate is not limited.
    ///
    /// Shares are dealt by the list of registered VMs, so VMs that do not hear each other do not use the same one.
    pub(super) fn own_cold_rate(&self, state: &TargetState, now: Timestamp) -> Option<f64> {
        let start = self.cold_start(state).filter(|_| state.is_cold(now))?;
        let permitted = start.per_second * self.cold_bounds.ratio + self.cold_bounds.slack;
        let shares = floor_to_usize(permitted * SHARE_FRACTION).max(1);
        let shares = shares.min(self.registered_vms.len() + 1);
        let tokens = f64::from(u32::try_from(shares).unwrap_or(u32::MAX));
        let rate = (permitted * USED_FRACTION - tokens).max(permitted * MIN_RATE_FRACTION);
        Some(if self.registered_position(&state.entry.id) < shares {
            rate / tokens
        } else {
            0.0
        })
    }

    fn cold_start(&self, state: &TargetState) -> Option<ColdStart> {
        self.pools.get(&state.entry.service)?.cold_start
    }
}
