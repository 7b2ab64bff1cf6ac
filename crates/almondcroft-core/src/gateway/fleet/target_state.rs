//! State of one target: its requests in flight, recent failures and back-off.

use super::target_statements::TargetStatements;
use super::{Demand, PeerLoad};
use crate::gateway::TargetEntry;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// First back-off of a target after consecutive hard failures; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Upper limit of the back-off after consecutive hard failures.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Consecutive hard failures after which a target backs off.
const FAILURE_LIMIT: u32 = 2;

/// Back-off of a target that refused a request because it was full.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// Longest back-off that a target can ask for.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_mins(10);

/// Weight of the newest outcome in the moving average of a target's failure rate.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Weight of the newest response time in the moving average.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// Weight in the moving average of a decode time per token that is shorter than the average.
const SHORTER_SAMPLE_WEIGHT: f64 = 0.25;

/// Weight in the moving average of a decode time per token that is longer than the average.
const LONGER_SAMPLE_WEIGHT: f64 = 0.03;

/// Response time assumed for a target before the first one is measured.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(40);

/// Expected output in tokens below which a generation ends sooner than a migration would.
const MIN_MIGRATED_OUTPUT: u32 = 40;

/// Half-life in seconds of the load that a target reported with a response.
const REPORTED_HALF_LIFE_SECS: f64 = 1.5;

/// A request of this VM that was sent to a target and has not ended.
#[derive(Debug, Clone)]
pub(super) struct InFlightRequest {
    pub(super) demand: Demand,
    produced: u32,
    /// Time of the last report of progress.
    reported_at: Option<Timestamp>,
    started: bool,
    /// Whether another target keeps a backup of its KV cache.
    pub(super) has_backup: bool,
    /// Whether its migration needs the source's link no longer for the first copy: that copy is
    /// complete, or no destination has room.
    pub(super) off_link: bool,
}

impl InFlightRequest {
    /// Returns the tokens that it holds in the KV cache now.
    pub(super) const fn resident_tokens(&self) -> u32 {
        self.demand.need.prompt + self.produced
    }

    /// Returns the tokens of output that are still expected.
    pub(super) fn remaining_output(&self) -> u32 {
        let expected = self.demand.need.output;
        // An output that exceeds its expected length is assumed to grow by another quarter.
        expected
            .saturating_sub(self.produced)
            .max(self.produced / 4)
    }

    /// Returns the tokens that a migration has yet to copy, or would have to if the target left now.
    pub(super) const fn migration_tokens(&self) -> u32 {
        let short = self.demand.need.output < MIN_MIGRATED_OUTPUT;
        if self.has_backup || self.off_link || !self.started || short {
            0
        } else {
            self.resident_tokens()
        }
    }

    /// Returns the prompt tokens that the target has yet to prefill.
    const fn prefill_tokens(&self) -> u32 {
        if self.started {
            0
        } else {
            self.demand.need.prefill_tokens()
        }
    }
}

/// A copy of the KV cache of a generation that runs on another target.
#[derive(Debug, Clone, Copy)]
pub(super) struct KvCopy {
    pub(super) tokens: u32,
    /// Whether it is being copied for a migration that is under way.
    pub(super) in_transfer: bool,
}

/// Tracks one target: the requests of this VM that run there, its failures and its response time.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) entry: TargetEntry,
    pub(super) leaving: bool,
    /// Time of the notice that the target is leaving.
    pub(super) noticed_at: Option<Timestamp>,
    pub(super) requests: BTreeMap<RequestId, InFlightRequest>,
    /// KV cache copies held here for generations that run on other targets.
    pub(super) copies: BTreeMap<RequestId, KvCopy>,
    pub(super) failure_rate: f64,
    pub(super) response_time: Duration,
    /// Decode time per token while the target does little else; `None` before the first measurement.
    pub(super) token_time: Option<Duration>,
    hard_failures: u32,
    /// Whether a connection failed since the last response, so that the target may have restarted.
    pub(super) may_have_restarted: bool,
    /// End of the back-off after consecutive hard failures; a response ends it sooner.
    failure_backoff: Timestamp,
    /// End of the back-off after a refusal.
    refusal_backoff: Timestamp,
    /// What its present incarnation stated about itself.
    pub(super) statements: TargetStatements,
    /// Requests that do not belong to this VM, and when the target reported them.
    reported_load: Option<(f64, Timestamp)>,
}

