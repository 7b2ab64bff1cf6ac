use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn date_counts_from_question() {
    let mut random = StdRng::seed_from_u64(1);
    let mut asks = Asks::default();
    let nonce = asks.ask(SECOND * 100, &mut random);
    // Read at 104 s, after a suspension: it says nothing of the time since.
    let asked = asks.answered(nonce).unwrap();
    assert_eq!(asked.date(SECOND), SECOND * 99);
}

#[test]
fn date_takes_known_answers_once() {
    let mut random = StdRng::seed_from_u64(1);
    let mut asks = Asks::default();
    let nonce = asks.ask(SECOND, &mut random);
    assert_eq!(asks.answered(nonce.wrapping_add(1)), None);
    assert!(asks.answered(nonce).is_some());
    assert_eq!(asks.answered(nonce), None);
}

#[test]
fn ask_forgets_old_questions() {
    let mut random = StdRng::seed_from_u64(1);
    let mut asks = Asks::default();
    let first = asks.ask(SECOND, &mut random);
    for _ in 0..MAX_OPEN {
        asks.ask(SECOND * 2, &mut random);
    }
    assert_eq!(asks.answered(first), None);
}
