use super::*;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

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

fn revision(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn restored(revision: u64) -> StorePosition {
    StorePosition { era: 2, revision }
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
    assert_eq!(directory.remove_missing(MS * 12_200), []);
    assert_eq!(directory.remove_missing(MS * 12_300), [gone("b")]);
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

/// Guards against a removed target that stays in use because one VM of those that follow the store is cut off from it.
#[test]
fn record_uncertain_view_of_one_vm_shows_no_outage() {
    let vm = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    for second in 2..6 {
        directory.record_uncertain_view(vm(1));
        directory.record_uncertain_view(vm(1));
        directory.mark_store_available(SECOND * second);
    }
    let changes = directory.apply(EntryEvent::Absent("a".into()), SECOND * 6);
    assert_eq!(changes, [gone("a")]);
    // Entries may have expired if several of them say so.
    directory.record_uncertain_view(vm(1));
    directory.record_uncertain_view(vm(2));
    directory.mark_store_available(SECOND * 7);
    let changes = directory.apply(EntryEvent::Absent("b".into()), SECOND * 7);
    assert_eq!(changes, []);
    assert_eq!(directory.remove_missing(MS * 9_200), []);
    assert_eq!(directory.remove_missing(MS * 9_300), [gone("b")]);
}

/// Guards against a removed target that stays in use because the registration time after an outage is waited for twice, by the
/// VM that follows the store and by the one that asks it.
#[test]
fn record_certain_view_of_a_vm_that_reported_the_outage() {
    let vm = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let outage = || {
        let mut directory = Directory::default();
        directory.replace(vec![entry("a")], SECOND);
        directory.record_uncertain_view(vm(1));
        directory.record_uncertain_view(vm(2));
        assert!(directory.is_uncertain(SECOND * 5));
        directory
    };
    let mut directory = outage();
    directory.record_certain_view(vm(2), SECOND * 5);
    assert!(!directory.is_uncertain(SECOND * 5));
    let changes = directory.apply(EntryEvent::Absent("a".into()), SECOND * 5);
    assert_eq!(changes, [gone("a")]);
    // Another one may have started after the outage, when entries were missing.
    let mut directory = outage();
    directory.record_certain_view(vm(3), SECOND * 5);
    let changes = directory.apply(EntryEvent::Absent("a".into()), SECOND * 5);
    assert_eq!(changes, []);
}

/// Guards against a sound target that is lost for good because another VM saw its entry disappear, which is back since.
#[test]
fn record_removal_of_an_entry_that_is_back() {
    let removal = |incarnation, at| EntryRemoval {
        target: "a".into(),
        incarnation,
        position: revision(at),
    };
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a"), entry("b")], (revision(10), SECOND), SECOND);
    // This VM knows more, or the target has started again.
    assert_eq!(directory.record_removal(&removal(1, 10), SECOND), []);
    assert_eq!(directory.record_removal(&removal(2, 11), SECOND), []);
    assert_eq!(
        directory.record_removal(&removal(1, 11), SECOND),
        [gone("a")]
    );
    assert_eq!(directory.record_removal(&removal(1, 11), SECOND), []);
    // The removal at 11 and the entry at 12.
    let back = vec![EntryEvent::Present(entry("a"))];
    let changes = directory.apply_changes(back, (revision(12), SECOND), SECOND);
    assert_eq!(changes, [TargetChange::Joined(entry("a"))]);
    // The message is repeated for a time.
    assert_eq!(directory.record_removal(&removal(1, 11), SECOND), []);
    // Positions of another era are not comparable.
    let mut restored_removal = removal(1, 40);
    restored_removal.position.era = 2;
    assert_eq!(directory.record_removal(&restored_removal, SECOND), []);
}

/// Guards against a removal that is believed at once although entries may have expired in an outage.
#[test]
fn record_removal_after_an_outage() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    directory.mark_store_unavailable();
    directory.mark_store_available(SECOND * 10);
    let removal = EntryRemoval {
        target: "a".into(),
        incarnation: 1,
        position: revision(11),
    };
    assert_eq!(directory.record_removal(&removal, SECOND * 10), []);
    assert_eq!(directory.take_kept(), [TargetId::from("a")]);
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
    directory.advance_checkpoint(revision(10), SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    directory.apply(EntryEvent::Present(leaving.clone()), SECOND);
    directory.advance_checkpoint(revision(12), SECOND);
    directory.apply(EntryEvent::Absent("b".into()), SECOND);
    directory.advance_checkpoint(revision(15), SECOND);
    let (a, b) = (EntryEvent::Present(leaving), EntryEvent::Absent("b".into()));
    assert_eq!(
        directory.changes_since(revision(10), SECOND),
        Some(vec![a, b.clone()])
    );
    assert_eq!(
        directory.changes_since(revision(12), SECOND),
        Some(vec![b.clone()])
    );
    // For a revision between two checkpoints, the changes of the later checkpoint are returned.
    assert_eq!(directory.changes_since(revision(13), SECOND), Some(vec![b]));
    assert_eq!(directory.changes_since(revision(15), SECOND), Some(vec![]));
}

#[test]
fn changes_since_before_first_list() {
    let mut directory = Directory::default();
    assert_eq!(directory.changes_since(revision(0), SECOND), None);
    directory.replace(vec![entry("a")], SECOND);
    directory.advance_checkpoint(revision(10), SECOND);
    assert_eq!(directory.changes_since(revision(9), SECOND), None);
}

#[test]
fn changes_since_around_outage() {
    let mut directory = Directory::default();
    directory.replace(vec![entry("a"), entry("b")], SECOND);
    directory.advance_checkpoint(revision(10), SECOND);
    directory.mark_store_unavailable();
    assert_eq!(directory.changes_since(revision(10), SECOND * 5), None);
    directory.mark_store_available(SECOND * 9);
    directory.apply(EntryEvent::Absent("a".into()), SECOND * 9);
    directory.advance_checkpoint(revision(12), SECOND * 9);
    assert_eq!(directory.changes_since(revision(10), SECOND * 10), None);
    // The result is the same before and after the missing target is removed.
    let gone = EntryEvent::Absent("a".into());
    assert_eq!(
        directory.changes_since(revision(10), SECOND * 12),
        Some(vec![gone.clone()])
    );
    directory.remove_missing(SECOND * 12);
    assert_eq!(
        directory.changes_since(revision(10), SECOND * 12),
        Some(vec![gone])
    );
}

#[test]
fn changes_since_forgets_oldest_removals() {
    let mut directory = Directory::default();
    directory.replace(vec![], SECOND);
    directory.advance_checkpoint(revision(1), SECOND);
    for number in 0..=MAX_REMOVED {
        let id = format!("t-{number}");
        directory.apply(EntryEvent::Present(entry(&id)), SECOND);
        directory.apply(EntryEvent::Absent(id.into()), SECOND);
        directory.advance_checkpoint(revision(2 + number as u64), SECOND);
    }
    assert_eq!(directory.changes_since(revision(1), SECOND), None);
    let changes = directory.changes_since(revision(2), SECOND);
    assert_eq!(changes.map(|events| events.len()), Some(MAX_REMOVED));
}

#[test]
fn advance_checkpoint_keeps_latest_time() {
    let mut directory = Directory::default();
    assert_eq!(directory.complete_at(), None);
    directory.advance_checkpoint(revision(10), SECOND * 4);
    directory.advance_checkpoint(revision(9), SECOND * 3);
    assert_eq!(directory.complete_at(), Some(SECOND * 4));
    assert_eq!(directory.position(), Some(revision(10)));
}

#[test]
fn apply_changes_keeps_latest_states() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a")
    };
    directory.apply_changes(
        vec![EntryEvent::Present(restarted.clone())],
        (revision(14), SECOND),
        SECOND,
    );
    // The response of the store to an earlier request arrives after newer changes from another VM.
    let old = vec![EntryEvent::Absent("a".into())];
    assert_eq!(
        directory.apply_changes(old, (revision(12), SECOND), SECOND),
        []
    );
    // Overlapping changes end in the same state.
    let overlap = vec![
        EntryEvent::Absent("a".into()),
        EntryEvent::Present(restarted),
    ];
    assert_eq!(
        directory.apply_changes(overlap, (revision(15), SECOND), SECOND),
        []
    );
}

