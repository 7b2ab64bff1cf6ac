use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn target(cold_until: Timestamp) -> TargetEntry {
    TargetEntry {
        id: "i-1".into(),
        service: "menus".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "q-a".into(),
        region: "q".into(),
        slots: 24,
        draining: false,
        cold_until,
        incarnation: 7,
    }
}

#[test]
fn into_events_translates_clocks() {
    let events = vec![
        EntryEvent::Present(target(SECOND * 103)),
        EntryEvent::Absent("i-2".into()),
    ];
    let position = StorePosition {
        era: 1,
        revision: 40,
    };
    let update = TargetUpdate::new(position, 1, events, SECOND * 100);
    let bytes = serde_json::to_vec(&update).unwrap();
    let read: TargetUpdate = serde_json::from_slice(&bytes).unwrap();
    let events = read.into_events(SECOND * 5);
    let expected = [
        EntryEvent::Present(target(SECOND * 8)),
        EntryEvent::Absent("i-2".into()),
    ];
    assert_eq!(events, expected);
}

#[test]
fn into_events_of_warm_target_is_equal() {
    let events = vec![EntryEvent::Present(target(Timestamp::ZERO))];
    let position = StorePosition {
        era: 1,
        revision: 40,
    };
    let update = TargetUpdate::new(position, 1, events.clone(), SECOND * 100);
    assert_eq!(update.into_events(SECOND * 5), events);
}

#[test]
fn age_ms_rounds_up() {
    assert_eq!(age_ms(SECOND, SECOND), 1);
    assert_eq!(age_ms(SECOND, SECOND + Duration::from_micros(1_900)), 2);
}
