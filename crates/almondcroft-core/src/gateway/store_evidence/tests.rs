use super::*;

const MS: Duration = Duration::from_millis(1);

fn evidence() -> StoreEvidence {
    StoreEvidence::new(StoreTiming::new(MS * 1_200))
}

/// Guards against silent connections that are taken for an outage while others carry responses.
#[test]
fn gap_since_while_responses_follow_each_other() {
    let mut evidence = evidence();
    assert_eq!(evidence.age(MS), None);
    for number in 0..5 {
        let at = MS * 1_950 * number;
        evidence.record_response(at, at + MS * 4);
    }
    assert_eq!(evidence.gap_since(Duration::ZERO), None);
    assert_eq!(evidence.age(MS * 7_900), Some(MS * 100));
}

/// Guards against an outage that no call has seen.
#[test]
fn gap_since_after_an_outage() {
    let mut evidence = evidence();
    evidence.record_response(MS * 1_000, MS * 1_004);
    // The store was away for two heartbeats and 50 ms, and the call at its return was the first one.
    evidence.record_response(MS * 3_450, MS * 3_454);
    let gap = evidence.gap_since(MS * 1_004).unwrap();
    assert_eq!((gap.from, gap.until), (MS * 1_000, MS * 3_454));
    assert_eq!(gap.length(), MS * 2_454);
    // What is known to be complete after it has been learned since.
    assert_eq!(evidence.gap_since(MS * 3_454), None);
}

/// Guards against a view that another VM had before, which is older than the responses to this one.
#[test]
fn record_response_that_was_made_earlier() {
    let mut evidence = evidence();
    evidence.record_response(MS * 5_000, MS * 5_004);
    evidence.record_response(MS * 1_000, MS * 1_000);
    assert_eq!(evidence.age(MS * 5_100), Some(MS * 100));
    assert_eq!(evidence.gap_since(Duration::ZERO), None);
}
