//! State and load estimate of one target.

use super::{LengthEstimator, LoadReport, RouteRequest, RouterOptions};
use crate::{RegionId, RequestId, ServiceId, TargetId, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of prefixes recorded per target.
const MAX_PREFIXES: usize = 64;

/// KV cache size assumed for an engine that has not reported yet, in tokens.
const DEFAULT_KV_TOKENS: f64 = 40_000.0;

/// Describes a target to the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Identifies the target.
    pub id: TargetId,
    /// Services that it serves.
    pub services: Vec<ServiceId>,
    /// Its region.
    pub region: RegionId,
}

/// A request that this VM has sent to the target and that has not ended.
#[derive(Debug, Clone)]
pub(super) struct InFlightRequest {
    pub(super) request: RouteRequest,
    pub(super) sent_at: Timestamp,
    pub(super) produced: u32,
    pub(super) last_progress: Timestamp,
    kv_demand: f64,
}

impl InFlightRequest {
    /// Estimates the KV tokens that the request held at the earlier time `at`.
    ///
    /// Assumes that its output grew at a constant rate since it was sent.
    fn tokens_at(&self, at: Timestamp, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.sent_at).as_secs_f64();
        let elapsed = at.saturating_sub(self.sent_at).as_secs_f64();
        let fraction = if age > 0.0 {
            (elapsed / age).min(1.0)
        } else {
            0.0
        };
        f64::from(self.request.prompt) + f64::from(self.produced) * fraction
    }
}

/// Tracks the load of one target from its last report and the requests that this VM has sent.
///
/// Sums are updated with each event, so that a decision reads only a few numbers per target.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    pub(super) spec: TargetSpec,
    pub(super) usable: bool,
    pub(super) removed: bool,
    requests: BTreeMap<RequestId, InFlightRequest>,
    prefixes: VecDeque<u64>,
    kv_total: f64,
    own_demand: f64,
    own_held: f64,
    others_held: f64,
    others_running: f64,
    last_report: Option<LoadReport>,
    sent_since: u32,
    demand_since: f64,
}

