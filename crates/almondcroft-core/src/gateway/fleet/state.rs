//! What is known of one target.

use super::{Demand, PeerLoad};
use crate::gateway::TargetEntry;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time during which a target that failed in a row gets no work, at first.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such time.
const LAST_PAUSE: Duration = Duration::from_secs(4);

/// Failures in a row after which a target gets no work for a while.
const FAILURE_LIMIT: u32 = 2;

/// Time during which a target that was full gets no work.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Weight of the newest outcome in a target's failure rate.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Weight of the newest answer time.
const TIME_WEIGHT: f64 = 0.1;

/// Answer time that is assumed before any was seen.
const INITIAL_TIME: Duration = Duration::from_millis(40);

/// Expected output below which a generation ends before a move would, in tokens.
const MIN_MOVED: u32 = 40;

/// Time in which what a target told of others' requests loses half its weight.
const TOLD_HALF_LIFE: f64 = 1.5;

#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) demand: Demand,
    produced: u32,
    started: bool,
    /// Whether another target keeps a copy.
    pub(super) kept: bool,
}

impl Flight {
    /// Returns the tokens of memory that it fills now.
    pub(super) const fn held(&self) -> u32 {
        self.demand.need.prompt + self.produced
    }

    /// Returns the tokens of output that are still expected.
    pub(super) fn left(&self) -> u32 {
        let expected = self.demand.need.output;
        // Past its expected length, an output is taken to go on for a quarter of what it has.
        expected
            .saturating_sub(self.produced)
            .max(self.produced / 4)
    }

    /// Returns the tokens that would have to be copied if the target left now.
    pub(super) const fn movable(&self) -> u32 {
        if self.kept || !self.started || self.demand.need.output < MIN_MOVED {
            0
        } else {
            self.held()
        }
    }

    const fn unread(&self) -> u32 {
        if self.started {
            0
        } else {
            self.demand.need.unread()
        }
    }
}

/// Holds the size of a copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldCopy {
    pub(super) tokens: u32,
    /// Whether it is still on its way.
    pub(super) arriving: bool,
}

/// Tracks one target: what this VM runs there and how it behaves.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) entry: TargetEntry,
    pub(super) leaving: bool,
    pub(super) flights: BTreeMap<RequestId, Flight>,
    /// Copies that are kept here for generations that run elsewhere.
    pub(super) copies: BTreeMap<RequestId, HeldCopy>,
    pub(super) failure_rate: f64,
    pub(super) answer_time: Duration,
    failures: u32,
    paused: Timestamp,
    told: Option<(f64, Timestamp)>,
}

impl TargetState {
    pub(super) const fn new(entry: TargetEntry) -> Self {
        Self {
            leaving: entry.draining,
            entry,
            flights: BTreeMap::new(),
            copies: BTreeMap::new(),
            failure_rate: 0.0,
            answer_time: INITIAL_TIME,
            failures: 0,
            paused: Timestamp::ZERO,
            told: None,
        }
    }

    pub(super) fn renew(&mut self, entry: TargetEntry) {
        self.leaving = entry.draining;
        self.entry = entry;
    }

    pub(super) fn takes_work(&self, now: Timestamp) -> bool {
        !self.leaving && now >= self.paused
    }

    pub(super) fn own_load(&self) -> PeerLoad {
        let loads = self.flights.values().map(|flight| PeerLoad {
            count: 1,
            tokens: flight.held() + flight.left(),
            unread: flight.unread(),
            movable: flight.movable(),
            arriving: 0,
        });
        let copies = self.copies.values().map(|copy| PeerLoad {
            tokens: copy.tokens,
            arriving: if copy.arriving { copy.tokens } else { 0 },
            ..PeerLoad::default()
        });
        loads.chain(copies).fold(PeerLoad::default(), PeerLoad::add)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.copies.is_empty()
    }

    /// Estimates the requests of others from what the target told.
    pub(super) fn told_count(&self, now: Timestamp) -> f64 {
        let Some((count, at)) = self.told else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        count * (-age / TOLD_HALF_LIFE).exp2()
    }

    pub(super) fn tell(&mut self, count: u32, now: Timestamp) {
        let own = u32::try_from(self.flights.len()).unwrap_or(u32::MAX);
        self.told = Some((f64::from(count.saturating_sub(own)), now));
    }

    pub(super) fn begin(&mut self, demand: Demand) {
        let flight = Flight {
            demand,
            produced: 0,
            started: false,
            kept: false,
        };
        self.flights.insert(flight.demand.id.clone(), flight);
    }

    pub(super) fn adopt(&mut self, request: RequestId, flight: Flight) {
        self.flights.insert(request, flight);
    }

    /// Notes that a flight has begun to answer; returns whether its prompt was to be read till then.
    pub(super) fn start(&mut self, request: &RequestId) -> bool {
        let Some(flight) = self.flights.get_mut(request) else {
            return false;
        };
        let was_unread = flight.unread() > 0;
        flight.started = true;
        was_unread
    }

    /// Notes the tokens that a flight has produced; returns what it holds.
    pub(super) fn progress(&mut self, request: &RequestId, produced: u32) -> u32 {
        let Some(flight) = self.flights.get_mut(request) else {
            return 0;
        };
        flight.produced = produced;
        flight.held()
    }

    pub(super) fn end(&mut self, request: &RequestId) -> Option<Flight> {
        self.flights.remove(request)
    }

    pub(super) fn succeed(&mut self, took: Duration) {
        self.failures = 0;
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate;
        self.answer_time = self.answer_time.mul_f64(1.0 - TIME_WEIGHT) + took.mul_f64(TIME_WEIGHT);
    }

    pub(super) fn fail(&mut self, hard: bool, now: Timestamp) {
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        if !hard {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            let doublings = (self.failures - FAILURE_LIMIT).min(4);
            let pause = FIRST_PAUSE * 2_u32.pow(doublings);
            self.paused = now + pause.min(LAST_PAUSE);
        }
    }

    pub(super) fn reject(&mut self, now: Timestamp) {
        self.paused = self.paused.max(now + FULL_PAUSE);
    }
}
