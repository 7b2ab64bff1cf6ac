//! Chooses among targets by the time that they are expected to cost.

use super::state::TargetState;
use super::{Demand, Fleet, draw, draw_next};
use crate::gateway::EngineSpec;
use crate::gateway::number::floor_to_usize;
use crate::{TargetId, Timestamp};
use std::net::SocketAddr;
use std::time::Duration;

/// Expected memory of a request of which only its presence is known, in tokens.
const UNKNOWN_TOKENS: f64 = 3_000.0;

/// Cost of a target that fails every request, as a multiple of the caller's patience.
const FAILURE_COST: f64 = 0.5;

/// Names the target that a request is sent to, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that are taken to be there, this VM's and others'.
    pub beside: u32,
    /// Time that the choice was expected to cost.
    pub cost: Duration,
}

/// Sums up the load of a target as it is believed to be.
struct Load {
    count: f64,
    tokens: f64,
    unread: f64,
    arriving: f64,
}

impl Fleet {
    /// Returns the cheapest target with room, if any has room.
    pub(super) fn choose(&self, demand: &Demand, headroom: f64, now: Timestamp) -> Option<Choice> {
        let engine = self
            .pools
            .get(&demand.service)
            .and_then(|pool| pool.engine.as_ref());
        let able = |state: &&TargetState| {
            state.entry.service == demand.service
                && state.takes_work(now)
                && !demand.avoid.contains(&state.entry.id)
                && !self.too_far(state, demand)
        };
        let able: Vec<&TargetState> = self.targets.values().filter(able).collect();
        let sample = self.options.sample;
        if able.len() > sample && !demand.copied {
            let seed = draw((&self.vm, &demand.id));
            let mut places: Vec<(u64, usize)> = (0..able.len())
                .zip(0..)
                .map(|(place, number)| (draw_next(seed, number), place))
                .collect();
            places.select_nth_unstable(sample);
            let drawn = places[..sample].iter().map(|(_, place)| able[*place]);
            let drawn: Vec<&TargetState> = drawn.collect();
            let drawn = self.cheapest(&drawn, demand, engine, headroom, now);
            if drawn.is_some() {
                return drawn;
            }
        }
        self.cheapest(&able, demand, engine, headroom, now)
    }

    fn cheapest(
        &self,
        able: &[&TargetState],
        demand: &Demand,
        engine: Option<&EngineSpec>,
        headroom: f64,
        now: Timestamp,
    ) -> Option<Choice> {
        let mut best: Option<(f64, &TargetState, f64)> = None;
        for state in able {
            let load = self.load(state, now);
            let work = match engine {
                Some(engine) => self.engine_cost(engine, &load, demand, headroom),
                None => self.plain_cost(state, &load),
            };
            let Some(work) = work else {
                continue;
            };
            let cost = work + self.extra_cost(state, demand, now);
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, state, load.count));
            }
        }
        best.map(|(cost, state, count)| Choice {
            target: state.entry.id.clone(),
            address: state.entry.address,
            beside: u32::try_from(floor_to_usize(count)).unwrap_or(u32::MAX),
            cost: Duration::from_secs_f64(cost.max(0.0)),
        })
    }

    /// Sums up own requests and what is known of others'.
    fn load(&self, state: &TargetState, now: Timestamp) -> Load {
        let own = state.own_load();
        let peers = self.sums.get(&state.entry.id).copied().unwrap_or_default();
        // What the target tells counts only requests; the other VMs know their sizes.
        let told = if self.peers.is_empty() {
            state.told_count(now)
        } else {
            0.0
        };
        Load {
            count: f64::from(own.count + peers.count) + told,
            tokens: f64::from(own.tokens) + f64::from(peers.tokens) + told * UNKNOWN_TOKENS,
            unread: f64::from(own.unread) + f64::from(peers.unread),
            arriving: f64::from(own.arriving) + f64::from(peers.arriving),
        }
    }

    /// Returns what speaks against a target whatever its load, in seconds.
    fn extra_cost(&self, state: &TargetState, demand: &Demand, now: Timestamp) -> f64 {
        let cold = state.entry.cold_until.saturating_sub(now).as_secs_f64();
        let failing = state.failure_rate * demand.patience.as_secs_f64() * FAILURE_COST;
        self.distance(state, demand) + cold + failing
    }

    /// Returns the expected time in seconds, or `None` where the engine has no room.
    fn engine_cost(
        &self,
        engine: &EngineSpec,
        load: &Load,
        demand: &Demand,
        headroom: f64,
    ) -> Option<f64> {
        let options = &self.options;
        let memory = f64::from(engine.kv_tokens);
        let filled = load.tokens + f64::from(demand.need.tokens());
        let read = load.unread / options.read_rate;
        // A request as large as a whole engine still runs, but a copy is never worth that.
        let empty = load.count < 1.0 && !demand.copied;
        let room = filled <= memory * headroom
            && load.count < f64::from(engine.slots)
            && read <= options.read_backlog.as_secs_f64();
        if !room && !empty {
            return None;
        }
        let own = f64::from(demand.need.unread()) / options.read_rate;
        let beside = load.count * options.beside_cost.as_secs_f64();
        let full = filled / memory * options.memory_cost.as_secs_f64();
        // A copy waits until the links of both ends are free, and holds up its source meanwhile.
        let link = if demand.copied {
            load.arriving * options.copy_cost.as_secs_f64()
        } else {
            0.0
        };
        Some(read + own + beside + full + link)
    }

    fn plain_cost(&self, state: &TargetState, load: &Load) -> Option<f64> {
        let slots = f64::from(state.entry.slots.max(1));
        if load.count >= slots * (1.0 + self.options.plain_queue) {
            return None;
        }
        let time = state.answer_time.as_secs_f64();
        let waits = (load.count + 1.0 - slots).max(0.0) / slots;
        Some(time * (1.0 + waits + load.count / slots))
    }

    /// Returns whether a copy would take too long to another region.
    fn too_far(&self, state: &TargetState, demand: &Demand) -> bool {
        let far = demand.copied && state.entry.region != demand.region;
        far && self.options.far_copy_cost * demand.need.prompt > self.options.far_copy_limit
    }

    fn distance(&self, state: &TargetState, demand: &Demand) -> f64 {
        if demand.copied && state.entry.zone != demand.zone {
            let token_cost = if state.entry.region == demand.region {
                self.options.copy_cost
            } else {
                self.options.far_copy_cost
            };
            return f64::from(demand.need.prompt) * token_cost.as_secs_f64();
        }
        let cost = if state.entry.region != demand.region {
            self.options.region_cost
        } else if state.entry.zone == demand.zone {
            Duration::ZERO
        } else {
            self.options.zone_cost
        };
        cost.as_secs_f64()
    }
}