impl TargetState {
    pub(super) const fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            usable: true,
            removed: false,
            requests: BTreeMap::new(),
            prefixes: VecDeque::new(),
            kv_total: DEFAULT_KV_TOKENS,
            own_demand: 0.0,
            own_held: 0.0,
            others_held: 0.0,
            others_running: 0.0,
            last_report: None,
            sent_since: 0,
            demand_since: 0.0,
        }
    }

    pub(super) const fn accepts_requests(&self) -> bool {
        self.usable && !self.removed
    }

    pub(super) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn has_prefix(&self, prefix: Option<u64>) -> bool {
        prefix.is_some_and(|prefix| self.prefixes.contains(&prefix))
    }

    fn record_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Records a report unless it is older than the last one.
    pub(super) fn record_reported_load(&mut self, report: LoadReport, now: Timestamp) {
        if self.last_report.is_some_and(|known| known.at > report.at) {
            return;
        }
        self.kv_total = as_f64(report.kv_total);
        let before = |entry: &&InFlightRequest| entry.sent_at <= report.at;
        let seen = self.requests.values().filter(before);
        let (count, held) = seen.fold((0.0, 0.0), |(count, held), entry| {
            (count + 1.0, held + entry.tokens_at(report.at, now))
        });
        self.others_held = (as_f64(report.kv_used) - held).max(0.0);
        self.others_running = (f64::from(report.generations()) - count).max(0.0);
        let since = self
            .requests
            .values()
            .filter(|entry| entry.sent_at > report.at);
        (self.sent_since, self.demand_since) = since.fold((0, 0.0), |(count, kv_demand), entry| {
            (count + 1, kv_demand + entry.kv_demand)
        });
        self.last_report = Some(report);
    }

    pub(super) fn record_dispatch(
        &mut self,
        request: RouteRequest,
        kv_demand: f64,
        now: Timestamp,
    ) {
        if let Some(prefix) = request.prefix {
            self.record_prefix(prefix);
        }
        self.own_demand += kv_demand;
        self.own_held += f64::from(request.prompt);
        self.sent_since += 1;
        self.demand_since += kv_demand;
        let entry = InFlightRequest {
            sent_at: now,
            produced: 0,
            last_progress: now,
            kv_demand,
            request,
        };
        self.requests.insert(entry.request.id.clone(), entry);
    }

    /// Records the progress of a request.
    ///
    /// Returns the mean gap between the new tokens in seconds, or `None` if there are no new tokens
    /// or they are the first ones.
    pub(super) fn record_progress(
        &mut self,
        request: &RequestId,
        produced: u32,
        now: Timestamp,
        estimator: &LengthEstimator,
        growth: f64,
    ) -> Option<f64> {
        let entry = self.requests.get_mut(request)?;
        let tokens = produced
            .checked_sub(entry.produced)
            .filter(|new| *new > 0)?;
        let elapsed = now.saturating_sub(entry.last_progress).as_secs_f64();
        let first = entry.produced == 0;
        entry.produced = produced;
        entry.last_progress = now;
        let kv_demand = estimate_demand(estimator, &entry.request, produced, growth).kv_tokens;
        self.own_demand += kv_demand - entry.kv_demand;
        self.own_held += f64::from(tokens);
        entry.kv_demand = kv_demand;
        (!first).then(|| elapsed / f64::from(tokens))
    }

    pub(super) fn remove(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        let entry = self.requests.remove(request)?;
        self.own_demand -= entry.kv_demand;
        self.own_held -= f64::from(entry.request.prompt) + f64::from(entry.produced);
        if self.requests.is_empty() {
            // Rounding errors accumulate in the sums; they are reset whenever the target is empty.
            self.own_demand = 0.0;
            self.own_held = 0.0;
        }
        Some(entry)
    }

    /// Returns the last reported load: generations, then KV tokens, for comparison between targets.
    pub(super) fn reported_load(&self) -> (u32, u64) {
        self.last_report
            .map_or((0, 0), |report| (report.generations(), report.kv_used))
    }

    /// Estimates the KV tokens that the target's requests need at the same time, and whether there
    /// is room for one more request with the given demand.
    pub(super) fn estimate_occupancy(
        &self,
        demand: DemandEstimate,
        options: &RouterOptions,
    ) -> Occupancy {
        let peers = f64::from(options.vms.max(1) - 1);
        // Other VMs see the same reports and are assumed to have sent as much as this one since.
        let unreported = (self.demand_since * peers).min(self.kv_total * options.herd);
        let growth_ratio = if self.own_held > 0.0 {
            (self.own_demand / self.own_held).clamp(1.0, MAX_GROWTH)
        } else {
            1.0
        };
        let own_running = as_f64(self.requests.len() as u64);
        let running = own_running + self.others_running;
        let mut own_growth = self.own_demand - self.own_held;
        let mut others_growth = self.others_held * (growth_ratio - 1.0);
        if options.horizon {
            // While the new request runs, no other request grows by more than the new one's output.
            own_growth = own_growth.min(own_running * demand.output_tokens);
            others_growth = others_growth.min(self.others_running * demand.output_tokens);
        }
        let load = self.own_held + own_growth + self.others_held + others_growth + unreported;
        let empty = self.requests.is_empty() && self.others_held < 1.0;
        let fits_memory = load + demand.kv_tokens <= options.headroom * self.kv_total;
        let fits_batch = running < f64::from(options.max_batch);
        Occupancy {
            load,
            has_room: empty || (fits_memory && fits_batch),
        }
    }
}

/// Maximum factor by which requests of other VMs are assumed to grow.
const MAX_GROWTH: f64 = 2.0;

/// The resources that a request is expected to need.
#[derive(Debug, Clone, Copy)]
pub(super) struct DemandEstimate {
    /// Tokens of KV cache counted as needed at the same time as those of other requests.
    pub(super) kv_tokens: f64,
    /// Output tokens still to be produced.
    pub(super) output_tokens: f64,
}

/// The estimated load of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Occupancy {
    /// KV tokens that are expected to be needed at the same time.
    pub(super) load: f64,
    /// Whether one more request fits.
    pub(super) has_room: bool,
}

/// Estimates the demand of a request of which `produced` output tokens exist.
///
/// `growth` is the fraction of the remaining output that counts as held at the same time.
pub(super) fn estimate_demand(
    estimator: &LengthEstimator,
    request: &RouteRequest,
    produced: u32,
    growth: f64,
) -> DemandEstimate {
    let expected = match request.known_length {
        Some(length) => f64::from(length),
        None => estimator.mean(&request.service, &request.customer, produced),
    };
    let capped = request
        .max_tokens
        .map_or(expected, |max| expected.min(f64::from(max)));
    let remaining = (capped - f64::from(produced)).max(0.0);
    DemandEstimate {
        kv_tokens: f64::from(request.prompt) + f64::from(produced) + growth * remaining,
        output_tokens: remaining,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
