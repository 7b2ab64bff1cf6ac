//! Selection of the target with the lowest expected cost.

use super::refusal_limit::fill_fraction;
use super::target_state::TargetState;
use super::{Demand, Fleet, split_mix, stable_hash};
use crate::gateway::EngineSpec;
use crate::gateway::number::floor_to_usize;
use crate::{RequestId, TargetId, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// KV cache tokens assumed for a request of unknown size.
const UNKNOWN_TOKENS: f64 = 3_000.0;

/// Cost of a target that fails every request, as a fraction of the caller's timeout.
const FAILURE_COST: f64 = 0.5;

/// Time of a leave notice in which generations can be copied.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_100);

/// The target chosen for a request, with the estimates behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Estimated number of requests of all VMs at the target.
    pub request_count: u32,
    /// Expected cost, as time.
    pub cost: Duration,
}

/// Estimated load of a target over all VMs.
struct LoadEstimate {
    count: f64,
    tokens: f64,
    prefill_tokens: f64,
    incoming_tokens: f64,
}

impl Fleet {
    /// Returns the target with the lowest cost among those with room, if there are any.
    ///
    /// If more targets are eligible than the sample size, a random sample is tried first.
    pub(super) fn choose(&self, demand: &Demand, headroom: f64, now: Timestamp) -> Option<Choice> {
        let engine = self
            .pools
            .get(&demand.service)
            .and_then(|pool| pool.engine.as_ref());
        let eligible = |state: &&TargetState| {
            self.may_serve(state, demand)
                && state.accepts_requests(now)
                && !demand.avoid.contains(&state.entry.id)
                && !self.is_too_far(state, demand)
        };
        let eligible: Vec<&TargetState> = self.targets.values().filter(eligible).collect();
        let sample = self.options.sample_size;
        if eligible.len() > sample && !demand.is_copy {
            let seed = stable_hash((&self.vm, &demand.id));
            let mut indices: Vec<(u64, usize)> = (0..eligible.len())
                .zip(0..)
                .map(|(index, number)| (split_mix(seed, number), index))
                .collect();
            indices.select_nth_unstable(sample);
            let sampled = indices[..sample].iter().map(|(_, index)| eligible[*index]);
            let sampled: Vec<&TargetState> = sampled.collect();
            let sampled = self.cheapest(&sampled, demand, engine, headroom, now);
            if sampled.is_some() {
                return sampled;
            }
        }
        self.cheapest(&eligible, demand, engine, headroom, now)
    }

    /// Returns whether a request would be placed on a target at once.
    #[must_use]
    pub fn has_room(&self, demand: &Demand, now: Timestamp) -> bool {
        let queue = self.queues.get(&demand.service);
        if queue.is_some_and(|queue| queue.len() > 0)
            || self.immediate_refusal(demand, now).is_some()
        {
            return false;
        }
        match self.choose(demand, self.options.headroom, now) {
            Some(choice) if Self::starts_late(demand, &choice, now) => self
                .choose(demand, self.options.late_headroom, now)
                .is_some(),
            choice => choice.is_some(),
        }
    }

    /// Places a second run of a request under an id of its own; `None` if it would not start at once, or others wait.
    ///
    /// The first target is avoided, and its machine and availability zone if another one will do.
    pub fn place_hedge(
        &mut self,
        first: &Demand,
        first_target: &TargetId,
        id: RequestId,
        now: Timestamp,
    ) -> Option<Choice> {
        let others_wait = self
            .queues
            .get(&first.service)
            .is_some_and(|queue| queue.len() > 0);
        if others_wait {
            return None;
        }
        let used = &self.targets.get(first_target)?.entry;
        let (zone, ip) = (used.zone.clone(), used.address.ip());
        let starts_at_once = |state: &&TargetState| {
            let load = self.estimate_load(state, now);
            let engine = self.pools.get(&first.service)?.engine.as_ref();
            let slots = engine.map_or(state.entry.slots, |engine| engine.slots);
            Some(load.count + 1.0 <= f64::from(slots) && load.prefill_tokens < 1.0)
        };
        let demand = Demand {
            id,
            ..first.clone()
        };
        let usable = self.targets.values().filter(|state| {
            self.may_serve(state, &demand)
                && state.accepts_requests(now)
                && state.entry.id != *first_target
                && !demand.avoid.contains(&state.entry.id)
        });
        let usable: Vec<&TargetState> = usable
            .filter(|state| starts_at_once(state) == Some(true))
            .collect();
        let elsewhere: Vec<&TargetState> = usable
            .iter()
            .copied()
            .filter(|state| state.entry.zone != zone && state.entry.address.ip() != ip)
            .collect();
        let engine = self.pools.get(&demand.service)?.engine.as_ref();
        let headroom = self.options.late_headroom;
        let choice = self
            .cheapest(&elsewhere, &demand, engine, headroom, now)
            .or_else(|| self.cheapest(&usable, &demand, engine, headroom, now))?;
        self.assign(demand, choice.clone(), now);
        Some(choice)
    }

