use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn is_fresh_after_suspension() {
    let mut vouch = Vouch::new(Some(SECOND * 5));
    vouch.confirm(SECOND * 10);
    assert!(vouch.is_fresh(SECOND * 14));
    // A VM that slept for a minute knows at once that its keys are out of date.
    assert!(!vouch.is_fresh(SECOND * 70));
}

#[test]
fn confirm_never_goes_back() {
    let mut vouch = Vouch::new(Some(SECOND * 5));
    vouch.confirm(SECOND * 10);
    vouch.confirm(SECOND * 3);
    assert_eq!(vouch.at(), Some(SECOND * 10));
}

#[test]
fn is_fresh_without_bound() {
    let mut vouch = Vouch::new(None);
    assert!(!vouch.is_fresh(SECOND));
    vouch.confirm(SECOND);
    assert!(vouch.is_fresh(SECOND * 1_000));
}
