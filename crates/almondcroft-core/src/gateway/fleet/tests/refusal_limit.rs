//! Targets that fail if they have to turn too much away.

use super::*;
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(10);

/// Time between two exchanges of load between VMs.
const EXCHANGE_STEPS: u32 = 12;

/// Time for which a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);

const SLOTS: u32 = 6;

/// VMs that place a burst at a few targets, which turn away what finds no free slot.
struct Burst {
    fleets: Vec<Fleet>,
    running: Vec<(Timestamp, usize, RequestId, TargetId)>,
    refused: BTreeMap<TargetId, Vec<Timestamp>>,
    served: usize,
    now: Timestamp,
    /// What each target states with its responses.
    limit: Option<f64>,
    targets: usize,
    exchanges: bool,
    /// Number of groups of VMs that hear only each other.
    sides: usize,
}

impl Burst {
    fn new(vms: usize, targets: usize, limit: Option<f64>) -> Self {
        let start = |number: usize| {
            let mut fleet = fleet(&[]);
            fleet.vm = format!("vm-{number}").into();
            for target in 0..targets {
                let id = format!("i-{target}");
                fleet.upsert_target(entry(&id, "orders", "z-0"), SECOND);
                fleet.record_refusal_limit(&id, limit, SECOND);
            }
            fleet
        };
        Self {
            limit,
            targets,
            exchanges: true,
            sides: 1,
            fleets: (0..vms).map(start).collect(),
            running: Vec::new(),
            refused: BTreeMap::new(),
            served: 0,
            now: SECOND * 2,
        }
    }

    /// Replaces a VM by a process that knows the list of VMs and nothing that targets stated.
    fn restart(&mut self, index: usize) {
        let names: Vec<VmId> = self.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
        let mut started = fleet(&[]);
        started.vm = names[index].clone();
        started.set_registered_vms(names.iter().filter(|name| **name != names[index]));
        for target in 0..self.targets {
            started.upsert_target(entry(&format!("i-{target}"), "orders", "z-0"), self.now);
        }
        self.running.retain(|run| run.1 != index);
        self.fleets[index] = started;
    }

    fn exchange(&mut self) {
        let size = self.fleets.len().div_ceil(self.sides);
        for side in self.fleets.chunks_mut(size) {
            exchange_snapshots(side, self.now);
        }
    }

    /// Submits a number of requests per VM and second, for a time.
    fn run(&mut self, time: Duration, per_second: f64) {
        let steps = u32::try_from(time.as_millis() / STEP.as_millis()).unwrap();
        for step in 0..steps {
            self.now += STEP;
            if self.exchanges && step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
            self.end_runs();
            for vm in 0..self.fleets.len() {
                let due = |step: u32| (f64::from(step) * per_second * STEP.as_secs_f64()).floor();
                let mut placed = self.fleets[vm].tick(self.now);
                let mut number = due(step);
                while number < due(step + 1) {
                    number += 1.0;
                    let mut demand = generation(&format!("r-{vm}-{step}-{number}"));
                    demand.service = "orders".into();
                    demand.need = Need::default();
                    demand.caller_timeout = SECOND;
                    demand.deadline = self.now + SECOND;
                    placed.extend(self.fleets[vm].submit(demand, self.now));
                }
                for request in placed {
                    self.arrive(vm, request);
                }
            }
        }
    }

    fn arrive(&mut self, vm: usize, placed: PlacedRequest) {
        let Placement::Send(choice) = placed.placement else {
            return;
        };
        let at_target = self.running.iter().filter(|run| run.3 == choice.target);
        if at_target.count() < usize::try_from(SLOTS).unwrap() {
            let end = self.now + RUN_TIME;
            self.running.push((end, vm, placed.request, choice.target));
            return;
        }
        let refused = self.refused.entry(choice.target.clone()).or_default();
        refused.push(self.now);
        self.fleets[vm].record_refusal_limit(&choice.target, self.limit, self.now);
        self.fleets[vm].record_refusal(&choice.target, self.now);
        for next in self.fleets[vm].finish(&placed.request, self.now) {
            self.arrive(vm, next);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |run| run.0 <= now).collect();
        for (_, vm, request, target) in ended {
            self.served += 1;
            self.fleets[vm].record_refusal_limit(&target, self.limit, now);
            for next in self.fleets[vm].finish(&request, now) {
                self.arrive(vm, next);
            }
        }
    }

