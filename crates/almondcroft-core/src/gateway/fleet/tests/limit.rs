use super::*;
use proptest::prelude::*;

/// Time between two rounds of the simulation.
const STEP: Duration = Duration::from_millis(50);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// VMs of several zones that send all of their requests to one target.
struct Vms {
    fleets: Vec<Fleet>,
    sent: Vec<Timestamp>,
    now: Timestamp,
    next: usize,
}

impl Vms {
    fn new(count: usize, zones: usize) -> Self {
        let start = |number: usize| {
            let mut fleet = fleet(&[]).zone(format!("z-{}", number % zones).into());
            fleet.vm = format!("vm-{number}").into();
            let mut target = entry("i-1", "orders", "z-0");
            target.slots = 1_000;
            fleet.upsert_target(target, SECOND);
            fleet
        };
        let mut vms = Self {
            fleets: (0..count).map(start).collect(),
            sent: Vec::new(),
            now: SECOND * 10,
            next: 0,
        };
        vms.exchange();
        vms
    }

    fn exchange(&mut self) {
        exchange_snapshots(&mut self.fleets, self.now);
        let statements: Vec<_> = self
            .fleets
            .iter()
            .map(|fleet| fleet.stated_limits(self.now))
            .collect();
        for fleet in &mut self.fleets {
            for stated in &statements {
                fleet.merge_stated_limits(stated, self.now);
            }
        }
    }

    /// Lets each VM submit a request at each step; the target states a limit with each response.
    fn run(&mut self, time: Duration, limit: Option<f64>, exchanges: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.fleets.len() {
                let fleet = &mut self.fleets[index];
                let mut placed = fleet.tick(self.now);
                self.next += 1;
                let mut demand = generation(&format!("r-{}", self.next));
                demand.service = "orders".into();
                demand.need = Need::default();
                demand.caller_timeout = SECOND;
                demand.deadline = self.now + SECOND;
                placed.extend(fleet.submit(demand, self.now));
                for request in placed {
                    if matches!(request.placement, Placement::Send(_)) {
                        self.sent.push(self.now);
                        fleet.record_stated_limit("i-1", limit, self.now);
                        fleet.finish(&request.request, self.now);
                    }
                }
            }
            if exchanges && (self.now.as_millis() / STEP.as_millis()).is_multiple_of(4) {
                self.exchange();
            }
        }
    }

    /// Returns the most requests in any window after a time.
    fn most_sent(&self, from: Timestamp) -> usize {
        let later: Vec<Timestamp> = self.sent.iter().copied().filter(|at| *at >= from).collect();
        let within = |start: &Timestamp| {
            let end = *start + WINDOW;
            later
                .iter()
                .filter(|at| (*start..end).contains(*at))
                .count()
        };
        later.iter().map(within).max().unwrap_or_default()
    }
}

fn allowed(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() * 1.5 + 5.0
}

#[allow(clippy::cast_precision_loss, reason = "a small count")]
fn is_allowed(count: usize, limit: f64) -> bool {
    count as f64 <= allowed(limit)
}

#[test]
fn submit_within_a_limit_that_ends() {
    let mut vms = Vms::new(7, 3);
    vms.run(SECOND, None, true);
    vms.run(SECOND * 12, Some(3.6), true);
    let from = SECOND * 12;
    assert!(
        is_allowed(vms.most_sent(from), 3.6),
        "{}",
        vms.most_sent(from)
    );
    assert!(vms.most_sent(from) >= 7, "{}", vms.most_sent(from));
    // The end of the limit is known after the next response.
    vms.run(SECOND * 3, None, true);
    let before = vms.sent.len();
    vms.run(SECOND, None, true);
    assert_eq!(vms.sent.len() - before, 7 * 20);
}

