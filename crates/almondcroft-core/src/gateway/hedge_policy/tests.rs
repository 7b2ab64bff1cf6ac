use super::*;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIMITS: HedgeLimits = HedgeLimits {
    share: 0.05,
    quantile: 0.95,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against hedges by the first few response times of a service.
#[test]
fn delay_of_a_few_samples_is_unknown() {
    let mut policy = HedgePolicy::new(LIMITS);
    for _ in 1..MIN_SAMPLES {
        policy.record_response(millis(5));
        assert_eq!(policy.delay(), None);
    }
    policy.record_response(millis(5));
    assert_eq!(policy.delay(), Some(millis(5)));
}

/// Guards against second runs that each process that starts sends beyond the share of its requests.
#[test]
fn try_take_of_a_process_that_starts() {
    let mut policy = HedgePolicy::new(LIMITS);
    for _ in 0..19 {
        policy.record_request();
        assert!(!policy.try_take());
    }
    policy.record_request();
    assert!(policy.try_take());
}

/// Draws a response time: 30 ms as usual, and 20 times as long for two in a hundred.
fn draw(rng: &mut impl Rng) -> Duration {
    let usual = millis(rng.random_range(20..40));
    if rng.random_bool(0.02) {
        usual * 20
    } else {
        usual
    }
}

/// Guards against a policy whose extra work does not cut the slowest answers, or exceeds its share.
#[test]
fn hedges_cut_the_slowest_responses() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut policy = HedgePolicy::new(LIMITS);
    let (mut plain, mut hedged, mut extra) = (Vec::new(), Vec::new(), 0);
    for _ in 0..20_000 {
        policy.record_request();
        let first = draw(&mut rng);
        let mut time = first;
        if let Some(delay) = policy.delay().filter(|delay| *delay < first)
            && policy.try_take()
        {
            extra += 1;
            time = first.min(delay + draw(&mut rng));
        }
        policy.record_response(time);
        plain.push(first);
        hedged.push(time);
    }
    plain.sort_unstable();
    hedged.sort_unstable();
    let at = |times: &[Duration], thousandths: usize| times[times.len() * thousandths / 1_000];
    assert!(at(&plain, 990) >= millis(400));
    assert!(at(&hedged, 990) <= millis(90), "{:?}", at(&hedged, 990));
    assert!(at(&hedged, 999) < at(&plain, 999), "{:?}", at(&hedged, 999));
    assert!(extra <= 20_000 * 5 / 100 + 2, "{extra} hedges");
}

proptest! {
    /// More hedges than the share would be extra work that the operators did not accept.
    #[test]
    fn try_take_stays_within_the_share(
        share in 0.0..0.5_f64,
        wanted in prop::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut policy = HedgePolicy::new(HedgeLimits { share, quantile: 0.9 });
        let mut taken = 0;
        for (number, wants) in wanted.into_iter().enumerate() {
            policy.record_request();
            taken += u32::from(wants && policy.try_take());
            let requests = f64::from(u32::try_from(number + 1).unwrap());
            prop_assert!(f64::from(taken) <= requests * share + 0.001);
        }
    }
}
