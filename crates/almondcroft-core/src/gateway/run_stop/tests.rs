use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn attempts(has_begun: bool) -> StopAttempts {
    StopAttempts::new(has_begun, SECOND * 60, SECOND)
}

/// Guards against a run that goes on because a call to stop it was lost or refused once.
#[test]
fn record_repeats_until_the_run_is_over() {
    for answer in [StopAnswer::Unclear, StopAnswer::Lost, StopAnswer::NotSent] {
        let mut attempts = attempts(true);
        assert!(matches!(
            attempts.record(answer, SECOND),
            StopStep::Repeat(_)
        ));
        assert_eq!(attempts.record(StopAnswer::Stopped, SECOND), StopStep::Over);
    }
}

/// Guards against a request that is taken for ended because its target had not read it when it was asked.
#[test]
fn record_unknown_run_is_over_only_once_it_has_begun() {
    assert_eq!(
        attempts(true).record(StopAnswer::NoRun, SECOND),
        StopStep::Over
    );
    assert!(matches!(
        attempts(false).record(StopAnswer::NoRun, SECOND),
        StopStep::Repeat(_)
    ));
}

/// Guards against calls without end, and against calls so rare that two targets run a request for longer than 400 ms.
#[test]
fn record_repeats_often_at_first_and_not_without_end() {
    let (mut attempts, mut now) = (attempts(true), SECOND);
    let mut times = Vec::new();
    while let StopStep::Repeat(delay) = attempts.record(StopAnswer::NotSent, now) {
        now += delay;
        times.push(now);
    }
    let early = times
        .iter()
        .filter(|at| **at <= SECOND + SECOND * 2 / 5)
        .count();
    assert!(early >= 3, "{times:?}");
    assert!(now <= SECOND * 11, "{times:?}");
}

/// Guards against calls after the deadline at which the target ends the run.
#[test]
fn record_ends_at_the_deadline() {
    let mut attempts = StopAttempts::new(true, SECOND, SECOND);
    assert_eq!(attempts.record(StopAnswer::Lost, SECOND), StopStep::GiveUp);
}

/// Guards against a later run at the same target that is stopped by a call which was not answered.
#[test]
fn is_unanswered_outlives_later_answers() {
    let mut attempts = attempts(true);
    assert!(!attempts.is_unanswered());
    attempts.record(StopAnswer::Lost, SECOND);
    attempts.record(StopAnswer::Stopped, SECOND);
    assert!(attempts.is_unanswered());
}
