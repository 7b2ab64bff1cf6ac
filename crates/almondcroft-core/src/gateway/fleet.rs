//! Places requests on targets, lets them wait or refuses them.
//!
//! The load that it answers: long generations of unknown length beside short ones, on engines whose
//! memory holds few of them, and short calls to plain services. Several VMs decide at once, each with
//! exact knowledge of what it sent and late knowledge of what the others did.

mod choice;
mod demand;
mod load;
mod moves;
mod options;
mod peers;
mod queue;
mod state;

pub use choice::Choice;
pub use demand::{Demand, Need};
pub use load::{PeerLoad, PeerNews};
pub use options::FleetOptions;

use super::{PoolSpec, TargetEntry};
use crate::{RequestId, ServiceId, TargetId, Timestamp, VmId};
use queue::{Queue, Waiting};
use state::TargetState;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Weight of the newest time between two departures.
const PACE_WEIGHT: f64 = 0.1;

/// Late requests that others pass at most; each one costs a decision whenever room is looked for.
const MAX_PASSED: usize = 8;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Tells why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No target of the service can be used.
    NoTarget,
    /// It would wait longer than it is worth.
    Overload,
    /// It can no longer be answered in time.
    Late,
}

impl Refusal {
    /// Returns the form used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Overload => "overload",
            Self::Late => "late",
        }
    }
}

/// Tells what becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placed {
    /// It is sent to a target.
    Send(Choice),
    /// It is refused; it has not run.
    Refused {
        /// The reason.
        reason: Refusal,
        /// Time after which it is worth coming back.
        retry_after: Duration,
    },
}

/// Assigns an outcome to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The request.
    pub request: RequestId,
    /// What becomes of it.
    pub placed: Placed,
}

/// Tells where a request runs and where a copy of it is kept.
#[derive(Debug, Clone)]
struct Seat {
    target: TargetId,
    copy: Option<TargetId>,
}

/// Knows all targets and what runs on them, and decides where requests go.
#[derive(Debug)]
pub struct Fleet {
    vm: VmId,
    options: FleetOptions,
    pools: BTreeMap<ServiceId, PoolSpec>,
    targets: BTreeMap<TargetId, TargetState>,
    flights: HashMap<RequestId, Seat>,
    peers: HashMap<VmId, PeerNews>,
    /// Sums of what the other VMs have at each target; kept, as each decision asks for many.
    sums: HashMap<TargetId, PeerLoad>,
    queues: BTreeMap<ServiceId, Queue>,
    changes: u64,
}