    /// Returns the target with room that has the lowest cost.
    fn cheapest(
        &self,
        eligible: &[&TargetState],
        demand: &Demand,
        engine: Option<&EngineSpec>,
        headroom: f64,
        now: Timestamp,
    ) -> Option<Choice> {
        let mut best: Option<(f64, f64, &TargetState, f64)> = None;
        let token_time = mean_token_time(eligible.iter().copied()).unwrap_or_default();
        for state in eligible {
            let slots = engine.map_or(state.entry.slots, |engine| engine.slots);
            if !self.has_dealt_slot(state, slots, now) {
                continue;
            }
            let fill = fill_fraction(state.statements.refusal_limit, now);
            let load = self.estimate_load(state, now);
            let load_cost = match engine {
                Some(engine) => self.engine_cost(engine, &load, demand, headroom * fill),
                None => self.plain_cost(state, &load),
            };
            let Some(load_cost) = load_cost else {
                continue;
            };
            let cost = load_cost + self.load_independent_cost(state, demand, now);
            let token_time = state.token_time.unwrap_or(token_time);
            let rank = cost + self.throughput_cost(&load, demand, token_time);
            if best.is_none_or(|(lowest, ..)| rank < lowest) {
                best = Some((rank, cost, state, load.count));
            }
        }
        best.map(|(_, cost, state, count)| Choice {
            target: state.entry.id.clone(),
            address: state.entry.address,
            request_count: u32::try_from(floor_to_usize(count)).unwrap_or(u32::MAX),
            // An engine of no capacity that is empty has an infinite cost.
            cost: Duration::try_from_secs_f64(cost.max(0.0)).unwrap_or(Duration::MAX),
        })
    }

    /// Adds up the load of this VM and of its peers; without peers, uses the load that the target
    /// reported.
    fn estimate_load(&self, state: &TargetState, now: Timestamp) -> LoadEstimate {
        let own = state.local_load();
        let peers = self
            .peer_totals
            .get(&state.entry.id)
            .copied()
            .unwrap_or_default();
        // A target reports only how many requests it has. Peers also report their sizes, so their
        // snapshots take precedence.
        let external = if self.peers.is_empty() && self.zones.is_empty() {
            state.external_requests(now)
        } else {
            0.0
        };
        LoadEstimate {
            count: f64::from(own.count + peers.count) + external,
            tokens: f64::from(own.tokens) + f64::from(peers.tokens) + external * UNKNOWN_TOKENS,
            prefill_tokens: f64::from(own.prefill_tokens) + f64::from(peers.prefill_tokens),
            incoming_tokens: f64::from(own.incoming_tokens) + f64::from(peers.incoming_tokens),
        }
    }

    /// Returns the part of a target's cost that does not depend on its load, in seconds.
    ///
    /// It covers distance, a cold start and recent failures.
    fn load_independent_cost(&self, state: &TargetState, demand: &Demand, now: Timestamp) -> f64 {
        let cold = state.entry.cold_until.saturating_sub(now).as_secs_f64();
        let failing = state.failure_rate * demand.caller_timeout.as_secs_f64() * FAILURE_COST;
        self.distance_cost(state, demand) + cold + failing
    }

