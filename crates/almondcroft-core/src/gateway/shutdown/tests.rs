use super::*;

const GRACE: Duration = Duration::from_secs(8);

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
        Duration::from_secs(1),
        GRACE
    ));
    assert!(admits_during_shutdown(
        need(12),
        43,
        None,
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
        Duration::from_secs(6),
        GRACE
    ));
    assert!(!admits_during_shutdown(
        need(200),
        2_216,
        None,
        Duration::from_secs(3),
        GRACE
    ));
    assert!(admits_during_shutdown(
        need(200),
        2_216,
        None,
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
        Duration::from_secs(7),
        GRACE
    ));
}

#[test]
fn admits_during_shutdown_by_token_time() {
    let admits = |time| admits_during_shutdown(need(600), 2_216, time, Duration::ZERO, GRACE);
    assert!(!admits(None));
    assert!(admits(Some(Duration::from_millis(7))));
    assert!(!admits(Some(Duration::from_millis(12))));
}
