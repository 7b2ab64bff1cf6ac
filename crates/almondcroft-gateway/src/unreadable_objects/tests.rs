use super::*;

fn unreadable(name: &str, reason: &str) -> Item {
    Item::Unreadable(name.into(), reason.into())
}

/// Guards against a log that grows with each list, or with each time that another writer writes an object again.
#[test]
fn record_reports_an_object_once_until_it_is_readable() {
    let mut objects = UnreadableObjects::default();
    let odd = [unreadable("i-1", "state x"), unreadable("", "no name")];
    let reported = [("i-1", "state x"), ("", "no name")];
    assert_eq!(objects.record(&odd), reported);
    assert!(objects.record(&odd).is_empty());
    let again = [unreadable("i-1", "state y")];
    assert!(objects.record(&again).is_empty());
    let removed = [Item::Target(EntryEvent::Absent("i-1".into()))];
    assert!(objects.record(&removed).is_empty());
    assert_eq!(objects.record(&again), [("i-1", "state y")]);
}

/// Guards against a log line of the size of an object, and against a set that grows without bound.
#[test]
fn record_limits_texts_and_names() {
    let mut objects = UnreadableObjects::default();
    let long = "é".repeat(500_000);
    let item = [unreadable(&long, &long)];
    let reported = objects.record(&item);
    assert!(reported[0].0.len() <= MAX_TEXT_BYTES && reported[0].1.len() <= MAX_TEXT_BYTES);
    for number in 0..2 * MAX_NAMES {
        objects.record(&[unreadable(&number.to_string(), "")]);
    }
    assert_eq!(objects.names.len(), MAX_NAMES);
}
