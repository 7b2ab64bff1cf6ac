use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn is_fresh_after_suspension() {
    let mut freshness = ConfigFreshness::new(Some(SECOND * 5));
    freshness.confirm(SECOND * 10);
    assert!(freshness.is_fresh(SECOND * 14));
    // A VM that was suspended for a minute sees at once that its keys are out of date.
    assert!(!freshness.is_fresh(SECOND * 70));
}

#[test]
fn confirm_keeps_latest_time() {
    let mut freshness = ConfigFreshness::new(Some(SECOND * 5));
    freshness.confirm(SECOND * 10);
    freshness.confirm(SECOND * 3);
    assert_eq!(freshness.confirmed_at(), Some(SECOND * 10));
}

#[test]
fn is_fresh_without_max_age() {
    let mut freshness = ConfigFreshness::new(None);
    assert!(!freshness.is_fresh(SECOND));
    freshness.confirm(SECOND);
    assert!(freshness.is_fresh(SECOND * 1_000));
}

#[test]
fn confirm_after_restoration_waits_for_lost_configurations() {
    let second = Duration::from_secs(1);
    let mut freshness = ConfigFreshness::new(Some(second * 5));
    freshness.confirm(second * 10);
    freshness.record_restoration(second * 11);
    freshness.confirm(second * 12);
    assert_eq!(freshness.confirmed_at(), Some(second * 10));
    freshness.confirm(second * 13);
    assert_eq!(freshness.confirmed_at(), Some(second * 13));
}
