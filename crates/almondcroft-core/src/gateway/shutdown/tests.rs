use super::*;

const GRACE: Duration = Duration::from_secs(8);

/// Time left to a stream, before the end in all of these cases.
const DEADLINE: Option<Duration> = Some(Duration::from_millis(800));

fn need(output: u32) -> Need {
    Need {
        prompt: 3_000,
        output,
        prefilled: false,
    }
}

#[test]
fn admits_during_shutdown_short_generation() {
    assert!(admits_during_shutdown(
        need(12),
        43,
        None,
        DEADLINE,
        Duration::from_secs(1),
        GRACE
    ));
    assert!(admits_during_shutdown(
        need(12),
        43,
        None,
        DEADLINE,
        Duration::from_secs(5),
        GRACE
    ));
}

#[test]
fn admits_during_shutdown_no_long_generation_after_balancer_delay() {
    // In the scenario "Chairline mix" with seed 112104072704 a generation that was admitted six
    // seconds after SIGTERM was cut off.
    assert!(!admits_during_shutdown(
        need(200),
        2_216,
        None,
        DEADLINE,
        Duration::from_secs(6),
        GRACE
    ));
    assert!(!admits_during_shutdown(
        need(200),
        2_216,
        None,
        DEADLINE,
        Duration::from_secs(3),
        GRACE
    ));
    assert!(admits_during_shutdown(
        need(200),
        2_216,
        None,
        DEADLINE,
        Duration::ZERO,
        GRACE
    ));
}

#[test]
fn admits_during_shutdown_nothing_at_end() {
    assert!(!admits_during_shutdown(
        Need::default(),
        0,
        None,
        DEADLINE,
        Duration::from_secs(7),
        GRACE
    ));
}

#[test]
fn admits_during_shutdown_by_token_time() {
    let admits =
        |time| admits_during_shutdown(need(600), 2_216, time, DEADLINE, Duration::ZERO, GRACE);
    assert!(!admits(None));
    assert!(admits(Some(Duration::from_millis(7))));
    assert!(!admits(Some(Duration::from_millis(12))));
}

#[test]
fn admits_during_shutdown_only_what_ends_after_a_silence_of_its_target() {
    const SILENCE: Duration = Duration::from_millis(1_500);
    const PROCESS_END: Duration = Duration::from_millis(7_700);
    for elapsed in (0..80).map(|tenth| Duration::from_millis(100) * tenth) {
        for (output, token_time) in [(0, 0), (12, 14), (43, 14), (200, 7)] {
            let token_time = Duration::from_millis(token_time);
            let ends_at = elapsed + SILENCE + token_time * output;
            let admitted = admits_during_shutdown(
                need(output),
                output,
                Some(token_time),
                DEADLINE,
                elapsed,
                GRACE,
            );
            assert!(
                !admitted || ends_at < PROCESS_END,
                "{output} tokens, {elapsed:?} after SIGTERM"
            );
        }
    }
}

/// Guards against a long prompt that is accepted although its prefill outlasts the process.
#[test]
fn admits_during_shutdown_by_the_size_of_the_prompt() {
    let long = Need {
        prompt: 30_000,
        ..need(12)
    };
    let admits = |need| {
        admits_during_shutdown(
            need,
            12,
            None,
            DEADLINE,
            Duration::from_millis(5_300),
            GRACE,
        )
    };
    assert!(admits(need(12)));
    assert!(!admits(long));
}

/// Guards against a stream that an engine slower than expected has not completed at the end.
#[test]
fn admits_during_shutdown_no_stream_whose_deadline_is_after_the_end() {
    let admits = |left, elapsed| {
        let left = Some(Duration::from_millis(left));
        let elapsed = Duration::from_millis(elapsed);
        admits_during_shutdown(need(12), 12, None, left, elapsed, GRACE)
    };
    assert!(admits(6_000, 2_400));
    assert!(!admits(6_000, 2_500));
    assert!(admits(5_000, 2_500));
    assert!(!admits(2_600, 5_100));
    assert!(admits(2_400, 5_100));
}