impl TargetState {
    pub(super) const fn new(entry: TargetEntry, statements: TargetStatements) -> Self {
        Self {
            leaving: entry.draining,
            noticed_at: None,
            entry,
            requests: BTreeMap::new(),
            copies: BTreeMap::new(),
            failure_rate: 0.0,
            response_time: INITIAL_RESPONSE_TIME,
            token_time: None,
            hard_failures: 0,
            may_have_restarted: false,
            failure_backoff: Timestamp::ZERO,
            refusal_backoff: Timestamp::ZERO,
            statements,
            reported_load: None,
        }
    }

    pub(super) fn update_entry(&mut self, entry: TargetEntry) {
        self.leaving = entry.draining;
        self.noticed_at = self.noticed_at.filter(|_| entry.draining);
        if self.entry.incarnation != entry.incarnation {
            self.statements = TargetStatements::default();
        }
        self.entry = entry;
    }

    pub(super) fn accepts_requests(&self, now: Timestamp) -> bool {
        !self.leaving
            && now >= self.failure_backoff
            && now >= self.refusal_backoff
            && now >= self.statements.requested_backoff
            && self.is_within_limit(now)
    }

    /// Returns whether this VM's share of the target's rate leaves a place, if the rate is limited.
    pub(super) fn is_within_limit(&self, now: Timestamp) -> bool {
        self.statements
            .limiter
            .is_none_or(|limiter| limiter.permits(now))
    }

    /// Returns whether the target may be cold.
    pub(super) fn is_cold(&self, now: Timestamp) -> bool {
        self.may_have_restarted || now < self.entry.cold_until.max(self.statements.cold_until)
    }

    /// Records the time until which the target is cold.
    pub(super) fn record_cold(&mut self, until: Timestamp) {
        self.statements.cold_until = self.statements.cold_until.max(until);
    }

    /// Returns the end of the time for which the target asked for no requests.
    pub(super) const fn requested_backoff(&self) -> Timestamp {
        self.statements.requested_backoff
    }

    /// Sums up this VM's requests and copies at the target.
    pub(super) fn local_load(&self) -> PeerLoad {
        let loads = self.requests.values().map(|in_flight| PeerLoad {
            count: 1,
            tokens: in_flight.resident_tokens() + in_flight.remaining_output(),
            prefill_tokens: in_flight.prefill_tokens(),
            migration_tokens: in_flight.migration_tokens(),
            incoming_tokens: 0,
        });
        let copies = self.copies.values().map(|copy| PeerLoad {
            tokens: copy.tokens,
            incoming_tokens: if copy.in_transfer { copy.tokens } else { 0 },
            ..PeerLoad::default()
        });
        loads.chain(copies).fold(PeerLoad::default(), PeerLoad::add)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.copies.is_empty()
    }

    /// Estimates the requests that other VMs have at the target from its last report.
    pub(super) fn external_requests(&self, now: Timestamp) -> f64 {
        let Some((count, at)) = self.reported_load else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        count * (-age / REPORTED_HALF_LIFE_SECS).exp2()
    }

    /// Records the total number of requests that the target reported.
    pub(super) fn record_reported_load(&mut self, count: u32, now: Timestamp) {
        let own = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        self.reported_load = Some((f64::from(count.saturating_sub(own)), now));
    }

    /// Takes a token for a request that is sent here, if the target states a limit.
    fn take_token(&mut self, now: Timestamp) {
        if let Some(limiter) = &mut self.statements.limiter {
            limiter.take(now);
        }
    }

