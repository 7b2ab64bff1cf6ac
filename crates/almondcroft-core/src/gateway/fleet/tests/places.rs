use super::*;
use crate::gateway::{ColdBounds, ColdStart};
use proptest::prelude::*;

/// Time between two rounds of the simulation.
const STEP: Duration = Duration::from_millis(25);

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| (*name).into()))
}

fn restricted(id: &str, names: &[&str]) -> Demand {
    Demand {
        regions: regions(names),
        ..generation(id)
    }
}

fn refusals(placements: &[PlacedRequest]) -> Vec<RefusalReason> {
    let refused = placements
        .iter()
        .filter_map(|placed| match placed.placement {
            Placement::Refused { reason, .. } => Some(reason),
            Placement::Send(_) => None,
        });
    refused.collect()
}

/// Guards against requests that are served outside the regions of their route or customer.
#[test]
fn submit_stays_in_allowed_regions() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "g-a"), ("c", "g-b")]);
    for number in 0..6 {
        let placed = fleet.submit(restricted(&format!("r-{number}"), &["g"]), SECOND);
        assert!(chosen_targets(&placed).iter().all(|target| *target != "a"));
    }
    let placed = fleet.submit(restricted("none", &["x"]), SECOND);
    assert_eq!(refusals(&placed), [RefusalReason::Regions]);
}

/// Guards against a queue that waits for room in one region while others have some.
#[test]
fn submit_passes_a_request_whose_region_is_full() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "g-a")]);
    let mut number = 0;
    // Fills the engine in the allowed region until a request has to wait.
    while fleet.waiting_count() == 0 {
        number += 1;
        fleet.submit(restricted(&format!("g-{number}"), &["g"]), SECOND);
    }
    let placed = fleet.submit(generation("free"), SECOND);
    assert_eq!(chosen_targets(&placed), ["a"]);
}

/// Guards against copies of a generation's KV cache that leave its regions.
#[test]
fn choose_migration_target_stays_in_allowed_regions() {
    let mut fleet = fleet(&[("a", "g-a"), ("b", "q-a")]);
    fleet.submit(restricted("r-1", &["g"]), SECOND);
    fleet.record_response_start(&"r-1".into(), SECOND);
    assert_eq!(fleet.choose_migration_target(&"r-1".into(), SECOND), None);
    fleet.upsert_target(entry("c", "menus", "g-b"), SECOND);
    let choice = fleet.choose_migration_target(&"r-1".into(), SECOND);
    assert_eq!(choice.unwrap().target, "c");
}

/// Guards against requests and copies that reach an evacuated zone.
#[test]
fn set_evacuated_keeps_requests_and_copies_away() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-b")]);
    fleet.set_evacuated(["q-a".into()].into(), SECOND);
    for number in 0..4 {
        let placed = fleet.submit(generation(&format!("r-{number}")), SECOND);
        assert!(chosen_targets(&placed).iter().all(|target| *target == "b"));
    }
    fleet.record_response_start(&"r-0".into(), SECOND);
    assert_eq!(fleet.choose_migration_target(&"r-0".into(), SECOND), None);
    assert!(!fleet.may_send("a", &AllowedRegions::default()));
    assert!(!fleet.may_resume("a", &AllowedRegions::default(), SECOND));

    fleet.set_evacuated(["q-a".into(), "q-b".into()].into(), SECOND);
    let placed = fleet.submit(generation("all"), SECOND);
    assert_eq!(refusals(&placed), [RefusalReason::NoTarget]);
    // A waiting request is placed as soon as the evacuation ends.
    fleet.set_evacuated(BTreeSet::new(), SECOND);
    let placed = fleet.submit(generation("after"), SECOND);
    assert_eq!(chosen_targets(&placed).len(), 1);
}

/// A service whose targets bear few requests while they are cold.
fn cold_pools(per_second: f64) -> BTreeMap<ServiceId, PoolSpec> {
    let pool = PoolSpec {
        id: "orders".into(),
        connections: 100,
        engine: None,
        cold_start: Some(ColdStart {
            duration: SECOND * 2,
            per_second,
        }),
    };
    BTreeMap::from([(pool.id.clone(), pool)])
}

/// VMs that send all of their requests to targets which are cold for the whole time.
struct Vms {
    fleets: Vec<Fleet>,
    /// Times at which requests were sent, by target.
    sent: BTreeMap<TargetId, Vec<Timestamp>>,
    bounds: ColdBounds,
    per_second: f64,
    targets: usize,
    now: Timestamp,
    next: usize,
}

impl Vms {
    fn new(count: usize, targets: usize, per_second: f64, bounds: ColdBounds) -> Self {
        let mut vms = Self {
            fleets: Vec::new(),
            sent: BTreeMap::new(),
            bounds,
            per_second,
            targets,
            now: SECOND * 10,
            next: 0,
        };
        let names: Vec<VmId> = (0..count)
            .map(|number| format!("vm-{number}").into())
            .collect();
        vms.fleets = names.iter().map(|name| vms.start(name, &names)).collect();
        exchange_snapshots(&mut vms.fleets, vms.now);
        vms
    }

    /// Starts a VM that knows which others are registered, but has not heard any.
    fn start(&self, name: &str, registered: &[VmId]) -> Fleet {
        let mut fleet = fleet(&[]);
        fleet.vm = name.into();
        fleet.set_pools(cold_pools(self.per_second), SECOND);
        fleet.set_cold_bounds(self.bounds);
        fleet.set_registered_vms(registered.iter().filter(|vm| **vm != *name));
        for target in 0..self.targets {
            let mut target = entry(&format!("i-{target}"), "orders", "z-0");
            target.slots = 10_000;
            target.cold_until = SECOND * 1_000;
            fleet.upsert_target(target, self.now);
        }
        fleet
    }

