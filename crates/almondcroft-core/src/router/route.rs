//! The router: admission, queueing and choice of target.

use super::dispatch_rate::DispatchRate;
use super::queue::AdmissionQueue;
use super::target::{DemandEstimate, TargetState, estimate_demand};
use super::{
    Decision, LengthEstimator, LoadReport, Policy, RefusalReason, RouteRequest, RouterOptions,
    TargetSpec,
};
use crate::config::Objective;
use crate::{RequestId, ServiceId, TargetId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest gap between tokens in the exponential moving average.
const TOKEN_GAP_WEIGHT: f64 = 0.05;

/// Quantile of the output length that must fit before the deadline, or the request is refused as
/// late.
const LATE_QUANTILE: f64 = 0.25;

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Load penalty of a target in another region, in tokens.
const LINK_PENALTY_TOKENS: f64 = 2_000.0;

/// Routes requests to targets.
///
/// Every request, load report, progress update and completion is passed to it, and each call
/// returns the decisions that follow from the event. Routing is deterministic: the same events with
/// the same times and seed give the same decisions.
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
    queue: AdmissionQueue,
    assignments: HashMap<RequestId, usize>,
    estimator: LengthEstimator,
    token_gap: f64,
    dispatch_rate: DispatchRate,
    round_robin: usize,
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
            queue: AdmissionQueue::default(),
            assignments: HashMap::new(),
            estimator: LengthEstimator::default(),
            token_gap: options.initial_gap.as_secs_f64(),
            dispatch_rate: DispatchRate::default(),
            round_robin: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the targets.
    ///
    /// Targets that remain keep their state. Removed targets finish the requests that they have.
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
                let candidates = self.by_service.entry(service.clone()).or_default();
                candidates.push(index);
            }
        }
    }

    /// Applies the deployment's objective to the options.
    pub const fn set_objective(&mut self, objective: Objective) {
        self.options = self.options.with_objective(objective);
    }

    /// Sets the number of VMs that send to the same targets, including this one.
    pub const fn set_vm_count(&mut self, vms: u32) {
        self.options.vms = vms;
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that this VM has in flight at a target.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> usize {
        self.by_id
            .get(target)
            .map_or(0, |index| self.targets[*index].in_flight())
    }

    /// Queues a new request and dispatches it if a target has room, or refuses it at once.
    pub fn submit(&mut self, request: RouteRequest, now: Timestamp) -> Vec<Decision> {
        if self.queue.len() >= self.options.max_queue {
            return vec![refuse(&request, RefusalReason::QueueFull)];
        }
        if let Some(reason) = self.refusal_reason(&request, now) {
            return vec![refuse(&request, reason)];
        }
        if self.exceeds_max_wait(&request, now) {
            return vec![refuse(&request, RefusalReason::Overload)];
        }
        self.queue.push(request);
        self.dispatch_waiting(now)
    }

    /// Submits a request again after it failed at a target, which this call does not choose.
    ///
    /// A request that has to wait in the queue may be sent to that target later. The caller decides
    /// whether the request may be sent again.
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

    /// Records a target's load report.
    pub fn record_reported_load(
        &mut self,
        target: &str,
        report: LoadReport,
        now: Timestamp,
    ) -> Vec<Decision> {
        let Some(index) = self.by_id.get(target) else {
            return Vec::new();
        };
        self.targets[*index].record_reported_load(report, now);
        self.dispatch_waiting(now)
    }

    /// Sets whether a target may receive new requests.
    pub fn set_usable(&mut self, target: &str, usable: bool, now: Timestamp) -> Vec<Decision> {
        if let Some(index) = self.by_id.get(target) {
            self.targets[*index].usable = usable;
        }
        self.dispatch_waiting(now)
    }

    /// Records that a request has produced `produced` tokens in total.
    pub fn record_progress(&mut self, request: &RequestId, produced: u32, now: Timestamp) {
        let Some(index) = self.assignments.get(request) else {
            return;
        };
        let growth = self.options.growth;
        let state = &mut self.targets[*index];
        let gap = state.record_progress(request, produced, now, &self.estimator, growth);
        if let Some(gap) = gap {
            self.token_gap += TOKEN_GAP_WEIGHT * (gap - self.token_gap);
        }
    }

    /// Records the end of a request; `complete` says whether the whole output was produced.
    ///
    /// Only complete outputs count towards the length estimates.
    pub fn record_finish(
        &mut self,
        request: &RequestId,
        complete: bool,
        now: Timestamp,
    ) -> Vec<Decision> {
        let Some(index) = self.assignments.remove(request) else {
            self.queue.remove(request);
            return Vec::new();
        };
        if let Some(entry) = self.targets[index].remove(request)
            && complete
        {
            let request = &entry.request;
            self.estimator
                .record(&request.service, &request.customer, entry.produced);
        }
        self.dispatch_waiting(now)
    }

    /// Refuses queued requests that became late and dispatches those for which there is room.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut queue = std::mem::take(&mut self.queue);
        let mut decisions = Vec::new();
        queue.retain(|request| match self.refusal_reason(request, now) {
            Some(reason) => {
                decisions.push(refuse(request, reason));
                false
            }
            None => true,
        });
        self.queue = queue;
        decisions.extend(self.dispatch_waiting(now));
        decisions
    }

    /// Returns the reason to refuse a request that cannot be served in time, or `None` if it may
    /// wait.
    fn refusal_reason(&self, request: &RouteRequest, now: Timestamp) -> Option<RefusalReason> {
        let candidates = self.by_service.get(&request.service);
        let available = candidates.is_some_and(|candidates| {
            candidates
                .iter()
                .any(|index| self.targets[*index].accepts_requests())
        });
        if !available {
            return Some(RefusalReason::NoTarget);
        }
        let late = self.options.policy == Policy::Almondcroft
            && self.options.refuse_late
            && self.is_late(request, now);
        late.then_some(RefusalReason::Late)
    }

    /// Returns whether the expected wait exceeds the allowed fraction of the time to the deadline.
    fn exceeds_max_wait(&self, request: &RouteRequest, now: Timestamp) -> bool {
        if self.options.policy != Policy::Almondcroft {
            return false;
        }
        let ahead = self.queue.count_ahead(request);
        let wait = self.dispatch_rate.estimate_wait(ahead, now);
        let remaining = request.deadline.saturating_sub(now);
        wait > remaining.mul_f64(self.options.max_wait)
    }

    /// Dispatches queued requests in order, up to the first one for which no target has room.
    fn dispatch_waiting(&mut self, now: Timestamp) -> Vec<Decision> {
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
                &mut self.round_robin,
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
        let kv_demand =
            estimate_demand(&self.estimator, &request, 0, self.options.growth).kv_tokens;
        self.dispatch_rate.record(now);
        let state = &mut self.targets[index];
        state.record_dispatch(request, kv_demand, now);
        self.assignments.insert(id.clone(), index);
        Decision::Dispatch {
            request: id,
            target: state.spec.id.clone(),
        }
    }

    /// Returns whether a request is unlikely to complete before its deadline.
    fn is_late(&self, request: &RouteRequest, now: Timestamp) -> bool {
        let estimate = || {
            self.estimator
                .quantile(&request.service, &request.customer, 0, LATE_QUANTILE)
        };
        let length = request.known_length.map_or_else(estimate, f64::from);
        let needed = Duration::from_secs_f64(length * self.token_gap);
        now + needed > request.deadline
    }
}

