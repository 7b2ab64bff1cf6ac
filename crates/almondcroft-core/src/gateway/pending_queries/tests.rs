use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn observed_at_counts_from_send_time() {
    let mut random = StdRng::seed_from_u64(1);
    let mut queries = PendingQueries::default();
    let nonce = queries.start(SECOND * 100, &mut random);
    // The response is read at 104 s, after a suspension, and says nothing about the time since.
    let query = queries.complete(nonce).unwrap();
    assert_eq!(query.observed_at(SECOND), SECOND * 99);
}

#[test]
fn complete_accepts_known_nonce_once() {
    let mut random = StdRng::seed_from_u64(1);
    let mut queries = PendingQueries::default();
    let nonce = queries.start(SECOND, &mut random);
    assert_eq!(queries.complete(nonce.wrapping_add(1)), None);
    assert!(queries.complete(nonce).is_some());
    assert_eq!(queries.complete(nonce), None);
}

#[test]
fn start_drops_oldest_query() {
    let mut random = StdRng::seed_from_u64(1);
    let mut queries = PendingQueries::default();
    let first = queries.start(SECOND, &mut random);
    for _ in 0..MAX_PENDING {
        queries.start(SECOND * 2, &mut random);
    }
    assert_eq!(queries.complete(first), None);
}