    /// Lets each VM submit requests at each step.
    fn run(&mut self, time: Duration, exchanges: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for fleet in &mut self.fleets {
                let mut placed = fleet.tick(self.now);
                for _ in 0..3 {
                    self.next += 1;
                    let mut demand = generation(&format!("r-{}", self.next));
                    demand.service = "orders".into();
                    demand.need = Need::default();
                    demand.caller_timeout = SECOND;
                    demand.deadline = self.now + SECOND;
                    placed.extend(fleet.submit(demand, self.now));
                }
                for request in placed {
                    if let Placement::Send(choice) = request.placement {
                        self.sent.entry(choice.target).or_default().push(self.now);
                        fleet.record_response_start(&request.request, self.now);
                        fleet.finish(&request.request, self.now);
                    }
                }
            }
            if exchanges && (self.now.as_millis() / STEP.as_millis()).is_multiple_of(8) {
                exchange_snapshots(&mut self.fleets, self.now);
            }
        }
    }

    /// Returns the most requests to one target in any second.
    fn most_sent(&self) -> usize {
        let most = self.sent.values().map(|sent| {
            let within = |start: &Timestamp| {
                let end = *start + SECOND;
                sent.iter().filter(|at| (*start..end).contains(at)).count()
            };
            let counts = sent.iter().map(within);
            counts.max().unwrap_or_default()
        });
        most.max().unwrap_or_default()
    }

    fn permitted(&self) -> f64 {
        self.per_second * self.bounds.ratio + self.bounds.slack
    }
}

const BOUNDS: ColdBounds = ColdBounds {
    ratio: 1.5,
    slack: 5.0,
};

/// Guards against a fleet that overloads a target that has just started.
#[test]
#[allow(clippy::cast_precision_loss, reason = "small counts")]
fn submit_to_a_cold_target_at_its_rate() {
    let mut vms = Vms::new(20, 1, 31.0, BOUNDS);
    vms.run(SECOND * 10, true);
    let permitted = vms.permitted();
    assert!(vms.most_sent() as f64 <= permitted, "{}", vms.most_sent());
    let count = vms.sent["i-0"].len() as f64;
    assert!(count >= permitted * 10.0 * 0.7, "{count} in 10 s");
}

/// Guards against a rate that is spent once more by each process that starts.
#[test]
#[allow(clippy::cast_precision_loss, reason = "small counts")]
fn submit_to_a_cold_target_while_vms_end_and_start() {
    let mut vms = Vms::new(20, 1, 31.0, BOUNDS);
    let names: Vec<VmId> = vms.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
    vms.run(SECOND, true);
    for index in 0..60 {
        let index = index % names.len();
        vms.fleets[index] = vms.start(&names[index], &names);
        vms.run(SECOND / 10, true);
    }
    let permitted = vms.permitted();
    assert!(vms.most_sent() as f64 <= permitted, "{}", vms.most_sent());
}

/// Guards against a target that restarted unseen and gets its full load at once.
#[test]
#[allow(clippy::cast_precision_loss, reason = "small counts")]
fn submit_after_a_connection_failed() {
    let mut vms = Vms::new(1, 1, 2.0, BOUNDS);
    let fleet = &mut vms.fleets[0];
    let mut warm = entry("i-0", "orders", "z-0");
    warm.slots = 10_000;
    fleet.upsert_target(warm, vms.now);
    fleet.record_failure("i-0", true, vms.now);
    // Its first response shows that it is back; it may be cold for two seconds from then on.
    vms.run(SECOND, false);
    assert!(
        vms.most_sent() as f64 <= vms.permitted(),
        "{}",
        vms.most_sent()
    );
    let before = vms.sent["i-0"].len();
    vms.run(SECOND * 3, false);
    assert!(vms.sent["i-0"].len() - before > 100);
}

/// Guards against full load on targets that an evacuation has left cold.
#[test]
fn set_evacuated_leaves_targets_cold() {
    let mut fleet = fleet(&[]);
    fleet.set_pools(cold_pools(2.0), SECOND);
    fleet.upsert_target(entry("i-0", "orders", "z-0"), SECOND);
    fleet.set_evacuated(["z-0".into()].into(), SECOND);
    assert!(!fleet.is_cold("i-0", SECOND));
    fleet.set_evacuated(BTreeSet::new(), SECOND * 5);
    assert!(fleet.is_cold("i-0", SECOND * 6));
    assert!(!fleet.is_cold("i-0", SECOND * 8));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Whatever the fleet, no cold target gets more than is permitted in any second, also while VMs do not hear of
    /// each other, and while one starts again.
    #[test]
    #[allow(clippy::cast_precision_loss, reason = "small counts")]
    fn submit_within_any_cold_rate(
        count in 1..24_usize,
        restarted in any::<bool>(),
        targets in 1..4_usize,
        per_second in 1.0..40.0_f64,
        ratio in 1.0..2.0_f64,
        slack in 2.0..8.0_f64,
        silent in 0..5_u32,
    ) {
        let mut vms = Vms::new(count, targets, per_second, ColdBounds { ratio, slack });
        vms.run(SECOND, true);
        vms.run(SECOND * silent, false);
        let known: Vec<VmId> = vms.fleets.iter().map(|fleet| fleet.vm.clone()).collect();
        if restarted {
            vms.fleets[0] = vms.start(&known[0], &known);
        }
        vms.run(SECOND * 2, false);
        vms.run(SECOND * 2, true);
        let permitted = vms.permitted();
        prop_assert!(vms.most_sent() as f64 <= permitted, "{} > {permitted}", vms.most_sent());
    }
}
