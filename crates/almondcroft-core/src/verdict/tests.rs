use super::*;

#[test]
fn permits_retry_unknown_outcome() {
    assert!(Verdict::MayHaveRun.permits_retry(true));
    assert!(!Verdict::MayHaveRun.permits_retry(false));
}
