use super::*;

const START: Timestamp = Duration::from_secs(100);

fn observed(evidence: &[Evidence]) -> Health {
    let mut table = HealthTable::default();
    let id = SmolStr::from("engine-1");
    for item in evidence {
        table.observe(&id, *item, START);
    }
    table.health("engine-1", START)
}

#[test]
fn health_one_timeout() {
    assert_eq!(observed(&[Evidence::TimedOut]), Health::Alive);
}

#[test]
fn health_two_timeouts() {
    assert_eq!(
        observed(&[Evidence::TimedOut, Evidence::TimedOut]),
        Health::Suspect
    );
}

#[test]
fn health_answer_after_suspicion() {
    assert_eq!(
        observed(&[Evidence::Refused, Evidence::Answered]),
        Health::Alive
    );
}

#[test]
fn health_peer_suspicion_after_answer() {
    assert_eq!(
        observed(&[Evidence::Answered, Evidence::PeerSuspicion]),
        Health::Alive
    );
}

#[test]
fn health_leaving_ignores_failures() {
    assert_eq!(
        observed(&[Evidence::Leaving, Evidence::TimedOut, Evidence::TimedOut]),
        Health::Leaving
    );
}

#[test]
fn health_old_suspicion() {
    let mut table = HealthTable::default();
    table.observe(&"engine-1".into(), Evidence::Refused, START);
    assert!(!table.usable("engine-1", START));
    assert!(table.usable("engine-1", START + SUSPICION_TIME));
}
