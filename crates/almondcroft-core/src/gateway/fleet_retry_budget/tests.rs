mod fleet;

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn take(budget: &mut FleetRetryBudget, send: ExtraSend, share: f64, now: Timestamp) -> bool {
    let taken = budget.try_take(send, share, now);
    if taken {
        budget.settle(now);
    }
    taken
}

fn taken(budget: &mut FleetRetryBudget, share: f64, now: Timestamp) -> u32 {
    let mut count = 0;
    while take(budget, ExtraSend::Resumption, share, now) {
        count += 1;
    }
    count
}

/// Returns a budget with so many requests in each of the 30 seconds before a time.
fn with_requests(slack: f64, per_second: u32, now: Timestamp) -> FleetRetryBudget {
    let mut budget = FleetRetryBudget::new(0.2, slack, WINDOW);
    for second in (1..30).rev() {
        for _ in 0..per_second {
            budget.record_request(now.saturating_sub(SECOND * second));
        }
    }
    budget
}

#[test]
fn take_without_peers_spends_own_share() {
    // Six VMs that cannot reach each other together keep the bound of the fleet, and spend most of it.
    let total: u32 = (0..6)
        .map(|_| taken(&mut with_requests(52.0, 0, SECOND), 1.0 / 6.0, SECOND))
        .sum();
    assert!((48..=52).contains(&total), "{total}");
}

#[test]
fn take_with_peers_uses_remaining_budget() {
    // In the scenario "Chairline scale-1", one VM had more generations to migrate than its own share of
    // the budget allowed.
    let share = 1.0 / 7.0;
    let mut others: Vec<FleetRetryBudget> = (0..6)
        .map(|_| with_requests(54.0, 2, SECOND * 40))
        .collect();
    let now = SECOND * 40;
    for budget in &mut others {
        for _ in 0..2 {
            assert!(take(budget, ExtraSend::Repeat, share, now));
        }
    }
    let mut count = taken(&mut with_requests(54.0, 0, now), share, now);
    assert!(count <= 54 / 7, "{count}");
    for budget in &mut others {
        while budget.try_lend(ExtraSend::Resumption, share, now + SECOND * 4, now) {
            count += 1;
        }
    }
    assert!(count > 54 / 7, "{count}");
    // The others got 120 requests in a window.
    assert!((50..=54 + 24).contains(&(count + 12)), "{count}");
}

#[test]
fn take_with_most_peers_uses_scaled_budget() {
    // In the scenario "Villacres grown, trouble-1", 23 of 77 VMs were partitioned off. 28 generations
    // of the other VMs had been copied and stopped, but did not continue on their new targets because
    // each VM was limited to 194 / 77 extra sends.
    let now = SECOND * 40;
    let side = |vms: u32| -> u32 {
        (0..vms)
            .map(|_| {
                let mut budget = with_requests(194.0, 1, now);
                taken(&mut budget, 1.0 / 77.0, now)
            })
            .sum()
    };
    let majority = side(54);
    assert!(majority > 120, "{majority}");
    // Both sides of the partition together keep the bound.
    let minority = side(23);
    assert!(
        f64::from(majority + minority) <= 194.0 + 0.2 * 77.0 * 10.0,
        "{majority} {minority}"
    );
}

#[test]
fn take_after_window() {
    let mut budget = FleetRetryBudget::new(0.0, 5.0, WINDOW);
    assert_eq!(taken(&mut budget, 1.0, SECOND), 5);
    assert_eq!(budget.counts(SECOND * 5).extra, 5);
    assert_eq!(budget.counts(SECOND * 12).extra, 0);
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, SECOND * 12));
}

#[test]
fn take_for_repeats_leaves_a_part_to_resumptions() {
    // A VM that hears none of three peers repeats requests of failing targets, and an engine leaves then.
    let mut budget = FleetRetryBudget::new(0.2, 60.0, WINDOW);
    let mut repeats = 0;
    while take(&mut budget, ExtraSend::Repeat, 0.25, SECOND) {
        repeats += 1;
    }
    assert!(repeats >= 8, "{repeats}");
    assert!(taken(&mut budget, 0.25, SECOND) >= 2);
}

#[test]
fn take_for_repeats_uses_all_where_nothing_is_resumed() {
    let mut budget = FleetRetryBudget::new(0.2, 60.0, WINDOW);
    budget.reserve_resumptions(false);
    let mut repeats = 0;
    while take(&mut budget, ExtraSend::Repeat, 0.25, SECOND) {
        repeats += 1;
    }
    assert_eq!(repeats, 15);
}

#[test]
fn open_sends_count_until_they_are_settled() {
    // A repeat that waits for a place arrives in a later window than the one in which it was taken.
    let mut budget = FleetRetryBudget::new(0.0, 1.0, WINDOW);
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, SECOND));
    assert!(!budget.try_take(ExtraSend::Resumption, 1.0, SECOND * 20));
    budget.settle(SECOND * 20);
    assert!(!budget.try_take(ExtraSend::Resumption, 1.0, SECOND * 29));
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, SECOND * 31));
}

#[test]
fn loans_count_until_they_run_out() {
    let mut budget = FleetRetryBudget::new(0.0, 1.0, WINDOW);
    let until = SECOND * 5;
    assert!(budget.try_lend(ExtraSend::Resumption, 1.0, until, SECOND));
    assert!(!budget.try_take(ExtraSend::Resumption, 1.0, until + SECOND * 9));
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, until + SECOND * 11));
}

#[test]
fn ended_loans_count_from_their_use() {
    let now = SECOND;
    let lent = || {
        let mut budget = FleetRetryBudget::new(0.0, 1.0, WINDOW);
        assert!(budget.try_lend(ExtraSend::Resumption, 1.0, now + SECOND * 4, now));
        budget
    };
    let mut budget = lent();
    budget.end_loan(now + SECOND * 4, true, now + SECOND);
    assert!(!budget.try_take(ExtraSend::Resumption, 1.0, now + SECOND * 10));
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, now + SECOND * 12));
    let mut budget = lent();
    budget.end_loan(now + SECOND * 4, false, now + SECOND);
    assert!(budget.try_take(ExtraSend::Resumption, 1.0, now + SECOND));
}

#[test]
fn requests_count_in_their_window_and_the_next_one() {
    let jump = || {
        let mut budget = FleetRetryBudget::new(0.2, 0.0, WINDOW);
        for _ in 0..100 {
            budget.record_request(SECOND * 50);
        }
        budget
    };
    // The window that ends with the sends has no requests before, so half of them count.
    assert_eq!(taken(&mut jump(), 1.0, SECOND * 51), 10);
    // No window with few requests gets the sends that a jump of traffic permitted.
    assert_eq!(taken(&mut jump(), 1.0, SECOND * 71), 0);
    let mut budget = with_requests(0.0, 10, SECOND * 50);
    assert_eq!(taken(&mut budget, 1.0, SECOND * 50), 10);
    assert_eq!(taken(&mut budget, 1.0, SECOND * 60), 0);
}

#[test]
fn sends_beside_vms_without_shares_leave_what_those_may_spend() {
    // VMs of the version before spend 0.8 of the budget by what they have heard of.
    let budget = FleetRetryBudget::new(0.2, 52.0, WINDOW);
    let others = SendCounts {
        requests: 300,
        extra: 88,
    };
    let sends = FleetSends {
        others,
        reachable_vms: 6,
        total_vms: 6,
    };
    assert!(budget.permits_beside(ExtraSend::Resumption, sends, SECOND));
    assert!(!budget.permits_beside(ExtraSend::Repeat, sends, SECOND));
}