#[test]
fn apply_list_ignores_old_list() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    assert_eq!(
        directory.apply_list(vec![], (revision(9), SECOND), SECOND),
        []
    );
    assert_eq!(
        directory.apply_list(vec![], (revision(11), SECOND), SECOND),
        [gone("a")]
    );
}

#[test]
fn apply_list_of_new_era_with_lower_revision() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(530), SECOND), SECOND);
    let entries = vec![entry("a"), entry("b")];
    let changes = directory.apply_list(entries, (restored(500), SECOND), SECOND);
    assert_eq!(changes, [TargetChange::Joined(entry("b"))]);
    assert_eq!(directory.position(), Some(restored(500)));
    assert_eq!(directory.changes_since(revision(530), SECOND * 9), None);
    // A late response from before the restoration.
    assert_eq!(
        directory.apply_list(vec![], (revision(531), SECOND), SECOND),
        []
    );
    let absent = vec![EntryEvent::Absent("a".into())];
    assert_eq!(
        directory.apply_changes(absent, (revision(532), SECOND), SECOND),
        []
    );
}

#[test]
fn apply_list_of_earlier_era_once_a_later_one_began() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    directory.begin_era(2, SECOND);
    assert_eq!(
        directory.apply_list(vec![], (revision(11), SECOND), SECOND),
        []
    );
}

