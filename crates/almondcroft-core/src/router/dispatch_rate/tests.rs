use super::*;

#[test]
fn estimate_wait_steady_rate() {
    let mut rate = DispatchRate::default();
    for tenth in 0..=50 {
        rate.record(Duration::from_millis(tenth * 100));
    }
    let wait = rate.estimate_wait(20, Duration::from_secs(5));
    assert!((1.9..2.1).contains(&wait.as_secs_f64()), "{wait:?}");
}

#[test]
fn estimate_wait_no_dispatches() {
    let rate = DispatchRate::default();
    assert_eq!(
        rate.estimate_wait(100, Duration::from_secs(5)),
        Duration::ZERO
    );
}
