//! A fleet whose VMs end, start, pause, and are cut off from each other and from the list of VMs.

use super::*;
use crate::gateway::{BudgetShare, LOAN_TIME};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RATIO: f64 = 0.2;
const TICK: Duration = Duration::from_millis(50);

/// Time between two exchanges of counts.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(8);

/// A simulated process of a VM.
struct Vm {
    budget: FleetRetryBudget,
    share: BudgetShare,
    listed_at: Timestamp,
    paused_until: Timestamp,
    /// Extra sends that wait, with the time at which each is sent, and the lender and the end of a loan.
    waiting: Vec<(Timestamp, Option<(usize, Timestamp)>)>,
}

/// What happens to the fleet, per VM and second.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// Ends and starts again at once.
    restart: f64,
    pause: f64,
    /// Fraction of VMs that reach neither their peers nor the list.
    cut_off: f64,
    /// Number of VMs that join.
    joining: usize,
}

struct Simulation {
    rng: ChaCha8Rng,
    faults: Faults,
    slack: f64,
    /// Longest time in seconds from the moment at which an extra send is taken until it is sent.
    delay: f64,
    vms: Vec<Vm>,
    /// Number of VMs in the list.
    listed: u32,
    /// Number of VMs of the earlier version, which come first and do not end.
    earlier: usize,
    /// What the VMs have told each other last.
    told: Vec<SendCounts>,
    requests: Vec<Timestamp>,
    arrivals: Vec<Timestamp>,
}

