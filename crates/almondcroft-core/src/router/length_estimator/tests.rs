use super::*;

fn trained_estimator() -> LengthEstimator {
    let mut estimator = LengthEstimator::default();
    for round in 0..100 {
        let length = if round % 2 == 0 { 50 } else { 1_000 };
        estimator.record(&"menus".into(), &"quito".into(), length);
    }
    estimator
}

#[test]
fn mean_after_short_outputs_ended() {
    let estimator = trained_estimator();
    let fresh = estimator.mean(&"menus".into(), &"quito".into(), 0);
    let later = estimator.mean(&"menus".into(), &"quito".into(), 200);
    assert!((400.0..700.0).contains(&fresh), "{fresh}");
    assert!((800.0..1_300.0).contains(&later), "{later}");
}

#[test]
fn quantile_two_lengths() {
    let estimator = trained_estimator();
    let low = estimator.quantile(&"menus".into(), &"quito".into(), 0, 0.25);
    let high = estimator.quantile(&"menus".into(), &"quito".into(), 0, 0.9);
    assert!(low < 100.0, "{low}");
    assert!(high > 800.0, "{high}");
}

#[test]
fn mean_unknown_service() {
    let estimator = LengthEstimator::default();
    let mean = estimator.mean(&"menus".into(), &"quito".into(), 0);
    assert!((mean - DEFAULT_LENGTH).abs() < f64::EPSILON);
}
