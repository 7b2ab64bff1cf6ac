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
fn takes_short_generation() {
    assert!(takes_while_stopping(
        need(12),
        43,
        Duration::from_secs(1),
        GRACE
    ));
    assert!(takes_while_stopping(
        need(12),
        43,
        Duration::from_secs(5),
        GRACE
    ));
}

#[test]
fn takes_no_draft_after_hand_over() {
    // Chairline mix --seed 112104072704: a draft taken six seconds after SIGTERM was cut.
    assert!(!takes_while_stopping(
        need(200),
        2_216,
        Duration::from_secs(6),
        GRACE
    ));
    assert!(!takes_while_stopping(
        need(200),
        2_216,
        Duration::from_secs(3),
        GRACE
    ));
    assert!(takes_while_stopping(
        need(200),
        2_216,
        Duration::ZERO,
        GRACE
    ));
}

#[test]
fn takes_nothing_at_the_end() {
    assert!(!takes_while_stopping(
        Need::default(),
        0,
        Duration::from_secs(7),
        GRACE
    ));
}