impl Simulation {
    fn new(seed: u64, vms: usize, slack: f64, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            slack,
            delay: 3.0,
            vms: Vec::new(),
            listed: u32::try_from(vms).unwrap(),
            earlier: 0,
            told: Vec::new(),
            requests: Vec::new(),
            arrivals: Vec::new(),
        };
        simulation.vms = (0..vms)
            .map(|_| simulation.start_vm(true, SECOND))
            .collect();
        simulation
    }

    fn start_vm(&self, is_new: bool, now: Timestamp) -> Vm {
        let mut share = BudgetShare::new(1, now);
        share.record_list(self.listed, now);
        share.record_registration(is_new, now);
        Vm {
            budget: FleetRetryBudget::new(RATIO, self.slack, WINDOW),
            share,
            listed_at: now,
            paused_until: now,
            waiting: Vec::new(),
        }
    }

    fn is_cut_off(&self, index: usize, now: Timestamp) -> bool {
        let count = self.vms.len();
        let fraction =
            f64::from(u32::try_from(index).unwrap()) / f64::from(u32::try_from(count).unwrap());
        (SECOND * 30..SECOND * 60).contains(&now) && fraction < self.faults.cut_off
    }

    /// Plays the time from the start; `demand` is the number of extra sends that each request wants.
    fn play(&mut self, time: Duration, rate: impl Fn(Timestamp) -> f64, demand: f64) {
        let tick = TICK.as_secs_f64();
        let mut now = SECOND;
        while now < SECOND + time {
            now += TICK;
            if now.as_millis().is_multiple_of(GOSSIP_INTERVAL.as_millis()) {
                let counts = self.vms.iter().map(|vm| vm.budget.counts(now));
                self.told = counts.collect();
            }
            for index in 0..self.vms.len() {
                if index >= self.earlier && self.rng.random_bool(self.faults.restart * tick) {
                    self.vms[index] = self.start_vm(false, now);
                }
                if self.rng.random_bool(self.faults.pause * tick) {
                    let time = self.rng.random_range(1.0..15.0);
                    self.vms[index].paused_until = now + Duration::from_secs_f64(time);
                }
                if self.vms[index].paused_until <= now {
                    self.step(index, &rate, demand, now);
                }
            }
            if now == SECOND * 40 {
                for _ in 0..self.faults.joining {
                    self.listed += 1;
                    let vm = self.start_vm(true, now);
                    self.vms.push(vm);
                }
            }
        }
    }

    fn step(&mut self, index: usize, rate: impl Fn(Timestamp) -> f64, demand: f64, now: Timestamp) {
        let listed = self.listed;
        let is_cut_off = self.is_cut_off(index, now);
        let vm = &mut self.vms[index];
        if now >= vm.listed_at + LIST_INTERVAL && !is_cut_off {
            vm.listed_at = now;
            vm.share.record_list(listed, now);
        }
        let per_tick = rate(now) * TICK.as_secs_f64();
        let count = floor(per_tick, self.rng.random());
        for _ in 0..count {
            self.requests.push(now);
            self.vms[index].budget.record_request(now);
            for _ in 0..floor(demand, self.rng.random()) {
                self.want(index, now);
            }
        }
        let vm = &mut self.vms[index];
        let (due, waiting): (Vec<_>, Vec<_>) = vm.waiting.drain(..).partition(|(at, _)| *at <= now);
        vm.waiting = waiting;
        for (_, loan) in due {
            if loan.is_none_or(|(_, until)| now < until) {
                self.arrivals.push(now);
            }
            match loan {
                None => self.vms[index].budget.settle(now),
                // Messages are lost, also those to processes that have ended.
                Some((lender, until))
                    if self.rng.random_bool(0.8) && !self.is_cut_off(lender, now) =>
                {
                    self.vms[lender].budget.end_loan(until, true, now);
                }
                Some(_) => {}
            }
        }
    }

    /// Returns whether what the VMs have told leaves room for an extra send, beside VMs of the earlier version.
    fn permits_beside(&self, index: usize, now: Timestamp) -> bool {
        let others = self.told.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let vms = u32::try_from(self.vms.len()).unwrap();
        let sends = FleetSends {
            others: others.fold(SendCounts::default(), |sum, (_, counts)| sum.add(*counts)),
            reachable_vms: vms,
            total_vms: vms,
        };
        let budget = &self.vms[index].budget;
        self.earlier == 0 || budget.permits_beside(ExtraSend::Resumption, sends, now)
    }

    /// Takes an extra send of a VM, or borrows one, and sends it later.
    fn want(&mut self, index: usize, now: Timestamp) {
        let delay = Duration::from_secs_f64(self.rng.random_range(0.0..self.delay));
        if !self.permits_beside(index, now) {
            return;
        }
        let is_earlier = index < self.earlier;
        let vm = &mut self.vms[index];
        let share = if is_earlier {
            f64::MAX
        } else {
            vm.share.fraction(WINDOW, now)
        };
        if vm.budget.try_take(ExtraSend::Resumption, share, now) {
            vm.waiting.push((now + delay, None));
            return;
        }
        let reachable: Vec<usize> = (self.earlier..self.vms.len())
            .filter(|other| *other != index && self.vms[*other].paused_until <= now)
            .filter(|other| self.is_cut_off(*other, now) == self.is_cut_off(index, now))
            .collect();
        for index_of_lender in reachable.choose_multiple(&mut self.rng, 3).copied() {
            let lender = &mut self.vms[index_of_lender];
            let share = lender.share.fraction(WINDOW, now);
            let until = now + LOAN_TIME;
            if lender
                .budget
                .try_lend(ExtraSend::Resumption, share, until, now)
            {
                let loan = Some((index_of_lender, until));
                self.vms[index].waiting.push((now + delay, loan));
                return;
            }
        }
    }

    /// Returns the highest ratio of arrivals to the permitted ones, over all windows.
    fn highest_use(&self, from: Timestamp) -> f64 {
        let within = |times: &[Timestamp], start: Timestamp| {
            let first = times.partition_point(|at| *at < start);
            let end = times.partition_point(|at| *at < start + WINDOW);
            f64::from(u32::try_from(end - first).unwrap())
        };
        let starts = self.arrivals.iter().filter(|at| **at >= from);
        let uses = starts.map(|start| {
            let before = within(&self.requests, start.saturating_sub(WINDOW));
            let requests = before
                .max(within(&self.requests, start.saturating_sub(WINDOW / 2)))
                .max(within(&self.requests, *start));
            within(&self.arrivals, *start) / (RATIO * requests + self.slack)
        });
        uses.fold(0.0, f64::max)
    }
}

/// Rounds up with the probability of the fraction.
fn floor(number: f64, random: f64) -> u32 {
    crate::gateway::number::floor_to_u32(number + random)
}

