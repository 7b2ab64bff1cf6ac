//! The router itself.

use super::target::{Flight, as_f64, need};
use super::{
    Decision, Estimator, LoadReport, Policy, RefuseReason, RouteRequest, RouterOptions, TargetSpec,
    TargetState,
};
use crate::{RequestId, TargetId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

/// Weight of the newest gap between tokens in the moving average.
const GAP_WEIGHT: f64 = 0.05;

/// KV memory assumed of an engine that has not reported, in tokens.
const DEFAULT_KV_TOKENS: f64 = 40_000.0;

/// Time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Tokens of load that a link between regions outweighs.
const LINK_PENALTY_TOKENS: f64 = 2_000.0;

/// Places requests on targets.
///
/// Feed it every request, report, token and end; it returns the decisions that became due. The same
/// events with the same times and seed give the same decisions.
///
/// # Example
///
/// ```
/// use almondcroft_core::router::{Decision, RouteRequest, Router, RouterOptions, TargetSpec};
/// use std::time::Duration;
///
/// let mut router = Router::new(RouterOptions::default(), 1);
/// router.set_targets(vec![TargetSpec {
///     id: "engine-1".into(),
///     services: vec!["menus".into()],
///     region: "quito".into(),
/// }]);
/// let now = Duration::from_secs(10);
/// let decisions = router.submit(
///     RouteRequest {
///         id: "r-1".into(),
///         customer: "club".into(),
///         service: "menus".into(),
///         priority: 1,
///         worth: 1.0,
///         deadline: now + Duration::from_secs(60),
///         prompt: 100,
///         prefix: None,
///         region: "quito".into(),
///         max_tokens: None,
///     },
///     now,
/// );
/// assert!(matches!(&decisions[0], Decision::Dispatch { target, .. } if target == "engine-1"));
/// ```
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    targets: BTreeMap<TargetId, TargetState>,
    queue: Vec<RouteRequest>,
    placed: BTreeMap<RequestId, TargetId>,
    estimator: Estimator,
    gap: f64,
    turn: usize,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without targets.
    #[must_use]
    pub fn new(options: RouterOptions, seed: u64) -> Self {
        Self {
            options,
            targets: BTreeMap::new(),
            queue: Vec::new(),
            placed: BTreeMap::new(),
            estimator: Estimator::default(),
            gap: options.initial_gap.as_secs_f64(),
            turn: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the targets; those that stay keep their state, those that go finish their work.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>) {
        let mut old = std::mem::take(&mut self.targets);
        for spec in specs {
            let id = spec.id.clone();
            let mut state = old
                .remove(&id)
                .unwrap_or_else(|| TargetState::new(spec.clone()));
            state.spec = spec;
            self.targets.insert(id, state);
        }
        for (id, mut state) in old {
            if !state.flights.is_empty() {
                state.spec.services.clear();
                self.targets.insert(id, state);
            }
        }
    }

    /// Sets the number of VMs that send to the same targets.
    pub const fn set_vms(&mut self, vms: u32) {
        self.options.vms = vms;
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub const fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests at a target.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> usize {
        self.targets
            .get(target)
            .map_or(0, |state| state.flights.len())
    }

    /// Takes a new request.
    pub fn submit(&mut self, request: RouteRequest, now: Timestamp) -> Vec<Decision> {
        if self.queue.len() >= self.options.max_queue {
            return vec![refuse(&request, RefuseReason::QueueFull)];
        }
        self.queue.push(request);
        self.drain(now)
    }

    /// Places a request that failed at a target before it began, away from that target.
    pub fn resubmit(
        &mut self,
        request: RouteRequest,
        failed: &str,
        now: Timestamp,
    ) -> Vec<Decision> {
        let Some(state) = self.targets.get_mut(failed) else {
            return self.submit(request, now);
        };
        let usable = std::mem::replace(&mut state.usable, false);
        let decisions = self.submit(request, now);
        if let Some(state) = self.targets.get_mut(failed) {
            state.usable = usable;
        }
        decisions
    }

    /// Takes a load report.
    pub fn report(&mut self, target: &str, report: LoadReport, now: Timestamp) -> Vec<Decision> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let newer = state.report.is_none_or(|known| known.at <= report.at);
        if newer {
            state.report = Some(report);
        }
        self.drain(now)
    }

    /// Notes whether a target may get new work.
    pub fn set_usable(&mut self, target: &str, usable: bool, now: Timestamp) -> Vec<Decision> {
        if let Some(state) = self.targets.get_mut(target) {
            state.usable = usable;
        }
        self.drain(now)
    }

    /// Notes that a request has produced this many tokens.
    pub fn progress(&mut self, request: &RequestId, produced: u32, now: Timestamp) {
        let Some(flight) = self.flight_mut(request) else {
            return;
        };
        let first = flight.produced == 0;
        let tokens = produced.saturating_sub(flight.produced);
        let elapsed = now.saturating_sub(flight.last).as_secs_f64();
        flight.produced = flight.produced.max(produced);
        flight.last = now;
        if !first && tokens > 0 {
            let gap = elapsed / f64::from(tokens);
            self.gap += GAP_WEIGHT * (gap - self.gap);
        }
    }

    /// Notes the end of a request; `complete` tells whether its output is whole.
    pub fn finished(
        &mut self,
        request: &RequestId,
        complete: bool,
        now: Timestamp,
    ) -> Vec<Decision> {
        let Some(target) = self.placed.remove(request) else {
            self.queue.retain(|waiting| waiting.id != *request);
            return Vec::new();
        };
        let state = self.targets.get_mut(&target);
        if let Some(flight) = state.and_then(|state| state.flights.remove(request))
            && complete
        {
            let request = &flight.request;
            self.estimator
                .note(&request.service, &request.customer, flight.produced);
        }
        self.drain(now)
    }

    /// Notes that time passed: places what has room and refuses what is late.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        self.drain(now)
    }

    fn flight_mut(&mut self, request: &RequestId) -> Option<&mut Flight> {
        let target = self.placed.get(request)?;
        self.targets.get_mut(target)?.flights.get_mut(request)
    }

    fn drain(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.queue.is_empty() {
            return decisions;
        }
        let mut queue = std::mem::take(&mut self.queue);
        if self.options.policy == Policy::Almondcroft {
            queue.sort_by_key(|request| (request.priority, request.deadline));
        }
        for request in queue {
            match self.place(&request, now) {
                Placement::Target(target) => {
                    decisions.push(self.dispatch(request, target, now));
                }
                Placement::Wait => self.queue.push(request),
                Placement::Refuse(reason) => decisions.push(refuse(&request, reason)),
            }
        }
        decisions
    }

    fn dispatch(&mut self, request: RouteRequest, target: TargetId, now: Timestamp) -> Decision {
        let id = request.id.clone();
        if let Some(state) = self.targets.get_mut(&target) {
            if let Some(prefix) = request.prefix {
                state.note_prefix(prefix);
            }
            let flight = Flight {
                request,
                sent: now,
                produced: 0,
                last: now,
            };
            state.flights.insert(id.clone(), flight);
        }
        self.placed.insert(id.clone(), target.clone());
        Decision::Dispatch {
            request: id,
            target,
        }
    }

    fn place(&mut self, request: &RouteRequest, now: Timestamp) -> Placement {
        let able: Vec<&TargetState> = self
            .targets
            .values()
            .filter(|state| state.serves(&request.service))
            .collect();
        if able.is_empty() {
            return Placement::Refuse(RefuseReason::NoTarget);
        }
        match self.options.policy {
            Policy::Almondcroft => self.place_by_headroom(request, &able, now),
            Policy::RoundRobin => {
                self.turn += 1;
                Placement::Target(able[self.turn % able.len()].spec.id.clone())
            }
            Policy::LeastInFlight => {
                let least = able.iter().min_by_key(|state| state.flights.len());
                least.map_or(Placement::Wait, |state| {
                    Placement::Target(state.spec.id.clone())
                })
            }
            Policy::TwoChoices => {
                let first = able[self.rng.random_range(0..able.len())];
                let second = able[self.rng.random_range(0..able.len())];
                let better = if reported_load(second) < reported_load(first) {
                    second
                } else {
                    first
                };
                Placement::Target(better.spec.id.clone())
            }
        }
    }

    fn place_by_headroom(
        &self,
        request: &RouteRequest,
        able: &[&TargetState],
        now: Timestamp,
    ) -> Placement {
        if self.options.refuse_late && self.is_late(request, now) {
            return Placement::Refuse(RefuseReason::Late);
        }
        let best = able
            .iter()
            .filter_map(|state| Some((self.cost(request, state, now)?, &state.spec.id)))
            .min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map_or(Placement::Wait, |(_, id)| Placement::Target(id.clone()))
    }

    fn is_late(&self, request: &RouteRequest, now: Timestamp) -> bool {
        let length = self
            .estimator
            .quantile(&request.service, &request.customer, 0, 0.25);
        let needed = Duration::from_secs_f64(length * self.gap);
        now + needed > request.deadline
    }

    /// Returns the load of a target in tokens, or `None` when it has no room for the request.
    fn cost(&self, request: &RouteRequest, state: &TargetState, now: Timestamp) -> Option<f64> {
        let options = &self.options;
        let total = state
            .report
            .map_or(DEFAULT_KV_TOKENS, |report| as_f64(report.kv_total));
        let own = state.own_need(&self.estimator, options.growth);
        let others = state.others_used(now);
        let mine = need(&self.estimator, request, 0, options.growth);
        let peers = f64::from(options.vms.max(1) - 1);
        let since = as_f64(state.sent_since_report() as u64);
        let unseen = since * peers * mine;
        let load = own + others + unseen.min(total / 2.0);
        let empty = state.flights.is_empty() && others < 1.0;
        if load + mine > options.headroom * total && !empty {
            return None;
        }
        let running = as_f64(state.flights.len() as u64) + state.others_running();
        if running >= f64::from(options.max_batch) {
            return None;
        }
        let prefix = if state.has_prefix(request.prefix) {
            options.prefix_bonus
        } else {
            0.0
        };
        let link = if state.spec.region == request.region {
            0.0
        } else {
            LINK_PENALTY_TOKENS
        };
        Some(load - prefix + link)
    }
}

fn reported_load(state: &TargetState) -> u64 {
    state.report.map_or(0, |report| {
        u64::from(report.running + report.waiting) * 1_000_000 + report.kv_used
    })
}

fn refuse(request: &RouteRequest, reason: RefuseReason) -> Decision {
    Decision::Refuse {
        request: request.id.clone(),
        reason,
        retry_after: RETRY_AFTER,
    }
}

enum Placement {
    Target(TargetId),
    Wait,
    Refuse(RefuseReason),
}
