//! Placement of requests on targets, with an admission queue per service.
//!
//! It is designed for a mix of short generations and long ones of unknown length, on engines whose KV
//! cache holds only a few of them, and for short calls to plain services. Several VMs decide
//! concurrently. Each knows exactly what it sent itself, and learns with a delay what its peers sent.

mod admission;
mod choice;
mod cold_targets;
mod demand;
mod limit_statement;
mod limits;
mod load;
mod migration;
mod options;
mod peers;
mod places;
mod queue;
mod rate_limiter;
mod refusal_limit;
mod retained_statements;
mod target_state;
mod target_statements;

pub use choice::Choice;
pub use cold_targets::ColdBounds;
pub use demand::{Demand, Need};
pub use limit_statement::LimitStatement;
pub use load::{PeerLoad, PeerSnapshot, ZoneDigest};
pub use options::FleetOptions;
pub use peers::lowest_hashes;

use super::{PoolSpec, TargetEntry};
use crate::{RequestId, ServiceId, TargetId, Timestamp, VmId, ZoneId};
use queue::{AdmissionQueue, WaitingRequest};
use retained_statements::RetainedStatements;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use target_state::TargetState;

/// Weight of the newest time between two completions in the moving average.
const COMPLETION_WEIGHT: f64 = 0.1;

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Reason for which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no target, or all of its targets are leaving.
    NoTarget,
    /// It has waited too long in the admission queue, or would have to.
    Overload,
    /// Its deadline has passed.
    Late,
    /// All targets of the service asked for no requests until it would be too late.
    Backoff,
    /// All targets of the service state limits, which leave no place in time.
    Limit,
    /// No target of the service is in a region where it may be served.
    Regions,
}

impl RefusalReason {
    /// Returns the form used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Overload => "overload",
            Self::Late => "late",
            Self::Backoff => "target-backoff",
            Self::Limit => "target-limit",
            Self::Regions => "regions",
        }
    }
}

/// Outcome of the placement of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// It is sent to a target.
    Send(Choice),
    /// It is refused; it has not run.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// A request with the decision on its placement.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedRequest {
    /// The request.
    pub request: RequestId,
    /// The outcome.
    pub placement: Placement,
}

/// Targets of a request in flight: the one that runs it, and the one that holds or receives a copy
/// of its KV cache.
#[derive(Debug, Clone)]
struct Assignment {
    target: TargetId,
    copy_target: Option<TargetId>,
}

/// Tracks all targets and the requests on them, and places new requests.
#[derive(Debug)]
pub struct Fleet {
    vm: VmId,
    zone: ZoneId,
    options: FleetOptions,
    pools: BTreeMap<ServiceId, PoolSpec>,
    targets: BTreeMap<TargetId, TargetState>,
    /// What targets stated whose entries are missing.
    retained_statements: HashMap<TargetId, RetainedStatements>,
    assignments: HashMap<RequestId, Assignment>,
    peers: HashMap<VmId, PeerSnapshot>,
    /// Digests of the other availability zones.
    zones: HashMap<ZoneId, ZoneDigest>,
    /// Load of all peers by target; cached because each decision reads many of them.
    peer_totals: HashMap<TargetId, PeerLoad>,
    queues: BTreeMap<ServiceId, AdmissionQueue>,
    change_count: u64,
    /// Availability zones whose targets get no requests.
    evacuated: BTreeSet<ZoneId>,
    cold_bounds: ColdBounds,
    /// Hashes of the other VMs that are registered.
    registered_vms: Vec<u64>,
}

impl Fleet {
    /// Creates a fleet without targets.
    #[must_use]
    pub fn new(vm: VmId, options: FleetOptions) -> Self {
        Self {
            vm,
            zone: ZoneId::default(),
            options,
            pools: BTreeMap::new(),
            targets: BTreeMap::new(),
            retained_statements: HashMap::new(),
            assignments: HashMap::new(),
            peers: HashMap::new(),
            zones: HashMap::new(),
            peer_totals: HashMap::new(),
            queues: BTreeMap::new(),
            change_count: 0,
            evacuated: BTreeSet::new(),
            cold_bounds: ColdBounds::default(),
            registered_vms: Vec::new(),
        }
    }

    /// Sets the availability zone of this VM.
    #[must_use]
    pub fn zone(mut self, zone: ZoneId) -> Self {
        self.zone = zone;
        self
    }

    /// Returns how often this VM's load at engines has changed, not counting the progress of
    /// generations.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Replaces the services by those of a new configuration.
    pub fn set_pools(&mut self, pools: BTreeMap<ServiceId, PoolSpec>, now: Timestamp) {
        self.pools = pools;
        // The rate of cold targets belongs to the service.
        self.update_shares(now);
    }

