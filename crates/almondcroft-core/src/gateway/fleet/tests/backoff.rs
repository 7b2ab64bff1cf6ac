//! Targets that ask for no requests for a time.

use super::*;

fn reasons(placements: &[PlacedRequest]) -> Vec<(RefusalReason, Duration)> {
    let refused = placements
        .iter()
        .filter_map(|placed| match placed.placement {
            Placement::Refused {
                reason,
                retry_after,
            } => Some((reason, retry_after)),
            Placement::Send(_) => None,
        });
    refused.collect()
}

#[test]
fn record_backoff_excludes_target_from_every_choice() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    assert_eq!(
        chosen_targets(&fleet.submit(generation("0"), SECOND)),
        ["a"]
    );
    fleet.record_backoff("b", SECOND * 3, SECOND);
    assert!(fleet.choose_backup_target(&"0".into(), SECOND).is_none());
    assert!(fleet.choose_migration_target(&"0".into(), SECOND).is_none());
    assert!(fleet.is_backing_off("b", SECOND * 3));
    assert!(!fleet.is_backing_off("b", SECOND * 4));
    assert!(
        fleet
            .choose_backup_target(&"0".into(), SECOND * 4)
            .is_some()
    );
}

#[test]
fn record_backoff_of_all_targets_refuses_at_once_what_would_be_late() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.record_backoff("a", SECOND * 60, SECOND);
    fleet.record_backoff("b", SECOND * 4, SECOND);
    let placements = fleet.submit(generation("0"), SECOND);
    assert_eq!(reasons(&placements), [(RefusalReason::Backoff, SECOND * 4)]);
    // A caller that can wait until the first back-off ends is queued.
    let patient = Demand {
        caller_timeout: SECOND * 40,
        ..generation("1")
    };
    assert!(fleet.submit(patient, SECOND).is_empty());
    assert_eq!(chosen_targets(&fleet.tick(SECOND * 5)), ["b"]);
}

#[test]
fn record_backoff_refuses_waiting_requests_that_would_be_late() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..12 {
        fleet.submit(generation(&format!("{number}")), SECOND);
    }
    let waiting = fleet.waiting_count();
    assert!(waiting > 0);
    let refused = fleet.record_backoff("a", SECOND * 30, SECOND);
    let expected = vec![(RefusalReason::Backoff, MAX_RETRY_AFTER); waiting];
    assert_eq!(reasons(&refused), expected);
    assert_eq!(fleet.waiting_count(), 0);
}

#[test]
fn record_backoff_is_bounded_and_ends_with_the_incarnation() {
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.record_backoff("a", Duration::MAX, SECOND);
    assert!(fleet.is_backing_off("a", SECOND * 599));
    assert!(!fleet.is_backing_off("a", SECOND * 602));
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a", "menus", "q-a")
    };
    fleet.upsert_target(restarted, SECOND * 2);
    assert!(!fleet.is_backing_off("a", SECOND * 2));
}

#[test]
fn back_off_outlives_the_entry_of_the_same_incarnation_only() {
    let incarnation = |number| TargetEntry {
        incarnation: number,
        ..entry("a", "menus", "q-a")
    };
    let mut fleet = fleet(&[]);
    fleet.upsert_target(incarnation(1), SECOND);
    fleet.record_backoff("a", SECOND * 3, SECOND);
    fleet.remove_target("a", SECOND);
    fleet.tick(SECOND * 2);
    fleet.upsert_target(incarnation(1), SECOND * 2);
    assert!(fleet.is_backing_off("a", SECOND * 3));
    fleet.remove_target("a", SECOND * 3);
    fleet.upsert_target(incarnation(2), SECOND * 3);
    assert!(!fleet.is_backing_off("a", SECOND * 3));
}

#[test]
fn stated_limit_outlives_the_entry() {
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.record_stated_limit("a", Some(2.0), SECOND);
    fleet.remove_target("a", SECOND);
    fleet.upsert_target(entry("a", "menus", "q-a"), SECOND * 2);
    let limits = fleet.stated_limits(SECOND * 2);
    assert_eq!(limits.len(), 1);
    assert_eq!(limits[0].per_second, Some(2.0));
}