const FAULTS: [Faults; 5] = [
    Faults {
        restart: 0.0,
        pause: 0.0,
        cut_off: 0.0,
        joining: 0,
    },
    Faults {
        restart: 0.2,
        pause: 0.0,
        cut_off: 0.0,
        joining: 0,
    },
    Faults {
        restart: 0.05,
        pause: 0.05,
        cut_off: 0.3,
        joining: 0,
    },
    Faults {
        restart: 0.0,
        pause: 0.05,
        cut_off: 0.5,
        joining: 6,
    },
    Faults {
        restart: 0.02,
        pause: 0.0,
        cut_off: 0.8,
        joining: 2,
    },
];

/// Traffic that jumps to three times as much and back, and stops for a while.
fn jumping(now: Timestamp) -> f64 {
    match now.as_secs() % 30 {
        10..16 => 9.0,
        20..22 => 0.0,
        _ => 3.0,
    }
}

/// Guards against extra sends beyond the budget in any window, whatever ends, starts, pauses or is cut off.
#[test]
fn fleet_keeps_the_budget_in_every_window() {
    for faults in FAULTS {
        for seed in 0..6 {
            let mut simulation = Simulation::new(seed, 6, 52.0, faults);
            simulation.play(SECOND * 90, jumping, 1.5);
            let most = simulation.highest_use(SECOND);
            assert!(most <= 1.0, "seed {seed}: {most}");
        }
    }
}

/// Guards against VMs with shares that spend what those of the version before spend, too.
#[test]
fn fleet_with_an_earlier_version_keeps_the_budget() {
    for earlier in 1..6 {
        let mut simulation = Simulation::new(9, 6, 52.0, FAULTS[1]);
        simulation.earlier = earlier;
        simulation.delay = 0.1;
        simulation.play(SECOND * 90, |_| 3.0, 1.5);
        let most = simulation.highest_use(SECOND);
        assert!(most <= 1.0, "{earlier} of 6: {most}");
    }
}

/// The same with hundreds of VMs, each of which has a share of two.
#[test]
fn large_fleet_keeps_the_budget_in_every_window() {
    for (seed, faults) in FAULTS.into_iter().enumerate() {
        let seed = u64::try_from(seed).unwrap();
        let mut simulation = Simulation::new(seed, 300, 630.0, faults);
        simulation.play(SECOND * 70, |now| jumping(now) / 2.0, 1.5);
        let most = simulation.highest_use(SECOND);
        assert!(most <= 1.0, "seed {seed}: {most}");
    }
}

/// Guards against a budget that is kept by not being used.
#[test]
fn fleet_uses_the_budget_when_it_is_wanted() {
    for (vms, slack) in [(6, 52.0), (300, 630.0)] {
        let mut simulation = Simulation::new(7, vms, slack, Faults::default());
        simulation.delay = 0.1;
        simulation.play(SECOND * 60, |_| 3.0, 1.5);
        let most = simulation.highest_use(SECOND * 30);
        assert!((0.85..=1.0).contains(&most), "{vms} VMs: {most}");
    }
}

/// Guards against sends beyond the budget if all VMs want to send again before they have heard of each other.
#[test]
fn fleet_keeps_the_budget_at_one_moment() {
    for vms in [6, 300] {
        let slack = 2.1 * f64::from(u32::try_from(vms).unwrap());
        let mut simulation = Simulation::new(3, vms, slack, Faults::default());
        simulation.delay = 0.1;
        simulation.play(SECOND * 30, |_| 1.0, 0.0);
        let now = SECOND * 31;
        for index in 0..vms {
            for _ in 0..30 {
                simulation.want(index, now);
            }
        }
        for index in 0..vms {
            for time in 0..4 {
                simulation.step(index, |_| 0.0, 0.0, now + SECOND * time);
            }
        }
        simulation.arrivals.sort_unstable();
        let most = simulation.highest_use(SECOND * 30);
        // At one moment, half of the requests count whose ratio the budget permits.
        assert!((0.65..=1.0).contains(&most), "{vms} VMs: {most}");
    }
}

/// Guards against a share that one VM can use only while the others want nothing.
#[test]
fn vm_borrows_what_its_peers_do_not_use() {
    let mut simulation = Simulation::new(5, 300, 630.0, Faults::default());
    simulation.play(SECOND * 30, |_| 1.0, 0.0);
    for _ in 0..40 {
        simulation.want(0, SECOND * 31);
    }
    assert_eq!(simulation.vms[0].waiting.len(), 40);
}