    /// Adds a target, or updates a known one.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: Timestamp) -> Vec<PlacedRequest> {
        let service = entry.service.clone();
        let id = entry.id.clone();
        if let Some(state) = self.targets.get_mut(&entry.id) {
            state.update_entry(entry);
        } else {
            let statements = self.take_statements(&entry.id, entry.incarnation);
            let state = TargetState::new(entry, statements);
            self.targets.insert(state.entry.id.clone(), state);
        }
        self.update_share(&id, now);
        self.place_waiting(&service, now)
    }

    /// Stops placing requests on a target; returns those that run there.
    pub fn mark_leaving(&mut self, target: &str, now: Timestamp) -> Vec<RequestId> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.leaving = true;
        state.noticed_at.get_or_insert(now);
        state.requests.keys().cloned().collect()
    }

    /// Removes a target as soon as no request runs there; returns the requests that still run there.
    pub fn remove_target(&mut self, target: &str, now: Timestamp) -> Vec<RequestId> {
        let running = self.mark_leaving(target, now);
        if running.is_empty() {
            self.remove_state(target);
        } else if let Some(state) = self.targets.get_mut(target) {
            // No further event of the target will arrive. Clearing `draining` lets `tick` remove it
            // after its last request ends.
            state.entry.draining = false;
        }
        running
    }

    /// Returns the incarnation of a target, its start time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(&self, target: &str) -> Option<u64> {
        self.targets
            .get(target)
            .map(|state| state.entry.incarnation)
    }

    /// Places a new request, queues it or refuses it.
    pub fn submit(&mut self, demand: Demand, now: Timestamp) -> Vec<PlacedRequest> {
        let service = demand.service.clone();
        if let Some(placement) = self.immediate_refusal(&demand, now) {
            return vec![PlacedRequest {
                request: demand.id,
                placement,
            }];
        }
        self.queues
            .entry(service.clone())
            .or_default()
            .push(WaitingRequest {
                demand,
                enqueued_at: now,
            });
        self.place_waiting(&service, now)
    }

    /// Records that a target started to respond to a request.
    pub fn record_response_start(
        &mut self,
        request: &RequestId,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        let Some(state) = self.assigned_state(request) else {
            return Vec::new();
        };
        let was_prefilling = state.record_response_start(request);
        let (service, target) = (state.entry.service.clone(), state.entry.id.clone());
        self.change_count += u64::from(was_prefilling);
        self.record_return(&target, now);
        self.place_waiting(&service, now)
    }

    /// Records how many tokens a generation has produced.
    pub fn record_progress(&mut self, request: &RequestId, produced: u32, now: Timestamp) {
        let Some(state) = self.assigned_state(request) else {
            return;
        };
        let resident = state.record_progress(request, produced, now);
        if let Some(copy) = self.copy_state(request) {
            let copy = copy.copies.get_mut(request);
            if let Some(copy) = copy {
                copy.tokens = resident;
            }
        }
    }

    /// Records that a generation continues on another target.
    pub fn record_migration(
        &mut self,
        request: &RequestId,
        target: &TargetId,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        self.remove_copy(request);
        let Some(in_flight) = self
            .assigned_state(request)
            .and_then(|state| state.remove_request(request))
        else {
            return Vec::new();
        };
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.add_migrated(request.clone(), in_flight, now);
        self.change_count += 1;
        self.assignments
            .insert(request.clone(), Assignment::new(target));
        let service = state.entry.service.clone();
        self.place_waiting(&service, now)
    }

    /// Records the end of a placed request, or removes a waiting one from its queue.
    pub fn finish(&mut self, request: &RequestId, now: Timestamp) -> Vec<PlacedRequest> {
        self.remove_copy(request);
        let Some(assignment) = self.assignments.remove(request) else {
            for queue in self.queues.values_mut() {
                queue.remove(request);
            }
            return Vec::new();
        };
        let Some(state) = self.targets.get_mut(&assignment.target) else {
            return Vec::new();
        };
        let ended = state.remove_request(request);
        let uses_engine = ended.is_some_and(|ended| ended.demand.need.tokens() > 0);
        self.change_count += u64::from(uses_engine);
        let service = state.entry.service.clone();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.record_completion(now, COMPLETION_WEIGHT);
        }
        self.place_waiting(&service, now)
    }

    /// Records the load that a target reported with a response.
    pub fn record_reported_load(
        &mut self,
        target: &str,
        running: u32,
        waiting: u32,
        now: Timestamp,
    ) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_reported_load(running + waiting, now);
        }
    }

    /// Records that a target responded in time.
    pub fn record_success(&mut self, target: &str, elapsed: Duration) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_success(elapsed);
        }
    }

    /// Records that a target failed a request.
    ///
    /// A failure is hard if the target sent no response of its own; consecutive hard failures make the
    /// target back off.
    pub fn record_failure(&mut self, target: &str, hard: bool, now: Timestamp) {
        if let Some(state) = self.targets.get_mut(target) {
            state.record_failure(hard, now);
            let target = state.entry.id.clone();
            self.update_share(&target, now);
        }
    }

    /// Returns whether a target is leaving or unknown.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        self.targets.get(target).is_none_or(|state| state.leaving)
    }

    /// Returns the choice of a given target, with a cost of zero and this VM's requests only.
    #[must_use]
    pub fn choice_for(&self, target: &str) -> Option<Choice> {
        let state = self.targets.get(target)?;
        Some(Choice {
            target: state.entry.id.clone(),
            address: state.entry.address,
            request_count: state.local_load().count,
            cost: Duration::ZERO,
        })
    }

    /// Returns the choices of all other targets that are not leaving.
    #[must_use]
    pub fn other_choices(&self, target: &str) -> Vec<Choice> {
        let others = self.targets.iter();
        let others = others.filter(|(id, state)| *id != target && !state.leaving);
        others.filter_map(|(id, _)| self.choice_for(id)).collect()
    }

    /// Records that a target refused a request because it was full.
    pub fn record_refusal(&mut self, target: &str, now: Timestamp) {
        let vm_count = self.vm_count(now);
        if let Some(state) = self.targets.get_mut(target) {
            state.record_refusal(vm_count, now);
        }
    }

    /// Records that a target asked for no requests for a time, and refuses waiting requests that no other
    /// target can run in time.
    pub fn record_backoff(
        &mut self,
        target: &str,
        time: Duration,
        now: Timestamp,
    ) -> Vec<PlacedRequest> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.record_requested_backoff(time, now);
        let service = state.entry.service.clone();
        self.refuse_until_backoff_ends(&service, now)
    }

    /// Returns whether a target asked for no requests at this time.
    #[must_use]
    pub fn is_backing_off(&self, target: &str, now: Timestamp) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| now < state.requested_backoff())
    }

    /// Does the work that is due at a time.
    ///
    /// Removes stale peers and targets that have left, and places or refuses waiting requests.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PlacedRequest> {
        self.expire_peers(now);
        self.update_shares(now);
        let has_left = |state: &TargetState| state.leaving && state.requests.is_empty();
        self.retain_targets(|state| !has_left(state) || state.entry.draining);
        self.expire_statements(now);
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        let mut placements = Vec::new();
        for service in services {
            placements.extend(self.resolve_expired(&service, now));
            placements.extend(self.place_waiting(&service, now));
        }
        placements
    }

    /// Returns the mean decode time per token of a service's targets; `None` if it is unknown.
    #[must_use]
    pub fn token_time(&self, service: &str) -> Option<Duration> {
        let of_service = |state: &&TargetState| state.entry.service == service;
        choice::mean_token_time(self.targets.values().filter(of_service))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(AdmissionQueue::len).sum()
    }

    /// Returns the number of targets that accept requests.
    #[must_use]
    pub fn usable_count(&self, now: Timestamp) -> usize {
        let usable = |state: &&TargetState| state.accepts_requests(now);
        self.targets.values().filter(usable).count()
    }

    /// Returns the target at which a request runs.
    fn assigned_state(&mut self, request: &RequestId) -> Option<&mut TargetState> {
        self.targets.get_mut(&self.assignments.get(request)?.target)
    }

    /// Assigns a request to the chosen target.
    fn assign(&mut self, demand: Demand, choice: Choice, now: Timestamp) -> PlacedRequest {
        let request = demand.id.clone();
        if let Some(state) = self.targets.get_mut(&choice.target) {
            self.change_count += u64::from(demand.need.tokens() > 0);
            state.add_request(demand, now);
            self.assignments
                .insert(request.clone(), Assignment::new(&choice.target));
        }
        PlacedRequest {
            request,
            placement: Placement::Send(choice),
        }
    }
}

impl Assignment {
    fn new(target: &TargetId) -> Self {
        Self {
            target: target.clone(),
            copy_target: None,
        }
    }
}

/// Returns the number at an index of the pseudo-random `SplitMix64` sequence of a seed.
const fn split_mix(seed: u64, index: u64) -> u64 {
    let mut number = seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns a hash of a key that is the same at every VM.
fn stable_hash(key: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Placement {
    Placement::Refused {
        reason,
        retry_after,
    }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

#[cfg(test)]
mod tests;
