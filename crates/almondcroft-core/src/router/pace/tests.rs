use super::*;

#[test]
fn time_for_steady_pace() {
    let mut pace = Pace::default();
    for tenth in 0..=50 {
        pace.note(Duration::from_millis(tenth * 100));
    }
    let wait = pace.time_for(20, Duration::from_secs(5));
    assert!((1.9..2.1).contains(&wait.as_secs_f64()), "{wait:?}");
}

#[test]
fn time_for_nothing_known() {
    let pace = Pace::default();
    assert_eq!(pace.time_for(100, Duration::from_secs(5)), Duration::ZERO);
}
