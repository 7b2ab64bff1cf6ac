//! Limits that targets state on the requests a second that they take from all VMs together.
//!
//! They answer a target in need among sound ones, which get what it does not take. A few VMs, selected
//! alike from the list of registered VMs, get equal shares of a limit as token buckets; the others send nothing
//! there. So the limit holds without messages for each request, also while VMs do not hear of each other or
//! have just started, and a share stays large enough to be of use in a fleet of hundreds. VMs tell each other
//! what a target stated.

use super::limit_statement::{LastStatement, LimitStatement};
use super::rate_limiter::RateLimiter;
use super::target_state::TargetState;
use super::{Demand, Fleet, split_mix, stable_hash};
use crate::gateway::number::floor_to_usize;
use crate::{TargetId, Timestamp, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests a second that a target gets at least, so that it can state when its need is over.
const MIN_PER_SECOND: f64 = 0.2;

/// VMs that share a limit beyond one for each request a second.
const EXTRA_SHARES: usize = 3;

/// Time for which VMs tell each other that a target states no limit any more.
const END_SHARING_TIME: Duration = Duration::from_secs(10);

/// Difference below which two times denote the same statement, as ages grow by the delay of each message.
const TIME_TOLERANCE: Duration = Duration::from_millis(500);

impl Fleet {
    /// Records the requests a second that a target states to take from all VMs together, `None` if it
    /// states no limit; returns whether this is a change.
    pub fn record_stated_limit(
        &mut self,
        target: &str,
        per_second: Option<f64>,
        now: Timestamp,
    ) -> bool {
        let Some(state) = self.targets.get_mut(target) else {
            return false;
        };
        // Peers exchange thousandths.
        let per_second = per_second.map(|limit| (limit * 1_000.0).round() / 1_000.0);
        let known = state.statements.last_limit.and_then(|last| last.per_second);
        if per_second.is_none() && known.is_none() {
            return false;
        }
        state.statements.last_limit = Some(LastStatement {
            per_second,
            at: now,
        });
        let is_change = known != per_second;
        if is_change {
            self.update_share(&target.into(), now);
        }
        is_change
    }

    /// Records what peers know of the statements of targets.
    pub fn merge_stated_limits(&mut self, statements: &[LimitStatement], now: Timestamp) {
        for statement in statements {
            let at = now.saturating_sub(statement.age);
            let Some(state) = self.targets.get_mut(&statement.target) else {
                continue;
            };
            let known = state.statements.last_limit;
            let is_news = match known {
                None => statement.per_second.is_some(),
                Some(known) if known.per_second == statement.per_second => {
                    at > known.at + TIME_TOLERANCE
                }
                Some(known) => at > known.at,
            };
            if is_news && state.entry.incarnation == statement.incarnation {
                state.statements.last_limit = Some(LastStatement {
                    per_second: statement.per_second,
                    at,
                });
                if known.and_then(|known| known.per_second) != statement.per_second {
                    self.update_share(&statement.target, now);
                }
            }
        }
    }

    /// Returns the statements of targets that peers should know.
    #[must_use]
    pub fn stated_limits(&self, now: Timestamp) -> Vec<LimitStatement> {
        let statement = |(id, state): (&TargetId, &TargetState)| {
            let last = state.statements.last_limit?;
            let age = now.saturating_sub(last.at);
            let is_shared = last.per_second.is_some() || age < END_SHARING_TIME;
            is_shared.then(|| LimitStatement {
                target: id.clone(),
                incarnation: state.entry.incarnation,
                per_second: last.per_second,
                age,
            })
        };
        self.targets.iter().filter_map(statement).collect()
    }

    /// Adapts the shares to the VMs that are known, and forgets statements that were not repeated.
    pub(super) fn update_shares(&mut self, now: Timestamp) {
        let may_be_limited: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, state)| {
                let statements = &state.statements;
                statements.last_limit.is_some()
                    || statements.limiter.is_some()
                    || state.is_cold(now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for target in may_be_limited {
            self.update_share(&target, now);
        }
    }

    /// Adapts this VM's share of the rate at which a target takes requests.
    pub(super) fn update_share(&mut self, target: &TargetId, now: Timestamp) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let last = state.statements.last_limit.filter(|last| last.holds(now));
        let stated = last.and_then(|last| last.per_second);
        let stated = stated.map(|limit| self.limit_share(target, limit.max(MIN_PER_SECOND)));
        let cold = self.own_cold_rate(state, now);
        let rate = [stated, cold].into_iter().flatten().reduce(f64::min);
        let seed = stable_hash((&self.vm, target));
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.statements.last_limit = last;
        let Some(rate) = rate else {
            state.statements.limiter = None;
            return;
        };
        // Shares start at different fractions of a token, so that VMs do not send at the same time.
        let fraction = f64::from(u16::try_from(split_mix(seed, 0) >> 48).unwrap_or_default())
            / f64::from(u16::MAX);
        let limiter = state
            .statements
            .limiter
            .get_or_insert(RateLimiter::new(fraction, now));
        limiter.set_rate(rate, now);
    }

    /// Returns this VM's share of a limit, in requests a second; zero for most VMs of a large fleet.
    fn limit_share(&self, target: &TargetId, limit: f64) -> f64 {
        let wanted = floor_to_usize(limit).saturating_add(EXTRA_SHARES);
        let (shares, own_shares) = if self.registered_vms.is_empty() {
            self.deal(target, |vm_count| vm_count.min(wanted))
        } else {
            self.deal_to_registered(target, |vm_count| vm_count.min(wanted))
        };
        if own_shares == 0 {
            return 0.0;
        }
        let shares = u32::try_from(shares).unwrap_or(u32::MAX);
        limit / f64::from(shares.max(1))
    }

    /// Deals shares of a target to all registered VMs, whether they are heard or not; returns how many there are, and
    /// how many this VM has.
    ///
    /// VMs that do not hear each other, or have just started, do not use the same ones.
    pub(super) fn deal_to_registered(
        &self,
        target: &TargetId,
        count: impl FnOnce(usize) -> usize,
    ) -> (usize, usize) {
        let vm_count = self.registered_vms.len() + 1;
        let shares = count(vm_count);
        let position = self.registered_position(target);
        let own = shares / vm_count + usize::from(position < shares % vm_count);
        (shares, own)
    }

    /// Returns how many registered VMs come before this one in the order for a target.
    pub(super) fn registered_position(&self, target: &TargetId) -> usize {
        let target = stable_hash(target);
        let rank = |vm: u64| split_mix(vm, target);
        let own = rank(stable_hash(&self.vm));
        let before = self.registered_vms.iter().filter(|vm| rank(**vm) < own);
        before.count()
    }

    /// Deals shares of a target to all VMs that are heard; returns how many there are, and how many this VM has.
    ///
    /// They are dealt to the zones in turn, and within a zone to the VMs in the order of their hashes. A VM that hears no
    /// other one, as after its start, deals to those that are registered.
    pub(super) fn deal(
        &self,
        target: &TargetId,
        count: impl FnOnce(usize) -> usize,
    ) -> (usize, usize) {
        if self.peers.is_empty() && self.zones.is_empty() {
            return self.deal_to_registered(target, count);
        }
        let mut zones: BTreeMap<&ZoneId, usize> = BTreeMap::from([(&self.zone, 1)]);
        for peer in self.peers.values() {
            *zones.entry(&peer.zone).or_default() += 1;
        }
        for (zone, digest) in &self.zones {
            zones.insert(zone, digest.vm_count);
        }
        let vm_count: usize = zones.values().sum();
        let shares = count(vm_count);
        let own_hash = stable_hash((target, &self.zone));
        let others = zones.keys().filter(|zone| ***zone != self.zone);
        let zones_before = others.filter(|zone| stable_hash((target, **zone)) < own_hash);
        let position = zones_before.count();
        let zone_shares = shares / zones.len() + usize::from(position < shares % zones.len());
        let own_hash = stable_hash((target, &self.vm));
        let neighbours = self.peers.iter().filter(|(_, peer)| peer.zone == self.zone);
        let vms_before = neighbours.filter(|(vm, _)| stable_hash((target, *vm)) < own_hash);
        let (position, zone_vms) = (vms_before.count(), zones[&self.zone].max(1));
        let own = zone_shares / zone_vms + usize::from(position < zone_shares % zone_vms);
        (shares, own)
    }

    /// Returns how long a new request would wait for the limits of its service's targets, and `None` if
    /// this VM has no share of any; zero if a target has no limit.
    pub(super) fn limit_wait(
        &self,
        demand: &Demand,
        ahead: usize,
        now: Timestamp,
    ) -> Option<Duration> {
        let usable = self
            .targets
            .values()
            .filter(|state| self.may_serve(state, demand));
        let limiters: Option<Vec<RateLimiter>> =
            usable.map(|state| state.statements.limiter).collect();
        match limiters {
            None => Some(Duration::ZERO),
            Some(limiters) if limiters.is_empty() => Some(Duration::ZERO),
            Some(limiters) => {
                let count = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
                RateLimiter::wait_for(&limiters, count, now)
            }
        }
    }
}
