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
        born: 1,
    }
}

fn gone(id: &str) -> Change {
    Change::Gone(id.into())
}

#[test]
fn absent_while_store_answers() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    let changes = directory.apply(EntryEvent::Absent("a".into()), SECOND * 2);
    assert_eq!(changes, [gone("a")]);
}

#[test]
fn absent_after_outage_kept_until_grace() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    directory.store_lost();
    directory.store_back(SECOND * 10);
    assert_eq!(directory.replace(vec![entry("a")], SECOND * 10), []);
    assert_eq!(directory.tick(SECOND * 11), []);
    assert_eq!(directory.tick(SECOND * 12), [gone("b")]);
}

#[test]
fn absent_after_outage_registers_again() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    directory.store_lost();
    directory.store_back(SECOND * 10);
    directory.replace(vec![], SECOND * 10);
    directory.apply(EntryEvent::Present(entry("a")), SECOND * 11);
    assert_eq!(directory.tick(SECOND * 20), []);
    assert_eq!(directory.known.len(), 1);
}

#[test]
fn draining_target_does_not_come_back_with_outage() {
    let mut directory = Directory::default();
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    directory.replace(vec![leaving], SECOND);
    directory.store_lost();
    directory.store_back(SECOND * 10);
    assert_eq!(directory.replace(vec![], SECOND * 10), [gone("a")]);
}

#[test]
fn reborn_under_same_id() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    let reborn = TargetEntry {
        born: 2,
        ..entry("a")
    };
    let changes = directory.apply(EntryEvent::Present(reborn.clone()), SECOND);
    assert_eq!(changes, [gone("a"), Change::Joined(reborn)]);
}

#[test]
fn unchanged_entry_is_no_change() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a")], SECOND);
    assert_eq!(directory.replace(vec![entry("a")], SECOND * 2), []);
}

#[test]
fn since_tells_latest_states() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b"), entry("c")], SECOND);
    directory.reach(10, SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    directory.apply(EntryEvent::Present(leaving.clone()), SECOND);
    directory.reach(12, SECOND);
    directory.apply(EntryEvent::Absent("b".into()), SECOND);
    directory.reach(15, SECOND);
    let (a, b) = (EntryEvent::Present(leaving), EntryEvent::Absent("b".into()));
    assert_eq!(directory.since(10, SECOND), Some(vec![a, b.clone()]));
    assert_eq!(directory.since(12, SECOND), Some(vec![b.clone()]));
    // A revision between two that were reached: what came after it may be either.
    assert_eq!(directory.since(13, SECOND), Some(vec![b]));
    assert_eq!(directory.since(15, SECOND), Some(vec![]));
}

#[test]
fn since_is_unknown_before_first_list() {
    let mut directory = Directory::default();
    assert_eq!(directory.since(0, SECOND), None);
    directory.replace(vec![entry("a")], SECOND);
    directory.reach(10, SECOND);
    assert_eq!(directory.since(9, SECOND), None);
}

#[test]
fn since_is_unknown_around_outage() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    directory.reach(10, SECOND);
    directory.store_lost();
    assert_eq!(directory.since(10, SECOND * 5), None);
    directory.store_back(SECOND * 9);
    directory.apply(EntryEvent::Absent("a".into()), SECOND * 9);
    directory.reach(12, SECOND * 9);
    assert_eq!(directory.since(10, SECOND * 10), None);
    // The same before and after the tick that lets go of it.
    let gone = EntryEvent::Absent("a".into());
    assert_eq!(directory.since(10, SECOND * 12), Some(vec![gone.clone()]));
    directory.tick(SECOND * 12);
    assert_eq!(directory.since(10, SECOND * 12), Some(vec![gone]));
}

#[test]
fn since_forgets_oldest_departures() {
    let mut directory = Directory::default();
    directory.replace(vec![], SECOND);
    directory.reach(1, SECOND);
    for number in 0..=MAX_GONE {
        let id = format!("t-{number}");
        directory.apply(EntryEvent::Present(entry(&id)), SECOND);
        directory.apply(EntryEvent::Absent(id.into()), SECOND);
        directory.reach(2 + number as u64, SECOND);
    }
    assert_eq!(directory.since(1, SECOND), None);
    let told = directory.since(2, SECOND);
    assert_eq!(told.map(|events| events.len()), Some(MAX_GONE));
}

#[test]
fn reach_keeps_latest_time() {
    let mut directory = Directory::default();
    assert_eq!(directory.complete_at(), None);
    directory.reach(10, SECOND * 4);
    directory.reach(9, SECOND * 3);
    assert_eq!(directory.complete_at(), Some(SECOND * 4));
    assert_eq!(directory.revision(), Some(10));
}

#[test]
fn take_changes_latest_states() {
    let mut directory = Directory::default();
    directory.take_list(vec![entry("a")], (10, SECOND), SECOND);
    let reborn = TargetEntry {
        born: 2,
        ..entry("a")
    };
    directory.take_changes(
        vec![EntryEvent::Present(reborn.clone())],
        (14, SECOND),
        SECOND,
    );
    // The store's answer to an earlier question comes later than another VM's word.
    let old = vec![EntryEvent::Absent("a".into())];
    assert_eq!(directory.take_changes(old, (12, SECOND), SECOND), []);
    // One that overlaps ends in the same state.
    let overlap = vec![EntryEvent::Absent("a".into()), EntryEvent::Present(reborn)];
    assert_eq!(directory.take_changes(overlap, (15, SECOND), SECOND), []);
}

#[test]
fn take_list_passes_over_old_one() {
    let mut directory = Directory::default();
    directory.take_list(vec![entry("a")], (10, SECOND), SECOND);
    assert_eq!(directory.take_list(vec![], (9, SECOND), SECOND), []);
    assert_eq!(
        directory.take_list(vec![], (11, SECOND), SECOND),
        [gone("a")]
    );
}
