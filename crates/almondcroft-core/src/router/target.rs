//! What the router knows of one target.

use super::{Estimator, LoadReport, RouteRequest, RouterOptions};
use crate::{RegionId, RequestId, ServiceId, TargetId, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Prefixes remembered per target.
const MAX_PREFIXES: usize = 64;

/// KV memory assumed of an engine that has not reported, in tokens.
const DEFAULT_KV_TOKENS: f64 = 40_000.0;

/// Describes a target to the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Identifies the target.
    pub id: TargetId,
    /// Services that it answers.
    pub services: Vec<ServiceId>,
    /// Its region.
    pub region: RegionId,
}

#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) request: RouteRequest,
    pub(super) sent: Timestamp,
    pub(super) produced: u32,
    pub(super) last: Timestamp,
    need: f64,
}

impl Flight {
    /// Estimates the tokens that it held at an earlier time.
    fn held_at(&self, at: Timestamp, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.sent).as_secs_f64();
        let then = at.saturating_sub(self.sent).as_secs_f64();
        let part = if age > 0.0 {
            (then / age).min(1.0)
        } else {
            0.0
        };
        f64::from(self.request.prompt) + f64::from(self.produced) * part
    }
}

/// Tracks the load of one target: the last report and what this VM has sent.
///
/// Sums are kept up to date event by event, so that a decision reads a few numbers per target.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    pub(super) spec: TargetSpec,
    pub(super) usable: bool,
    pub(super) removed: bool,
    flights: BTreeMap<RequestId, Flight>,
    prefixes: VecDeque<u64>,
    total: f64,
    own_need: f64,
    own_held: f64,
    others_held: f64,
    others_running: f64,
    reported: Option<LoadReport>,
    sent_since: u32,
    need_since: f64,
}

