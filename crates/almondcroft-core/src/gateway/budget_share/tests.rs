use super::*;

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn registered(is_new: bool, vms: u32, now: Timestamp) -> BudgetShare {
    let mut share = BudgetShare::new(2, now);
    share.record_list(vms, now);
    share.record_registration(is_new, now);
    share
}

/// Asserts that a fraction is one part of so many.
#[track_caller]
fn assert_part(fraction: f64, parts: f64) {
    assert!((fraction * parts - 1.0).abs() < 1e-9, "{fraction}");
}

#[test]
fn fraction_before_registration() {
    let share = BudgetShare::new(2, SECOND);
    assert!(share.fraction(WINDOW, SECOND * 60) <= 0.0);
}

#[test]
fn fraction_after_restart_waits_for_what_the_process_before_spent() {
    let mut share = registered(false, 2, SECOND);
    assert!(share.fraction(WINDOW, SECOND * 14) <= 0.0);
    share.record_list(2, SECOND * 9);
    assert_part(share.fraction(WINDOW, SECOND * 16), 2.0);
}

#[test]
fn fraction_of_new_vm() {
    // Two VMs are assumed by all, so neither waits for the other.
    assert_part(registered(true, 2, SECOND).fraction(WINDOW, SECOND), 2.0);
    let mut share = registered(true, 3, SECOND);
    assert!(share.fraction(WINDOW, SECOND * 13) <= 0.0);
    share.record_list(3, SECOND * 9);
    assert_part(share.fraction(WINDOW, SECOND * 15), 3.0);
}

#[test]
fn fraction_grows_late_when_vms_leave() {
    let mut share = registered(true, 2, SECOND);
    share.record_list(9, SECOND * 2);
    share.record_list(4, SECOND * 20);
    share.record_list(4, SECOND * 28);
    assert_part(share.fraction(WINDOW, SECOND * 16), 9.0);
    assert_part(share.fraction(WINDOW, SECOND * 33), 4.0);
}

#[test]
fn fraction_without_the_list_is_halved() {
    let mut share = registered(true, 4, SECOND);
    share.record_list(4, SECOND * 20);
    assert_part(share.fraction(WINDOW, SECOND * 29), 4.0);
    assert_part(share.fraction(WINDOW, SECOND * 31), 8.0);
    share.record_vms(5, SECOND * 32);
    assert_part(share.fraction(WINDOW, SECOND * 33), 10.0);
}

#[test]
fn fraction_after_giving_up() {
    let mut share = registered(true, 1, SECOND);
    share.give_up();
    assert!(share.fraction(WINDOW, SECOND * 60) <= 0.0);
}
