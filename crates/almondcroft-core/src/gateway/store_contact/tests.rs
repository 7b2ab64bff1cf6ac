use super::*;

/// Guards against an outage that is inferred from one call that was cut off.
#[test]
fn record_failure_one_prompt_failure_is_no_outage() {
    let mut contact = StoreContact::default();
    for _ in 0..3 {
        assert!(!contact.record_failure(StoreFailure::Prompt));
        assert!(contact.is_in_doubt());
        assert!(!contact.record_response());
        assert!(!contact.is_in_doubt());
    }
}

/// Guards against an outage that is missed, so that entries that have expired in it are believed.
#[test]
fn record_failure_two_failures_or_silence_are_an_outage() {
    for failures in [
        &[StoreFailure::Prompt, StoreFailure::Prompt][..],
        &[StoreFailure::Prompt, StoreFailure::Silent],
        &[StoreFailure::Silent],
    ] {
        let mut contact = StoreContact::default();
        let lost = failures
            .iter()
            .map(|failure| contact.record_failure(*failure));
        assert_eq!(lost.last(), Some(true), "{failures:?}");
        assert!(contact.is_lost());
        assert!(contact.record_response());
        assert!(!contact.is_lost());
    }
}
