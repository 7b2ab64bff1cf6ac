use super::*;

const START: Timestamp = Duration::from_secs(1_000);

#[test]
fn remaining_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(7, START);
    assert_eq!(quarantine.remaining(7, START), None);
    quarantine.record_crash(7, START);
    assert_eq!(quarantine.remaining(7, START), Some(QUARANTINE_TIME));
    assert_eq!(quarantine.remaining(7, START + QUARANTINE_TIME), None);
}

#[test]
fn merge_from_other_vm() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(7, START);
    quarantine.merge(7, 2, START);
    assert!(quarantine.remaining(7, START).is_some());
}