    /// Returns the cost of an engine in seconds, or `None` if it has no room.
    fn engine_cost(
        &self,
        engine: &EngineSpec,
        load: &LoadEstimate,
        demand: &Demand,
        headroom: f64,
    ) -> Option<f64> {
        let options = &self.options;
        let capacity = f64::from(engine.kv_tokens);
        let filled = load.tokens + f64::from(demand.need.tokens());
        let prefill = load.prefill_tokens / options.prefill_rate;
        let waits_for_room = demand.is_patient && !demand.is_copy;
        let (headroom, backlog) = if waits_for_room {
            (
                headroom.min(options.patient_headroom),
                options.patient_backlog,
            )
        } else {
            (headroom, options.prefill_backlog)
        };
        // An empty engine accepts a request of any size, but not a copy that exceeds the headroom.
        let is_empty = load.count < 1.0 && !demand.is_copy;
        let has_room = filled <= capacity * headroom
            && load.count < f64::from(engine.slots)
            && (demand.is_copy || prefill <= backlog.as_secs_f64());
        if !has_room && !is_empty {
            return None;
        }
        let own_prefill = f64::from(demand.need.prefill_tokens()) / options.prefill_rate;
        let concurrency = load.count * options.concurrency_cost.as_secs_f64();
        let fill = filled / capacity * options.memory_cost.as_secs_f64();
        // A copy waits until the links at both ends are free and delays other copies of its source
        // meanwhile.
        let link_wait = if demand.is_copy {
            load.incoming_tokens * options.copy_cost.as_secs_f64()
        } else {
            0.0
        };
        Some(prefill + own_prefill + concurrency + fill + link_wait)
    }

    /// Returns the cost of what follows the start of a generation, in seconds: its own decode time, and
    /// the time for which its prompt delays the requests that run at the engine.
    fn throughput_cost(&self, load: &LoadEstimate, demand: &Demand, token_time: Duration) -> f64 {
        let decode = f64::from(demand.need.output) * token_time.as_secs_f64();
        let prefill = f64::from(demand.need.prefill_tokens()) / self.options.prefill_rate;
        let filled = load.tokens + f64::from(demand.need.tokens());
        let copy_time = filled * self.options.link_time.as_secs_f64();
        let stranded = (copy_time - LEAVE_NOTICE.as_secs_f64()).max(0.0);
        decode * self.options.decode_weight
            + prefill * load.count * self.options.interference_weight
            + stranded * self.options.stranded_weight
    }

    /// Returns the cost of a plain service's target in seconds, or `None` if it has no room.
    fn plain_cost(&self, state: &TargetState, load: &LoadEstimate) -> Option<f64> {
        let slots = f64::from(state.entry.slots.max(1));
        if load.count >= slots * (1.0 + self.options.plain_queue) {
            return None;
        }
        let time = state.response_time.as_secs_f64();
        let waits = (load.count + 1.0 - slots).max(0.0) / slots;
        Some(time * (1.0 + waits + load.count / slots))
    }

    /// Returns whether a copy to the target's region would take too long.
    fn is_too_far(&self, state: &TargetState, demand: &Demand) -> bool {
        let other_region = demand.is_copy && state.entry.region != demand.region;
        other_region
            && self.options.far_copy_cost * demand.need.prompt > self.options.far_copy_limit
    }

    /// Returns the cost of sending a request or a copy to the target's zone, in seconds.
    fn distance_cost(&self, state: &TargetState, demand: &Demand) -> f64 {
        if demand.is_copy && state.entry.zone != demand.zone {
            let token_cost = if state.entry.region == demand.region {
                self.options.copy_cost
            } else {
                self.options.far_copy_cost
            };
            return f64::from(demand.need.prompt) * token_cost.as_secs_f64();
        }
        let options = &self.options;
        let (zone_cost, region_cost) = if demand.need.tokens() > 0 {
            (options.engine_zone_cost, options.engine_region_cost)
        } else {
            (options.zone_cost, options.region_cost)
        };
        let cost = if state.entry.region != demand.region {
            region_cost
        } else if state.entry.zone == demand.zone {
            Duration::ZERO
        } else {
            zone_cost
        };
        cost.as_secs_f64()
    }
}

/// Returns the mean decode time per token of the targets at which it is known.
pub(super) fn mean_token_time<'a>(
    targets: impl Iterator<Item = &'a TargetState>,
) -> Option<Duration> {
    let known = targets.filter_map(|state| state.token_time);
    let (count, sum) = known.fold((0, Duration::ZERO), |(count, sum), time| {
        (count + 1, sum + time)
    });
    sum.checked_div(count)
}