#[test]
fn submit_refuses_what_a_limit_leaves_no_place_for() {
    let mut vms = Vms::new(300, 6);
    vms.run(SECOND * 2, Some(2.0), true);
    let before = vms.sent.len();
    vms.run(SECOND, Some(2.0), true);
    assert!(vms.sent.len() - before <= 5);
    let now = vms.now + STEP;
    let mut demand = generation("last");
    demand.service = "orders".into();
    demand.need = Need::default();
    demand.deadline = now + SECOND;
    let refused = vms.fleets.iter_mut().filter_map(|fleet| {
        let placed = fleet.submit(demand.clone(), now);
        match placed.first().map(|placed| placed.placement.clone()) {
            Some(Placement::Refused { reason, .. }) => Some(reason),
            _ => None,
        }
    });
    let refused: Vec<RefusalReason> = refused.collect();
    assert!(refused.len() >= 295, "{}", refused.len());
    assert!(refused.iter().all(|reason| *reason == RefusalReason::Limit));
}

#[test]
fn record_stated_limit_of_a_target_that_restarts() {
    let mut vms = Vms::new(1, 1);
    vms.run(SECOND * 3, Some(0.0), true);
    let mut target = entry("i-1", "orders", "z-0");
    target.incarnation = 2;
    target.slots = 1_000;
    vms.fleets[0].upsert_target(target, vms.now);
    let before = vms.sent.len();
    vms.run(SECOND, None, true);
    assert_eq!(vms.sent.len() - before, 20);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever the fleet, the limit holds, also while the VMs do not hear of each other.
    #[test]
    fn submit_within_any_limit(
        count in 1..40_usize,
        zones in 1..6_usize,
        limit in 0.0..20.0_f64,
        silent in 0..8_u32,
    ) {
        let mut vms = Vms::new(count, zones.min(count));
        vms.run(SECOND, Some(limit), true);
        let from = vms.now;
        vms.run(SECOND * silent, Some(limit), false);
        vms.run(SECOND * 5, Some(limit), true);
        let most = vms.most_sent(from);
        prop_assert!(is_allowed(most, limit), "{most}");
    }
}

impl Vms {
    /// Replaces a VM by a process that has heard nothing yet but what the list of VMs says.
    fn restart(&mut self, index: usize) {
        let names: Vec<VmId> = self.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
        let mut started = fleet(&[]).zone(self.fleets[index].zone.clone());
        started.vm = names[index].clone();
        started.set_registered_vms(names.iter().filter(|name| **name != names[index]));
        let mut target = entry("i-1", "orders", "z-0");
        target.slots = 1_000;
        started.upsert_target(target, self.now);
        self.fleets[index] = started;
    }

    fn register_all(&mut self) {
        let names: Vec<VmId> = self.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
        for (fleet, own) in self.fleets.iter_mut().zip(&names) {
            fleet.set_registered_vms(names.iter().filter(|name| *name != own));
        }
    }
}

/// Guards against a limit that is spent once more by each process that starts.
#[test]
fn submit_within_a_limit_while_vms_end_and_start() {
    for count in [6, 24] {
        let mut vms = Vms::new(count, 3);
        vms.register_all();
        vms.run(SECOND * 4, Some(3.6), true);
        let from = vms.now;
        for index in 0..40 {
            vms.restart(index % count);
            vms.run(SECOND / 2, Some(3.6), true);
        }
        let most = vms.most_sent(from);
        assert!(is_allowed(most, 3.6), "{count} VMs: {most}");
        assert!(most >= 5, "{count} VMs: {most}");
    }
}

/// Guards against a limit that each VM takes for itself once it has not heard of the others for long.
#[test]
fn submit_within_a_limit_while_vms_hear_nothing_for_long() {
    let mut vms = Vms::new(7, 3);
    vms.register_all();
    vms.run(SECOND * 4, Some(3.6), true);
    let from = vms.now;
    vms.run(SECOND * 30, Some(3.6), false);
    let most = vms.most_sent(from);
    assert!(is_allowed(most, 3.6), "{most}");
}