#[test]
fn apply_changes_of_new_era_before_its_list() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    // Revisions 8 to 10 were given out again, so changes after 10 are not all.
    let absent = vec![EntryEvent::Absent("a".into())];
    assert_eq!(
        directory.apply_changes(absent, (restored(11), SECOND), SECOND),
        []
    );
    assert_eq!(directory.position(), Some(revision(10)));
}

#[test]
fn restored_list_keeps_lost_target_until_it_registers() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a"), entry("b")], (revision(10), SECOND), SECOND);
    assert_eq!(directory.compare_restored(&[]).lost, 2);
    assert_eq!(
        directory.apply_list(vec![], (restored(8), SECOND), SECOND),
        []
    );
    let again = vec![EntryEvent::Present(entry("a"))];
    assert_eq!(
        directory.apply_changes(again, (restored(9), SECOND), SECOND * 2),
        []
    );
    assert_eq!(directory.remove_missing(MS * 3_200), []);
    let end = MS * 3_300;
    assert_eq!(directory.needs_view_at(), Some(end));
    directory.apply_changes(vec![], (restored(9), end), end);
    assert_eq!(directory.remove_missing(end), [gone("b")]);
}

/// Guards against a target that is given up although it has registered again, which no view has shown yet.
#[test]
fn remove_missing_without_a_view_of_the_end_of_the_registration_time() {
    let mut directory = Directory::default();
    let list = vec![entry("a"), entry("b")];
    directory.apply_list(list, (revision(10), SECOND), SECOND);
    directory.mark_store_unavailable();
    directory.mark_store_available(SECOND * 10);
    directory.apply_list(vec![], (revision(12), SECOND * 10), SECOND * 10);
    assert_eq!(directory.needs_view_at(), Some(MS * 12_300));
    assert_eq!(directory.remove_missing(SECOND * 13), []);
    let again = vec![EntryEvent::Present(entry("a"))];
    directory.apply_changes(again, (revision(13), SECOND * 13), SECOND * 13);
    assert_eq!(directory.remove_missing(SECOND * 13), [gone("b")]);
    assert_eq!(directory.needs_view_at(), None);
}

#[test]
fn restored_entry_of_gone_target_is_used_only_if_it_stays() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a"), entry("b")], (revision(10), SECOND), SECOND);
    directory.apply_list(vec![], (revision(12), SECOND), SECOND);
    let entries = vec![entry("a"), entry("b")];
    assert_eq!(directory.compare_restored(&entries).outdated, 2);
    let again = entries.clone();
    assert_eq!(
        directory.apply_list(entries, (restored(10), SECOND), SECOND),
        []
    );
    directory.apply_list(again, (restored(10), SECOND), SECOND * 2);
    assert_eq!(directory.release_held(SECOND * 5), []);
    let expired = vec![EntryEvent::Absent("a".into())];
    assert_eq!(
        directory.apply_changes(expired, (restored(11), SECOND), SECOND * 5),
        []
    );
    assert_eq!(
        directory.release_held(SECOND * 6),
        [TargetChange::Joined(entry("b"))]
    );
}

