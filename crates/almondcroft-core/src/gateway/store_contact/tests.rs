use super::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Guards against an outage that is inferred from one call that was cut off, or from connections that have gone silent.
#[test]
fn record_failure_that_says_nothing_of_the_store_is_no_outage() {
    for failure in [StoreFailure::Prompt, StoreFailure::SilentConnection] {
        let mut contact = StoreContact::default();
        for second in 1..4 {
            let at = MS * 1_000 * second;
            assert!(!contact.record_failure(failure, at));
            assert!(contact.is_in_doubt());
            let failed = FailedCalls {
                first: failure,
                since: at,
            };
            let concluded = contact.record_response(None);
            assert_eq!(concluded, Some((StoreConclusion::CallsFailed, failed)));
            assert!(!contact.is_in_doubt());
        }
    }
}

/// Guards against an outage that is missed, so that entries that have expired in it are believed.
#[test]
fn record_failure_two_failures_or_silence_are_an_outage() {
    for failures in [
        &[StoreFailure::Prompt, StoreFailure::Prompt][..],
        &[StoreFailure::Prompt, StoreFailure::Silent],
        &[StoreFailure::Silent],
        &[StoreFailure::SilentConnection, StoreFailure::Prompt],
        &[StoreFailure::SilentConnection, StoreFailure::Silent],
        &[StoreFailure::Silent, StoreFailure::SilentConnection],
    ] {
        let mut contact = StoreContact::default();
        let lost = failures
            .iter()
            .map(|failure| contact.record_failure(*failure, MS));
        assert_eq!(lost.last(), Some(true), "{failures:?}");
        assert!(contact.is_lost());
        let (conclusion, failed) = contact.record_response(None).unwrap();
        assert_eq!(conclusion, StoreConclusion::Outage);
        assert_eq!((failed.first, failed.since), (failures[0], MS));
        assert!(conclusion.may_miss_entries());
        assert!(!contact.is_lost());
    }
}

/// Guards against an outage that ended just before the first call on a new connection.
#[test]
fn record_response_after_a_gap_in_which_entries_may_have_expired() {
    let gap = ResponseGap {
        from: MS,
        until: MS * 3_000,
    };
    let mut contact = StoreContact::default();
    assert_eq!(contact.record_response(Some(gap)), None);
    assert!(!contact.record_failure(StoreFailure::SilentConnection, MS * 2_900));
    let (conclusion, _) = contact.record_response(Some(gap)).unwrap();
    assert_eq!(conclusion, StoreConclusion::Unseen(gap));
    assert!(conclusion.may_miss_entries());
}
