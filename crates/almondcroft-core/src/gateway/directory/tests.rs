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
    assert_eq!(directory.entries().count(), 1);
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