impl Fleet {
    /// Creates a fleet without targets.
    #[must_use]
    pub fn new(vm: VmId, options: FleetOptions) -> Self {
        Self {
            vm,
            options,
            pools: BTreeMap::new(),
            targets: BTreeMap::new(),
            flights: HashMap::new(),
            peers: HashMap::new(),
            sums: HashMap::new(),
            queues: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Returns how often what this VM has at engines changed, but for the progress of generations.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes over the services of a configuration.
    pub fn set_pools(&mut self, pools: BTreeMap<ServiceId, PoolSpec>) {
        self.pools = pools;
    }

    /// Adds a target, or takes over what changed of it.
    pub fn join(&mut self, entry: TargetEntry, now: Timestamp) -> Vec<Work> {
        let service = entry.service.clone();
        if let Some(state) = self.targets.get_mut(&entry.id) {
            state.renew(entry);
        } else {
            let state = TargetState::new(entry);
            self.targets.insert(state.entry.id.clone(), state);
        }
        self.drain(&service, now)
    }

    /// Stops placing work on a target; returns the requests that run there.
    pub fn leave(&mut self, target: &str) -> Vec<RequestId> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.leaving = true;
        state.flights.keys().cloned().collect()
    }

    /// Forgets a target once nothing runs there; returns the requests that still do.
    pub fn remove(&mut self, target: &str) -> Vec<RequestId> {
        let running = self.leave(target);
        if running.is_empty() {
            self.targets.remove(target);
        } else if let Some(state) = self.targets.get_mut(target) {
            // Nothing more will be heard of it, so the end of its last request is its end.
            state.entry.draining = false;
        }
        running
    }

    /// Returns the start of the incarnation that is known of a target.
    #[must_use]
    pub fn born(&self, target: &str) -> Option<u64> {
        self.targets
            .get(target)
            .map(|state| state.entry.incarnation)
    }

    /// Takes a new request: places it, lets it wait or refuses it.
    pub fn submit(&mut self, demand: Demand, now: Timestamp) -> Vec<Work> {
        let service = demand.service.clone();
        if let Some(placed) = self.unplaceable(&demand, now) {
            return vec![Work {
                request: demand.id,
                placed,
            }];
        }
        self.queues
            .entry(service.clone())
            .or_default()
            .push(Waiting { demand, since: now });
        self.drain(&service, now)
    }

    /// Notes that a target began to answer a request.
    pub fn started(&mut self, request: &RequestId, now: Timestamp) -> Vec<Work> {
        let Some(state) = self.state_of(request) else {
            return Vec::new();
        };
        let was_unread = state.start(request);
        let service = state.entry.service.clone();
        self.changes += u64::from(was_unread);
        self.drain(&service, now)
    }

    /// Notes how many tokens a generation has produced.
    pub fn progress(&mut self, request: &RequestId, produced: u32) {
        let Some(state) = self.state_of(request) else {
            return;
        };
        let held = state.progress(request, produced);
        if let Some(copy) = self.copy_of(request) {
            let copy = copy.copies.get_mut(request);
            if let Some(copy) = copy {
                copy.tokens = held;
            }
        }
    }

    /// Notes that a generation goes on at another target.
    pub fn moved(&mut self, request: &RequestId, target: &TargetId, now: Timestamp) -> Vec<Work> {
        self.drop_copy(request);
        let Some(flight) = self.state_of(request).and_then(|state| state.end(request)) else {
            return Vec::new();
        };
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        state.adopt(request.clone(), flight);
        self.changes += 1;
        self.flights.insert(request.clone(), Seat::new(target));
        let service = state.entry.service.clone();
        self.drain(&service, now)
    }

    /// Notes the end of a request that was placed, or takes it out of the queue.
    pub fn finished(&mut self, request: &RequestId, now: Timestamp) -> Vec<Work> {
        self.drop_copy(request);
        let Some(seat) = self.flights.remove(request) else {
            for queue in self.queues.values_mut() {
                queue.remove(request);
            }
            return Vec::new();
        };
        let Some(state) = self.targets.get_mut(&seat.target) else {
            return Vec::new();
        };
        let ended = state.end(request);
        let weighs = ended.is_some_and(|flight| flight.demand.need.tokens() > 0);
        self.changes += u64::from(weighs);
        let service = state.entry.service.clone();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.note_departure(now, PACE_WEIGHT);
        }
        self.drain(&service, now)
    }

    /// Takes in the load that a target told with an answer.
    pub fn told(&mut self, target: &str, running: u32, waiting: u32, now: Timestamp) {
        if let Some(state) = self.targets.get_mut(target) {
            state.tell(running + waiting, now);
        }
    }

    /// Notes that a target answered in time.
    pub fn succeeded(&mut self, target: &str, took: Duration) {
        if let Some(state) = self.targets.get_mut(target) {
            state.succeed(took);
        }
    }

    /// Notes that a target failed a request.
    ///
    /// A failure is hard where the target gave no answer of its own; hard ones in a row pause it.
    pub fn failed(&mut self, target: &str, hard: bool, now: Timestamp) {
        if let Some(state) = self.targets.get_mut(target) {
            state.fail(hard, now);
        }
    }

