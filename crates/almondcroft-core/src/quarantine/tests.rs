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

#[test]
fn crash_counts_share_the_newest_of_many() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 0..40 {
        quarantine.record_crash(fingerprint, START);
    }
    quarantine.record_crash(u64::MAX, START);
    quarantine.record_crash(u64::MAX, START);
    quarantine.record_crash(1_000, START + Duration::from_secs(1));
    let counts = quarantine.crash_counts(START + Duration::from_secs(2));
    assert!(counts.contains(&(u64::MAX, 2)), "{counts:?}");
    assert!(counts.contains(&(1_000, 1)), "{counts:?}");
}
