use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn taken(budget: &mut FleetRetryBudget, sends: FleetSends, now: Timestamp) -> u32 {
    let mut count = 0;
    while budget.try_take(ExtraSend::Resumption, sends, now) {
        count += 1;
    }
    count
}

fn alone(total_vms: u32) -> FleetSends {
    FleetSends {
        others: SendCounts::default(),
        reachable_vms: 1,
        total_vms,
    }
}

#[test]
fn take_without_peers_spends_own_share() {
    // Six VMs that cannot reach each other together keep the bound of the fleet.
    let total: u32 = (0..6)
        .map(|_| {
            let mut budget = FleetRetryBudget::new(0.2, 52.0, SECOND * 10);
            taken(&mut budget, alone(6), SECOND)
        })
        .sum();
    assert!((30..=52).contains(&total), "{total}");
}

#[test]
fn take_with_peers_uses_remaining_budget() {
    // In the scenario "Chairline scale-1", one VM had more generations to migrate than its own share of
    // the budget allowed.
    let mut budget = FleetRetryBudget::new(0.2, 54.0, SECOND * 10);
    let others = SendCounts {
        requests: 90,
        extra: 10,
    };
    let sends = FleetSends {
        others,
        reachable_vms: 7,
        total_vms: 7,
    };
    let count = taken(&mut budget, sends, SECOND);
    assert!(count > 54 / 7, "{count}");
    assert!(count + others.extra <= 54 + 18);
}

#[test]
fn take_with_most_peers_uses_scaled_budget() {
    // In the scenario "Villacres grown, trouble-1", 23 of 77 VMs were partitioned off. 28 generations
    // of the other VMs had been copied and stopped, but did not continue on their new targets because
    // each VM was limited to 194 / 77 extra sends.
    let others = SendCounts {
        requests: 300,
        extra: 90,
    };
    let sends = FleetSends {
        others,
        reachable_vms: 54,
        total_vms: 77,
    };
    let mut budget = FleetRetryBudget::new(0.2, 194.0, SECOND * 10);
    let majority = others.extra + taken(&mut budget, sends, SECOND);
    assert!(majority > 120, "{majority}");
    // Both sides of the partition together keep the bound.
    let rest = FleetSends {
        others: SendCounts {
            requests: 120,
            extra: 0,
        },
        reachable_vms: 23,
        total_vms: 77,
    };
    let minority = taken(
        &mut FleetRetryBudget::new(0.2, 194.0, SECOND * 10),
        rest,
        SECOND,
    );
    assert!(majority + minority <= 194 + 84, "{majority} {minority}");
}

#[test]
fn take_after_window() {
    let mut budget = FleetRetryBudget::new(0.0, 5.0, SECOND * 10);
    assert_eq!(taken(&mut budget, alone(1), SECOND), 4);
    assert_eq!(budget.counts(SECOND * 5).extra, 4);
    assert_eq!(budget.counts(SECOND * 12).extra, 0);
    assert!(budget.try_take(ExtraSend::Resumption, alone(1), SECOND * 12));
}

#[test]
fn take_for_repeats_leaves_a_part_to_resumptions() {
    // A VM that hears none of three peers repeats requests of failing targets, and an engine leaves then.
    let mut budget = FleetRetryBudget::new(0.2, 60.0, SECOND * 10);
    let mut repeats = 0;
    while budget.try_take(ExtraSend::Repeat, alone(4), SECOND) {
        repeats += 1;
    }
    assert!(repeats >= 8, "{repeats}");
    assert!(taken(&mut budget, alone(4), SECOND) >= 2);
}