    /// Returns the most refusals of one target in any second.
    fn most_refused(&self) -> usize {
        let most = self.refused.values().map(|times| {
            let within = |start: &Timestamp| {
                let window = *start..*start + SECOND;
                times.iter().filter(|at| window.contains(at)).count()
            };
            times.iter().map(within).max().unwrap_or_default()
        });
        most.max().unwrap_or_default()
    }
}

#[test]
fn burst_without_a_refusal_limit_is_turned_away_often() {
    let mut burst = Burst::new(7, 3, None);
    burst.run(SECOND * 4, 150.0);
    assert!(burst.most_refused() > 5, "{}", burst.most_refused());
}

#[test]
fn burst_stays_below_the_refusal_limit_and_uses_most_of_the_targets() {
    let mut burst = Burst::new(7, 3, Some(5.0));
    let time = SECOND * 4;
    burst.run(time, 150.0);
    assert!(burst.most_refused() <= 5, "{}", burst.most_refused());
    // Three targets with six slots each, for requests of 30 ms.
    let capacity = 3.0 * f64::from(SLOTS) / RUN_TIME.as_secs_f64() * time.as_secs_f64();
    let served = f64::from(u32::try_from(burst.served).unwrap());
    assert!(served >= capacity * 0.7, "{served} of {capacity}");
}

/// Guards against slots that each process that starts uses once more.
#[test]
fn burst_stays_below_the_refusal_limit_while_vms_end_and_start() {
    let mut burst = Burst::new(7, 3, Some(5.0));
    burst.run(SECOND, 150.0);
    for index in 0..12 {
        burst.restart(index % 7);
        burst.run(SECOND / 4, 150.0);
    }
    assert!(burst.most_refused() <= 5, "{}", burst.most_refused());
}

/// Guards against slots that each VM takes for itself once it has not heard of the others for long.
#[test]
fn burst_stays_below_the_refusal_limit_while_vms_hear_nothing_for_long() {
    let mut burst = registered_burst();
    burst.run(SECOND, 30.0);
    burst.exchanges = false;
    burst.run(SECOND * 12, 30.0);
    burst.run(SECOND * 2, 150.0);
    assert!(burst.most_refused() <= 5, "{}", burst.most_refused());
}

/// Guards against sides of a partition that each use all slots.
#[test]
fn burst_stays_below_the_refusal_limit_on_both_sides_of_a_partition() {
    let mut burst = registered_burst();
    burst.run(SECOND, 30.0);
    burst.sides = 2;
    burst.run(SECOND * 12, 30.0);
    burst.run(SECOND * 2, 150.0);
    assert!(burst.most_refused() <= 5, "{}", burst.most_refused());
}

/// Returns VMs that know the list of VMs.
fn registered_burst() -> Burst {
    let mut burst = Burst::new(7, 3, Some(5.0));
    let names: Vec<VmId> = burst.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
    for (fleet, own) in burst.fleets.iter_mut().zip(&names) {
        fleet.set_registered_vms(names.iter().filter(|name| *name != own));
    }
    burst
}

#[test]
fn every_vm_places_requests_on_targets_with_a_refusal_limit() {
    let mut burst = Burst::new(16, 1, Some(5.0));
    burst.exchange();
    for (vm, fleet) in burst.fleets.iter_mut().enumerate() {
        let mut demand = generation(&format!("r-{vm}"));
        demand.service = "orders".into();
        demand.need = Need::default();
        assert_eq!(chosen_targets(&fleet.submit(demand, burst.now)), ["i-0"]);
    }
}

#[test]
fn refusal_limit_ends_with_a_response_without_it() {
    let mut fleet = fleet(&[]);
    fleet.upsert_target(entry("i-0", "orders", "z-0"), SECOND);
    assert!(fleet.record_refusal_limit("i-0", Some(2.0), SECOND));
    assert!(!fleet.record_refusal_limit("i-0", Some(2.0), SECOND));
    assert!(fleet.record_refusal_limit("i-0", None, SECOND));
    fleet.record_refusal("i-0", SECOND);
    assert_eq!(fleet.usable_count(SECOND + SECOND / 5), 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn any_fleet_stays_below_the_refusal_limit(
        vms in 1_usize..9, targets in 1_usize..6, limit in 3_u32..12, per_second in 10.0..200.0
    ) {
        let mut burst = Burst::new(vms, targets, Some(f64::from(limit)));
        burst.run(SECOND * 3, per_second);
        let most = burst.most_refused();
        prop_assert!(most <= usize::try_from(limit).unwrap(), "{most} refusals, limit {limit}");
    }
}
