use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "menus".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        region: "r".into(),
        slots: 4,
        draining: false,
        cold_until: Timestamp::ZERO,
        incarnation: 1,
    }
}

fn gone(id: &str) -> TargetChange {
    TargetChange::Gone(id.into())
}

#[test]
fn apply_absent_while_store_available() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    let changes = directory.apply(EntryEvent::Absent("a".into()), SECOND * 2);
    assert_eq!(changes, [gone("a")]);
}

#[test]
fn apply_absent_after_outage_keeps_target_for_registration_time() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    directory.mark_store_unavailable();
    directory.mark_store_available(SECOND * 10);
    assert_eq!(directory.replace(vec![entry("a")], SECOND * 10), []);
    assert_eq!(directory.remove_missing(SECOND * 11), []);
    assert_eq!(directory.remove_missing(SECOND * 12), [gone("b")]);
}

#[test]
fn apply_absent_after_outage_registers_again() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    directory.mark_store_unavailable();
    directory.mark_store_available(SECOND * 10);
    directory.replace(vec![], SECOND * 10);
    directory.apply(EntryEvent::Present(entry("a")), SECOND * 11);
    assert_eq!(directory.remove_missing(SECOND * 20), []);
    assert_eq!(directory.known.len(), 1);
}

#[test]
fn apply_absent_after_outage_removes_draining_target() {
    let mut directory = Directory::default();
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    directory.replace(vec![leaving], SECOND);
    directory.mark_store_unavailable();
    directory.mark_store_available(SECOND * 10);
    assert_eq!(directory.replace(vec![], SECOND * 10), [gone("a")]);
}

#[test]
fn apply_present_restarted_under_same_id() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a")
    };
    let changes = directory.apply(EntryEvent::Present(restarted.clone()), SECOND);
    assert_eq!(changes, [gone("a"), TargetChange::Joined(restarted)]);
}

#[test]
fn replace_without_changes() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    assert_eq!(directory.replace(vec![entry("a")], SECOND * 2), []);
}

#[test]
fn changes_since_returns_latest_states() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b"), entry("c")], SECOND);
    directory.advance_checkpoint(10, SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    directory.apply(EntryEvent::Present(leaving.clone()), SECOND);
    directory.advance_checkpoint(12, SECOND);
    directory.apply(EntryEvent::Absent("b".into()), SECOND);
    directory.advance_checkpoint(15, SECOND);
    let (a, b) = (EntryEvent::Present(leaving), EntryEvent::Absent("b".into()));
    assert_eq!(
        directory.changes_since(10, SECOND),
        Some(vec![a, b.clone()])
    );
    assert_eq!(directory.changes_since(12, SECOND), Some(vec![b.clone()]));
    // For a revision between two checkpoints, the changes of the later checkpoint are returned.
    assert_eq!(directory.changes_since(13, SECOND), Some(vec![b]));
    assert_eq!(directory.changes_since(15, SECOND), Some(vec![]));
}

#[test]
fn changes_since_before_first_list() {
    let mut directory = Directory::default();
    assert_eq!(directory.changes_since(0, SECOND), None);
    directory.replace(vec![entry("a")], SECOND);
    directory.advance_checkpoint(10, SECOND);
    assert_eq!(directory.changes_since(9, SECOND), None);
}

#[test]
fn changes_since_around_outage() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    directory.advance_checkpoint(10, SECOND);
    directory.mark_store_unavailable();
    assert_eq!(directory.changes_since(10, SECOND * 5), None);
    directory.mark_store_available(SECOND * 9);
    directory.apply(EntryEvent::Absent("a".into()), SECOND * 9);
    directory.advance_checkpoint(12, SECOND * 9);
    assert_eq!(directory.changes_since(10, SECOND * 10), None);
    // The result is the same before and after the missing target is removed.
    let gone = EntryEvent::Absent("a".into());
    assert_eq!(
        directory.changes_since(10, SECOND * 12),
        Some(vec![gone.clone()])
    );
    directory.remove_missing(SECOND * 12);
    assert_eq!(directory.changes_since(10, SECOND * 12), Some(vec![gone]));
}

#[test]
fn changes_since_forgets_oldest_removals() {
    let mut directory = Directory::default();
    directory.replace(vec![], SECOND);
    directory.advance_checkpoint(1, SECOND);
    for number in 0..=MAX_REMOVED {
        let id = format!("t-{number}");
        directory.apply(EntryEvent::Present(entry(&id)), SECOND);
        directory.apply(EntryEvent::Absent(id.into()), SECOND);
        directory.advance_checkpoint(2 + number as u64, SECOND);
    }
    assert_eq!(directory.changes_since(1, SECOND), None);
    let changes = directory.changes_since(2, SECOND);
    assert_eq!(changes.map(|events| events.len()), Some(MAX_REMOVED));
}

#[test]
fn advance_checkpoint_keeps_latest_time() {
    let mut directory = Directory::default();
    assert_eq!(directory.complete_at(), None);
    directory.advance_checkpoint(10, SECOND * 4);
    directory.advance_checkpoint(9, SECOND * 3);
    assert_eq!(directory.complete_at(), Some(SECOND * 4));
    assert_eq!(directory.revision(), Some(10));
}

#[test]
fn apply_changes_keeps_latest_states() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (10, SECOND), SECOND);
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a")
    };
    directory.apply_changes(
        vec![EntryEvent::Present(restarted.clone())],
        (14, SECOND),
        SECOND,
    );
    // The response of the store to an earlier request arrives after newer changes from another VM.
    let old = vec![EntryEvent::Absent("a".into())];
    assert_eq!(directory.apply_changes(old, (12, SECOND), SECOND), []);
    // Overlapping changes end in the same state.
    let overlap = vec![
        EntryEvent::Absent("a".into()),
        EntryEvent::Present(restarted),
    ];
    assert_eq!(directory.apply_changes(overlap, (15, SECOND), SECOND), []);
}

#[test]
fn apply_list_ignores_old_list() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (10, SECOND), SECOND);
    assert_eq!(directory.apply_list(vec![], (9, SECOND), SECOND), []);
    assert_eq!(
        directory.apply_list(vec![], (11, SECOND), SECOND),
        [gone("a")]
    );
}