/// Chooses a target for a request, or returns `None` if the request has to wait.
fn choose(
    options: &RouterOptions,
    targets: &[TargetState],
    candidates: &[usize],
    estimator: &LengthEstimator,
    request: &RouteRequest,
    round_robin: &mut usize,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let accepts_requests = |index: &usize| targets[*index].accepts_requests();
    if options.policy == Policy::Almondcroft {
        let demand = estimate_demand(estimator, request, 0, options.growth);
        return least_loaded(options, targets, candidates, request, demand);
    }
    let candidates: Vec<usize> = candidates
        .iter()
        .copied()
        .filter(accepts_requests)
        .collect();
    if candidates.is_empty() {
        return None;
    }
    match options.policy {
        Policy::RoundRobin => {
            *round_robin += 1;
            Some(candidates[*round_robin % candidates.len()])
        }
        Policy::TwoChoices => {
            let first = candidates[rng.random_range(0..candidates.len())];
            let second = candidates[rng.random_range(0..candidates.len())];
            let less = targets[second].reported_load() < targets[first].reported_load();
            Some(if less { second } else { first })
        }
        Policy::Almondcroft | Policy::LeastInFlight => candidates
            .into_iter()
            .min_by_key(|index| targets[*index].in_flight()),
    }
}

/// Returns the least loaded target that has room.
///
/// A cached prefix lowers a target's load by [`RouterOptions::prefix_bonus`]; a target in another
/// region has [`LINK_PENALTY_TOKENS`] added.
fn least_loaded(
    options: &RouterOptions,
    targets: &[TargetState],
    candidates: &[usize],
    request: &RouteRequest,
    demand: DemandEstimate,
) -> Option<usize> {
    let mut best = None;
    let mut least = f64::INFINITY;
    for &index in candidates {
        let state = &targets[index];
        if !state.accepts_requests() {
            continue;
        }
        let occupancy = state.estimate_occupancy(demand, options);
        let link = if state.spec.region == request.region {
            0.0
        } else {
            LINK_PENALTY_TOKENS
        };
        let load = occupancy.load + link;
        // The prefix lookup is the most expensive step, so targets that the bonus cannot make the
        // cheapest are skipped before it.
        if !occupancy.has_room || load - options.prefix_bonus >= least {
            continue;
        }
        let cached = state.has_prefix(request.prefix);
        let cost = if cached {
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

fn refuse(request: &RouteRequest, reason: RefusalReason) -> Decision {
    Decision::Refuse {
        request: request.id.clone(),
        reason,
        retry_after: RETRY_AFTER,
    }
}
