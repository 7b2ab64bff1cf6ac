//! The router itself.

use super::pace::Pace;
use super::queue::Queue;
use super::target::{Need, TargetState, need};
use super::{
    Decision, Estimator, LoadReport, Policy, RefuseReason, RouteRequest, RouterOptions, TargetSpec,
};
use crate::config::Objective;
use crate::{RequestId, ServiceId, TargetId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest gap between tokens in the moving average.
const GAP_WEIGHT: f64 = 0.05;

/// Quantile of the output length that must fit before the deadline for a request to be tried.
const LATE_QUANTILE: f64 = 0.25;

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
///         known_length: None,
///     },
///     now,
/// );
/// assert!(matches!(&decisions[0], Decision::Dispatch { target, .. } if target == "engine-1"));
/// ```
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    targets: Vec<TargetState>,
    by_id: HashMap<TargetId, usize>,
    by_service: HashMap<ServiceId, Vec<usize>>,
    queue: Queue,
    placed: HashMap<RequestId, usize>,
    estimator: Estimator,
    gap: f64,
    pace: Pace,
    turn: usize,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without targets.
    #[must_use]
    pub fn new(options: RouterOptions, seed: u64) -> Self {
        Self {
            options,
            targets: Vec::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            queue: Queue::default(),
            placed: HashMap::new(),
            estimator: Estimator::default(),
            gap: options.initial_gap.as_secs_f64(),
            pace: Pace::default(),
            turn: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the targets; those that stay keep their state, those that go finish their work.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>) {
        for state in &mut self.targets {
            state.removed = true;
        }
        for spec in specs {
            if let Some(index) = self.by_id.get(&spec.id) {
                let state = &mut self.targets[*index];
                state.removed = false;
                state.spec = spec;
            } else {
                self.by_id.insert(spec.id.clone(), self.targets.len());
                self.targets.push(TargetState::new(spec));
            }
        }
        self.by_service.clear();
        for (index, state) in self.targets.iter().enumerate() {
            if state.removed {
                continue;
            }
            for service in &state.spec.services {
                let able = self.by_service.entry(service.clone()).or_default();
                able.push(index);
            }
        }
    }

    /// Sets what the deployment weighs most.
    pub const fn set_objective(&mut self, objective: Objective) {
        self.options = self.options.with_objective(objective);
    }

    /// Sets the number of VMs that send to the same targets.
    pub const fn set_vms(&mut self, vms: u32) {
        self.options.vms = vms;
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests at a target.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> usize {
        self.by_id
            .get(target)
            .map_or(0, |index| self.targets[*index].in_flight())
    }

    /// Takes a new request.
    pub fn submit(&mut self, request: RouteRequest, now: Timestamp) -> Vec<Decision> {
        if self.queue.len() >= self.options.max_queue {
            return vec![refuse(&request, RefuseReason::QueueFull)];
        }
        if let Some(reason) = self.hopeless(&request, now) {
            return vec![refuse(&request, reason)];
        }
        if self.waits_too_long(&request, now) {
            return vec![refuse(&request, RefuseReason::Overload)];
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
        let Some(index) = self.by_id.get(failed).copied() else {
            return self.submit(request, now);
        };
        let usable = std::mem::replace(&mut self.targets[index].usable, false);
        let decisions = self.submit(request, now);
        self.targets[index].usable = usable;
        decisions
    }

    /// Takes a load report.
    pub fn report(&mut self, target: &str, report: LoadReport, now: Timestamp) -> Vec<Decision> {
        let Some(index) = self.by_id.get(target) else {
            return Vec::new();
        };
        self.targets[*index].take_report(report, now);
        self.drain(now)
    }

    /// Notes whether a target may get new work.
    pub fn set_usable(&mut self, target: &str, usable: bool, now: Timestamp) -> Vec<Decision> {
        if let Some(index) = self.by_id.get(target) {
            self.targets[*index].usable = usable;
        }
        self.drain(now)
    }

    /// Notes that a request has produced this many tokens.
    pub fn progress(&mut self, request: &RequestId, produced: u32, now: Timestamp) {
        let Some(index) = self.placed.get(request) else {
            return;
        };
        let growth = self.options.growth;
        let state = &mut self.targets[*index];
        let gap = state.progress(request, produced, now, &self.estimator, growth);
        if let Some(gap) = gap {
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
        let Some(index) = self.placed.remove(request) else {
            self.queue.remove(request);
            return Vec::new();
        };
        if let Some(flight) = self.targets[index].finish(request)
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
        let mut queue = std::mem::take(&mut self.queue);
        let mut decisions = Vec::new();
        queue.retain(|request| match self.hopeless(request, now) {
            Some(reason) => {
                decisions.push(refuse(request, reason));
                false
            }
            None => true,
        });
        self.queue = queue;
        decisions.extend(self.drain(now));
        decisions
    }

    /// Returns why a request need not wait any longer, if it need not.
    fn hopeless(&self, request: &RouteRequest, now: Timestamp) -> Option<RefuseReason> {
        let able = self.by_service.get(&request.service);
        let any =
            able.is_some_and(|able| able.iter().any(|index| self.targets[*index].takes_work()));
        if !any {
            return Some(RefuseReason::NoTarget);
        }
        let late = self.options.policy == Policy::Almondcroft
            && self.options.refuse_late
            && self.is_late(request, now);
        late.then_some(RefuseReason::Late)
    }

    fn waits_too_long(&self, request: &RouteRequest, now: Timestamp) -> bool {
        if self.options.policy != Policy::Almondcroft {
            return false;
        }
        let ahead = self.queue.ahead_of(request);
        let wait = self.pace.time_for(ahead, now);
        let time = request.deadline.saturating_sub(now);
        wait > time.mul_f64(self.options.max_wait)
    }

    /// Places waiting requests in order, until the first one that has no room.
    fn drain(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(first) = self.queue.first() {
            let Some(index) = choose(
                &self.options,
                &self.targets,
                self.by_service
                    .get(&first.service)
                    .map_or(&[], Vec::as_slice),
                &self.estimator,
                first,
                &mut self.turn,
                &mut self.rng,
            ) else {
                break;
            };
            if let Some(request) = self.queue.pop() {
                decisions.push(self.dispatch(request, index, now));
            }
        }
        decisions
    }

    fn dispatch(&mut self, request: RouteRequest, index: usize, now: Timestamp) -> Decision {
        let id = request.id.clone();
        let need = need(&self.estimator, &request, 0, self.options.growth).tokens;
        self.pace.note(now);
        let state = &mut self.targets[index];
        state.begin(request, need, now);
        self.placed.insert(id.clone(), index);
        Decision::Dispatch {
            request: id,
            target: state.spec.id.clone(),
        }
    }

    fn is_late(&self, request: &RouteRequest, now: Timestamp) -> bool {
        let estimate = || {
            self.estimator
                .quantile(&request.service, &request.customer, 0, LATE_QUANTILE)
        };
        let length = request.known_length.map_or_else(estimate, f64::from);
        let needed = Duration::from_secs_f64(length * self.gap);
        now + needed > request.deadline
    }
}

/// Chooses a target for a request, or `None` where it has to wait.
fn choose(
    options: &RouterOptions,
    targets: &[TargetState],
    able: &[usize],
    estimator: &Estimator,
    request: &RouteRequest,
    turn: &mut usize,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let takes_work = |index: &usize| targets[*index].takes_work();
    if options.policy == Policy::Almondcroft {
        let mine = need(estimator, request, 0, options.growth);
        return least_loaded(options, targets, able, request, mine);
    }
    let able: Vec<usize> = able.iter().copied().filter(takes_work).collect();
    if able.is_empty() {
        return None;
    }
    match options.policy {
        Policy::RoundRobin => {
            *turn += 1;
            Some(able[*turn % able.len()])
        }
        Policy::TwoChoices => {
            let first = able[rng.random_range(0..able.len())];
            let second = able[rng.random_range(0..able.len())];
            let less = targets[second].reported_load() < targets[first].reported_load();
            Some(if less { second } else { first })
        }
        Policy::Almondcroft | Policy::LeastInFlight => able
            .into_iter()
            .min_by_key(|index| targets[*index].in_flight()),
    }
}

/// Returns the target with room whose load is least, after what its prefix cache saves and what the
/// link to it costs.
fn least_loaded(
    options: &RouterOptions,
    targets: &[TargetState],
    able: &[usize],
    request: &RouteRequest,
    mine: Need,
) -> Option<usize> {
    let mut best = None;
    let mut least = f64::INFINITY;
    for &index in able {
        let state = &targets[index];
        if !state.takes_work() {
            continue;
        }
        let fill = state.fill(mine, options);
        let link = if state.spec.region == request.region {
            0.0
        } else {
            LINK_PENALTY_TOKENS
        };
        let load = fill.load + link;
        // Looking a prefix up costs more than the rest, so it is done where it can matter.
        if !fill.room || load - options.prefix_bonus >= least {
            continue;
        }
        let known = state.has_prefix(request.prefix);
        let cost = if known {
            load - options.prefix_bonus
        } else {
            load
        };
        if cost < least {
            least = cost;
            best = Some(index);
        }
    }
    best
}

fn refuse(request: &RouteRequest, reason: RefuseReason) -> Decision {
    Decision::Refuse {
        request: request.id.clone(),
        reason,
        retry_after: RETRY_AFTER,
    }
}