#[test]
fn restored_entry_of_leaving_target_does_not_bring_it_back() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a")
    };
    let events = vec![EntryEvent::Present(leaving)];
    directory.apply_changes(events, (revision(11), SECOND), SECOND);
    let list = vec![entry("a")];
    assert_eq!(
        directory.apply_list(list, (restored(10), SECOND), SECOND),
        []
    );
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a")
    };
    let events = vec![EntryEvent::Present(restarted.clone())];
    let changes = directory.apply_changes(events, (restored(12), SECOND), SECOND);
    assert_eq!(changes, [gone("a"), TargetChange::Joined(restarted)]);
}

#[test]
fn restored_entry_of_earlier_incarnation_is_held() {
    let mut directory = Directory::default();
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a")
    };
    directory.apply_list(vec![restarted], (revision(10), SECOND), SECOND);
    let list = vec![entry("a")];
    assert_eq!(
        directory.apply_list(list, (restored(8), SECOND), SECOND),
        []
    );
}

#[test]
fn record_leaving_outlives_the_entry_that_shows_the_target_as_ready() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (revision(10), SECOND), SECOND);
    let leaving = [TargetChange::Leaving("a".into())];
    assert_eq!(directory.record_leaving(&"a".into(), 1), leaving);
    assert_eq!(directory.record_leaving(&"a".into(), 1), []);
    assert_eq!(directory.record_leaving(&"a".into(), 2), []);
    let warmer = TargetEntry {
        cold_until: SECOND * 3,
        ..entry("a")
    };
    let events = vec![EntryEvent::Present(warmer)];
    let changes = directory.apply_changes(events, (revision(11), SECOND), SECOND);
    assert!(
        !changes
            .iter()
            .any(|change| matches!(change, TargetChange::Joined(_)))
    );
}

/// Guards against a VM that learns of changes too late because they do not fit into one message: whatever pages are
/// lost and whatever changes meanwhile, a reader that asks for one page after the other ends with the view of the
/// directory that it reads from.
#[test]
fn changes_after_in_pages_while_targets_change() {
    let mut source = Directory::default();
    let mut reader = Directory::default();
    let ids: Vec<String> = (0..400).map(|number| format!("i-{number:03}")).collect();
    let entries: Vec<TargetEntry> = ids.iter().map(|id| entry(id)).collect();
    for directory in [&mut source, &mut reader] {
        directory.apply_list(entries.clone(), (position(1), SECOND), SECOND);
    }
    let mut revision = 1;
    let mut change = |source: &mut Directory, index: usize, now: Timestamp| {
        revision += 1;
        let event = if index.is_multiple_of(3) {
            EntryEvent::Absent(ids[index].as_str().into())
        } else {
            EntryEvent::Present(TargetEntry {
                draining: true,
                ..entry(&ids[index])
            })
        };
        source.apply_changes(vec![event], (position(revision), now), now);
    };
    for index in 0..300 {
        change(&mut source, index, SECOND * 2);
    }
    let (mut cursor, mut messages) = (None, 0);
    loop {
        messages += 1;
        // Two further targets change with each page.
        if messages < 40 {
            change(&mut source, 300 + messages * 2, SECOND * 2);
            change(&mut source, 301 + messages * 2, SECOND * 2);
        }
        let since = reader.position().unwrap();
        let changes = source.changes_after(since, cursor.as_ref(), SECOND * 3);
        let mut changes = changes.unwrap();
        // Every fifth page is lost, and the reader asks for it again.
        if messages % 5 == 0 {
            continue;
        }
        let is_last = changes.len() <= 40;
        changes.truncate(40);
        let next = changes.last().map(|(cursor, _)| cursor.clone());
        let events = changes.into_iter().map(|(_, event)| event).collect();
        if is_last {
            let position = source.position().unwrap();
            reader.apply_changes(events, (position, SECOND * 2), SECOND * 3);
            break;
        }
        reader.apply_part(events, since, SECOND * 3);
        cursor = next;
        assert!(messages < 200, "{messages} pages");
    }
    assert_eq!(reader.entries(SECOND * 3), source.entries(SECOND * 3));
    assert_eq!(reader.position(), source.position());
}

/// Guards against a page of an older view that takes back what a VM has learned since it asked.
#[test]
fn apply_part_of_an_older_view() {
    let mut directory = Directory::default();
    directory.apply_list(vec![entry("a")], (position(4), SECOND), SECOND);
    let gone = vec![EntryEvent::Absent("a".into())];
    assert_eq!(directory.apply_part(gone, position(3), SECOND), []);
    assert_eq!(directory.entries(SECOND).unwrap().len(), 1);
}