impl TargetState {
    pub(super) const fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            usable: true,
            removed: false,
            flights: BTreeMap::new(),
            prefixes: VecDeque::new(),
            total: DEFAULT_KV_TOKENS,
            own_need: 0.0,
            own_held: 0.0,
            others_held: 0.0,
            others_running: 0.0,
            reported: None,
            sent_since: 0,
            need_since: 0.0,
        }
    }

    pub(super) const fn takes_work(&self) -> bool {
        self.usable && !self.removed
    }

    pub(super) fn in_flight(&self) -> usize {
        self.flights.len()
    }

    pub(super) fn has_prefix(&self, prefix: Option<u64>) -> bool {
        prefix.is_some_and(|prefix| self.prefixes.contains(&prefix))
    }

    fn note_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Takes in a report unless it is older than the last one.
    pub(super) fn take_report(&mut self, report: LoadReport, now: Timestamp) {
        if self.reported.is_some_and(|known| known.at > report.at) {
            return;
        }
        self.total = as_f64(report.kv_total);
        let before = |flight: &&Flight| flight.sent <= report.at;
        let seen = self.flights.values().filter(before);
        let (count, held) = seen.fold((0.0, 0.0), |(count, held), flight| {
            (count + 1.0, held + flight.held_at(report.at, now))
        });
        self.others_held = (as_f64(report.kv_used) - held).max(0.0);
        self.others_running = (f64::from(report.running + report.waiting) - count).max(0.0);
        let since = self
            .flights
            .values()
            .filter(|flight| flight.sent > report.at);
        (self.sent_since, self.need_since) = since.fold((0, 0.0), |(count, need), flight| {
            (count + 1, need + flight.need)
        });
        self.reported = Some(report);
    }

    pub(super) fn begin(&mut self, request: RouteRequest, need: f64, now: Timestamp) {
        if let Some(prefix) = request.prefix {
            self.note_prefix(prefix);
        }
        self.own_need += need;
        self.own_held += f64::from(request.prompt);
        self.sent_since += 1;
        self.need_since += need;
        let flight = Flight {
            sent: now,
            produced: 0,
            last: now,
            need,
            request,
        };
        self.flights.insert(flight.request.id.clone(), flight);
    }

    /// Notes tokens of a flight; returns the time between them, if any came before.
    pub(super) fn progress(
        &mut self,
        request: &RequestId,
        produced: u32,
        now: Timestamp,
        estimator: &Estimator,
        growth: f64,
    ) -> Option<f64> {
        let flight = self.flights.get_mut(request)?;
        let tokens = produced
            .checked_sub(flight.produced)
            .filter(|new| *new > 0)?;
        let elapsed = now.saturating_sub(flight.last).as_secs_f64();
        let first = flight.produced == 0;
        flight.produced = produced;
        flight.last = now;
        let need = need(estimator, &flight.request, produced, growth).tokens;
        self.own_need += need - flight.need;
        self.own_held += f64::from(tokens);
        flight.need = need;
        (!first).then(|| elapsed / f64::from(tokens))
    }

    pub(super) fn finish(&mut self, request: &RequestId) -> Option<Flight> {
        let flight = self.flights.remove(request)?;
        self.own_need -= flight.need;
        self.own_held -= f64::from(flight.request.prompt) + f64::from(flight.produced);
        if self.flights.is_empty() {
            // Sums of floating-point numbers drift; an empty target is the place to start anew.
            self.own_need = 0.0;
            self.own_held = 0.0;
        }
        Some(flight)
    }

    /// Returns the reported load for comparisons between targets.
    pub(super) fn reported_load(&self) -> (u32, u64) {
        self.reported.map_or((0, 0), |report| {
            (report.running + report.waiting, report.kv_used)
        })
    }

    /// Returns the tokens that are expected to be needed at once, as a part of the memory, and
    /// whether a request that needs `mine` has room beside them.
    pub(super) fn fill(&self, mine: Need, options: &RouterOptions) -> Fill {
        let peers = f64::from(options.vms.max(1) - 1);
        // Other VMs see the same reports and are taken to have sent as much since.
        let unseen = (self.need_since * peers).min(self.total * options.herd);
        let grown = if self.own_held > 0.0 {
            (self.own_need / self.own_held).clamp(1.0, MAX_GROWTH)
        } else {
            1.0
        };
        let own = as_f64(self.flights.len() as u64);
        let running = own + self.others_running;
        let mut own_growth = self.own_need - self.own_held;
        let mut others_growth = self.others_held * (grown - 1.0);
        if options.horizon {
            // While the request runs, no other one grows by more than its own output.
            own_growth = own_growth.min(own * mine.output);
            others_growth = others_growth.min(self.others_running * mine.output);
        }
        let load = self.own_held + own_growth + self.others_held + others_growth + unseen;
        let empty = self.flights.is_empty() && self.others_held < 1.0;
        let memory = load + mine.tokens <= options.headroom * self.total;
        let batch = running < f64::from(options.max_batch);
        Fill {
            load,
            room: empty || (memory && batch),
        }
    }
}

/// Most by which other VMs' requests are taken to grow.
const MAX_GROWTH: f64 = 2.0;

/// States what a request is expected to take.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// Tokens of KV memory beside others.
    pub(super) tokens: f64,
    /// Tokens of output.
    pub(super) output: f64,
}

/// Tells how full a target is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fill {
    /// Tokens that are expected to be needed at once.
    pub(super) load: f64,
    /// Whether one more request fits.
    pub(super) room: bool,
}

/// Returns what a request is expected to take.
pub(super) fn need(
    estimator: &Estimator,
    request: &RouteRequest,
    produced: u32,
    growth: f64,
) -> Need {
    let expected = match request.known_length {
        Some(length) => f64::from(length),
        None => estimator.mean(&request.service, &request.customer, produced),
    };
    let capped = request
        .max_tokens
        .map_or(expected, |most| expected.min(f64::from(most)));
    let remaining = (capped - f64::from(produced)).max(0.0);
    Need {
        tokens: f64::from(request.prompt) + f64::from(produced) + growth * remaining,
        output: remaining,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
