use super::{BLOCKED_BYTES, SlowCallers};
use proptest::prelude::*;
use std::time::Duration;

const MEGABYTE: usize = 1024 * 1024;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn read_ahead_leaves_room_for_other_callers() {
    let mut callers = SlowCallers::new(8 * MEGABYTE);
    let fill = |callers: &mut SlowCallers, id| {
        let parts = (0..10_000).take_while(|_| callers.try_read_ahead(id, 1024, at(0)));
        parts.count() * 1024
    };
    assert_eq!(fill(&mut callers, 1), 2 * MEGABYTE);
    assert_eq!(fill(&mut callers, 2), MEGABYTE);
    assert_eq!(fill(&mut callers, 3), MEGABYTE / 2);
}

#[test]
fn read_ahead_is_free_again_once_it_is_accepted() {
    let mut callers = SlowCallers::new(8 * MEGABYTE);
    assert!(callers.try_read_ahead(1, 2 * MEGABYTE, at(0)));
    assert!(!callers.try_read_ahead(1, MEGABYTE, at(0)));
    callers.record_progress(1, 2 * MEGABYTE, at(1));
    assert!(callers.try_read_ahead(1, 2 * MEGABYTE, at(1)));
    callers.remove(1);
    assert_eq!(callers.bytes(), 0);
}

#[test]
fn blocked_responses_beyond_the_budget_end_with_the_caller_that_has_not_read_for_longest() {
    let mut callers = SlowCallers::new(3 * BLOCKED_BYTES);
    for id in 1..=3 {
        callers.record_blocked(id, at(id));
    }
    callers.record_progress(1, 0, at(9));
    assert!((1..=3).all(|id| !callers.is_evicted(id)));
    assert_eq!(callers.record_blocked(4, at(10)), [2]);
    let evicted: Vec<u64> = (1..=4).filter(|id| callers.is_evicted(*id)).collect();
    assert_eq!(evicted, [2]);
    // The room of a response that is being given up counts as free.
    assert!(callers.record_blocked(4, at(10)).is_empty());
    assert!(!callers.is_evicted(3));
    callers.remove(2);
    callers.record_blocked(5, at(11));
    assert!(callers.is_evicted(3));
}

#[test]
fn response_that_goes_on_is_not_counted_as_blocked() {
    let mut callers = SlowCallers::new(BLOCKED_BYTES);
    callers.record_blocked(1, at(0));
    callers.record_unblocked(1);
    callers.record_blocked(2, at(1));
    assert!(!callers.is_evicted(1) && !callers.is_evicted(2));
}

/// Guards against a kept connection that loses its next response because its caller was slow to read the one before.
#[test]
fn caller_that_has_read_its_response_is_not_given_up() {
    let mut callers = SlowCallers::new(2 * BLOCKED_BYTES);
    callers.record_blocked(1, at(0));
    callers.record_unblocked(1);
    for id in 2..=4 {
        callers.record_blocked(id, at(id));
    }
    assert!(callers.is_evicted(2) && !callers.is_evicted(1));
    callers.remove(2);
    callers.remove(3);
    // Its next response has waited for a shorter time than that of the other caller.
    callers.record_blocked(1, at(5));
    callers.record_blocked(5, at(6));
    assert!(callers.is_evicted(4) && !callers.is_evicted(1));
}

proptest! {
    /// Guards against sums that drift from what the connections hold, and against a budget that is exceeded.
    #[test]
    fn bytes_of_connections_that_are_kept_stay_within_the_budget(
        steps in prop::collection::vec((0_u8..5, 0_u64..12, 0_usize..300_000), 1..200),
    ) {
        let budget = 4 * BLOCKED_BYTES;
        let mut callers = SlowCallers::new(budget);
        for (second, (step, id, bytes)) in steps.into_iter().enumerate() {
            let now = at(second as u64);
            match step {
                0 => { callers.try_read_ahead(id, bytes, now); }
                1 => { callers.record_blocked(id, now); }
                2 => callers.record_unblocked(id),
                3 => callers.record_progress(id, bytes, now),
                _ => callers.remove(id),
            }
            let sum: usize = callers.held.values().map(super::Held::bytes).sum();
            prop_assert_eq!(callers.bytes(), sum);
            if step == 1 {
                let kept = callers.held.values().filter(|held| !held.is_evicted);
                let kept: usize = kept.map(super::Held::bytes).sum();
                prop_assert!(kept <= budget, "{} bytes", kept);
            }
        }
        let ids: Vec<u64> = callers.held.keys().copied().collect();
        for id in ids {
            callers.remove(id);
        }
        prop_assert_eq!(callers.bytes(), 0);
    }
}