    pub(super) fn add_request(&mut self, demand: Demand, now: Timestamp) {
        self.take_token(now);
        let in_flight = InFlightRequest {
            demand,
            produced: 0,
            reported_at: None,
            started: false,
            has_backup: false,
            off_link: false,
        };
        self.requests.insert(in_flight.demand.id.clone(), in_flight);
    }

    pub(super) fn add_migrated(
        &mut self,
        request: RequestId,
        in_flight: InFlightRequest,
        now: Timestamp,
    ) {
        self.take_token(now);
        let in_flight = InFlightRequest {
            reported_at: None,
            off_link: false,
            ..in_flight
        };
        self.requests.insert(request, in_flight);
    }

    /// Records that a response has started; returns whether prefill was pending until then.
    pub(super) fn record_response_start(&mut self, request: &RequestId) -> bool {
        let Some(in_flight) = self.requests.get_mut(request) else {
            return false;
        };
        let was_prefilling = in_flight.prefill_tokens() > 0;
        in_flight.started = true;
        was_prefilling
    }

    /// Records the tokens produced so far; returns the tokens that the request holds in the KV cache.
    pub(super) fn record_progress(
        &mut self,
        request: &RequestId,
        produced: u32,
        now: Timestamp,
    ) -> u32 {
        let Some(in_flight) = self.requests.get_mut(request) else {
            return 0;
        };
        let tokens = produced.saturating_sub(in_flight.produced);
        in_flight.produced = produced;
        let resident = in_flight.resident_tokens();
        if let Some(reported_at) = in_flight.reported_at.replace(now)
            && tokens > 0
        {
            self.record_token_time(now.saturating_sub(reported_at) / tokens);
        }
        resident
    }

    /// Updates the decode time per token.
    ///
    /// Prefill of other prompts and queues on links lengthen many samples, so shorter ones have more
    /// weight.
    fn record_token_time(&mut self, sample: Duration) {
        let Some(known) = self.token_time else {
            self.token_time = Some(sample);
            return;
        };
        // Events that were held up on a link arrive together and seem to have taken no time.
        let sample = sample.max(known / 2);
        let weight = if sample < known {
            SHORTER_SAMPLE_WEIGHT
        } else {
            LONGER_SAMPLE_WEIGHT
        };
        self.token_time = Some(known.mul_f64(1.0 - weight) + sample.mul_f64(weight));
    }

    pub(super) fn remove_request(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        self.requests.remove(request)
    }

    pub(super) fn record_success(&mut self, elapsed: Duration) {
        self.hard_failures = 0;
        self.failure_backoff = Timestamp::ZERO;
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate;
        self.response_time = self.response_time.mul_f64(1.0 - RESPONSE_TIME_WEIGHT)
            + elapsed.mul_f64(RESPONSE_TIME_WEIGHT);
    }

    /// Records a failure; consecutive hard failures make the target back off.
    pub(super) fn record_failure(&mut self, hard: bool, now: Timestamp) {
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        if !hard {
            return;
        }
        self.hard_failures += 1;
        self.may_have_restarted = true;
        if self.hard_failures >= FAILURE_LIMIT {
            let doublings = (self.hard_failures - FAILURE_LIMIT).min(4);
            let backoff = INITIAL_BACKOFF * 2_u32.pow(doublings);
            self.failure_backoff = now + backoff.min(MAX_BACKOFF);
        }
    }

    /// Records that the target asked for no requests for a time.
    pub(super) fn record_requested_backoff(&mut self, time: Duration, now: Timestamp) {
        let until = now + time.min(MAX_REQUESTED_BACKOFF);
        self.statements.requested_backoff = self.statements.requested_backoff.max(until);
    }

    /// Records that the target had no room for a request of one of a number of VMs.
    pub(super) fn record_refusal(&mut self, vm_count: usize, now: Timestamp) {
        let limit = self
            .statements
            .refusal_limit
            .filter(|limit| limit.holds(now));
        let backoff = limit.map_or(REFUSAL_BACKOFF, |limit| {
            limit.backoff(vm_count).max(REFUSAL_BACKOFF)
        });
        self.refusal_backoff = self.refusal_backoff.max(now + backoff);
    }
}