    /// Returns whether a target is about to go, or is gone.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        self.targets.get(target).is_none_or(|state| state.leaving)
    }

    /// Returns a target as a choice that was made already.
    #[must_use]
    pub fn choice_of(&self, target: &str) -> Option<Choice> {
        let state = self.targets.get(target)?;
        Some(Choice {
            target: state.entry.id.clone(),
            address: state.entry.address,
            beside: state.own_load().count,
            cost: Duration::ZERO,
        })
    }

    /// Notes that a target refused a request as it is full.
    pub fn rejected(&mut self, target: &str, now: Timestamp) {
        if let Some(state) = self.targets.get_mut(target) {
            state.reject(now);
        }
    }

    /// Notes that time passed: places what has room and refuses what waited too long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Work> {
        self.forget_peers(now);
        let gone = |state: &TargetState| state.leaving && state.flights.is_empty();
        self.targets
            .retain(|_, state| !gone(state) || state.entry.draining);
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        let mut works = Vec::new();
        for service in services {
            works.extend(self.expire(&service, now));
            works.extend(self.drain(&service, now));
        }
        works
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of targets that take work.
    #[must_use]
    pub fn usable(&self, now: Timestamp) -> usize {
        let usable = |state: &&TargetState| state.takes_work(now);
        self.targets.values().filter(usable).count()
    }

    fn state_of(&mut self, request: &RequestId) -> Option<&mut TargetState> {
        self.targets.get_mut(&self.flights.get(request)?.target)
    }

    /// Returns the refusal of a request that need not wait, if it need not.
    fn unplaceable(&self, demand: &Demand, now: Timestamp) -> Option<Placed> {
        let known = self
            .targets
            .values()
            .any(|state| state.entry.service == demand.service && !state.leaving);
        if !known {
            return Some(refusal(Refusal::NoTarget, MIN_RETRY_AFTER * 5));
        }
        if now >= demand.deadline {
            return Some(refusal(Refusal::Late, MIN_RETRY_AFTER));
        }
        let queue = self.queues.get(&demand.service)?;
        let wait = queue.wait_for(demand);
        if wait > demand.patience.mul_f64(self.options.wait_part) {
            return Some(refusal(Refusal::Overload, retry_after(wait)));
        }
        None
    }

    /// Ends the wait of what has waited longer than it is worth: it is placed wherever there is room,
    /// or refused.
    fn expire(&mut self, service: &ServiceId, now: Timestamp) -> Vec<Work> {
        let part = self.options.wait_part;
        let Some(queue) = self.queues.get_mut(service) else {
            return Vec::new();
        };
        let expired = queue.take_expired(now, part);
        let back = retry_after(queue.pace() * u32::try_from(queue.len()).unwrap_or(u32::MAX));
        let mut works = Vec::new();
        for waiting in expired {
            let demand = waiting.demand;
            let choice = self.choose(&demand, self.options.headroom, now);
            works.push(match choice {
                Some(choice) if now < demand.deadline => self.send(demand, choice),
                _ => Work {
                    request: demand.id,
                    placed: refusal(Refusal::Overload, back),
                },
            });
        }
        works
    }

    /// Places waiting requests in order, until the first one that has no room.
    ///
    /// One that will be late anyway takes only room that is not needed by those that can still be on
    /// time; it lets them pass.
    fn drain(&mut self, service: &ServiceId, now: Timestamp) -> Vec<Work> {
        let mut works = Vec::new();
        let (mut place, mut slack) = (0, true);
        while place < MAX_PASSED
            && let Some(waiting) = self.queues.get(service).and_then(|queue| queue.at(place))
        {
            let demand = &waiting.demand;
            let choice = self.choose(demand, self.options.headroom, now);
            let late = choice
                .as_ref()
                .is_some_and(|choice| Self::is_late(demand, choice, now));
            let choice = match choice {
                Some(_) if late && !slack => None,
                Some(_) if late => self.choose(demand, self.options.late_headroom, now),
                choice => choice,
            };
            let Some(choice) = choice else {
                if !late {
                    break;
                }
                slack = false;
                place += 1;
                continue;
            };
            let queue = self.queues.get_mut(service);
            let Some(waiting) = queue.and_then(|queue| queue.take(place)) else {
                break;
            };
            works.push(self.send(waiting.demand, choice));
        }
        works
    }

    /// Returns whether a generation would begin too late at the target chosen for it.
    fn is_late(demand: &Demand, choice: &Choice, now: Timestamp) -> bool {
        demand.aim.is_some_and(|aim| now + choice.cost > aim)
    }

    fn send(&mut self, demand: Demand, choice: Choice) -> Work {
        let request = demand.id.clone();
        if let Some(state) = self.targets.get_mut(&choice.target) {
            self.changes += u64::from(demand.need.tokens() > 0);
            state.begin(demand);
            self.flights
                .insert(request.clone(), Seat::new(&choice.target));
        }
        Work {
            request,
            placed: Placed::Send(choice),
        }
    }
}

impl Seat {
    fn new(target: &TargetId) -> Self {
        Self {
            target: target.clone(),
            copy: None,
        }
    }
}

/// Draws the number of a place in a sequence that a seed begins.
const fn draw_next(seed: u64, place: u64) -> u64 {
    let mut number = seed.wrapping_add(place.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Draws a number for a key; the same key draws the same number at every VM.
fn draw(key: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn refusal(reason: Refusal, retry_after: Duration) -> Placed {
    Placed::Refused {
        reason,
        retry_after,
    }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

#[cfg(test)]
mod tests;
