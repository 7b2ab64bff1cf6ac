//! Attribution of lost worth to causes.

use almondctl::logs::{Cause, ClassWorth, LogLine, Losses, attribute_losses, read_lines};
use std::collections::BTreeMap;

fn attribute(text: &str) -> Losses {
    let lines: Vec<LogLine> = read_lines(text.as_bytes(), "vm-1").unwrap();
    let worth = ClassWorth {
        on_time: 100.0,
        late: 20.0,
    };
    attribute_losses(&lines, &BTreeMap::from([("drafts".to_owned(), worth)]))
}

/// Returns the end of a request of class "drafts".
fn end(at: f64, request: &str, order: &str, output: u32, rest: &str) -> String {
    format!(
        "time={at:.3} level=INFO event=request request={request} class=drafts order={order} \
         prompt=1000 output={output} {rest}\n"
    )
}

const ANSWERED: &str = "status=200 outcome=answered late=-";

const LATE: &str = "status=200 outcome=answered gap_ms=900 late=pause";

const REFUSED: &str = "status=503 outcome=overload";

fn rows(losses: &Losses) -> Vec<(Cause, usize, f64)> {
    let rows = losses.rows.iter();
    rows.map(|row| (row.cause, row.orders, row.lost)).collect()
}

#[test]
fn attribute_losses_by_cause() {
    let text = [
        end(1.0, "r-1", "a", 100, ANSWERED),
        end(2.0, "r-2", "b", 100, LATE),
        end(3.0, "r-3", "c", 100, REFUSED),
        "time=4.000 level=INFO event=dispatch request=r-4 class=drafts order=d prompt=1000 output=100\n\
         time=9.000 level=INFO event=started\n"
            .to_owned(),
    ]
    .concat();
    let losses = attribute(&text);
    assert!((losses.owed - 400.0).abs() < 1e-9);
    let expected = [
        (Cause::NoCapacity, 1, 100.0),
        (Cause::VmEnded, 1, 100.0),
        (Cause::PauseTarget, 1, 80.0),
    ];
    assert_eq!(rows(&losses), expected);
    assert!(losses.rows[0].avoidable && !losses.rows[1].avoidable);
    assert!((losses.rows[2].fraction - 0.2).abs() < 1e-9);
    assert_eq!(losses.rows[2].example, "r-2");
}

#[test]
fn attribute_losses_by_size() {
    // Sizes 2,000 and 20,000 against a mean of 11,000.
    let text = [
        end(1.0, "r-1", "a", 100, REFUSED),
        end(2.0, "r-2", "b", 1_900, ANSWERED),
    ]
    .concat();
    let lost = attribute(&text).lost;
    assert!((lost - (30.0 + 70.0 * 2.0 / 11.0)).abs() < 1e-6, "{lost}");
}

#[test]
fn attribute_losses_joins_attempts() {
    let refused_and_answered = [
        end(1.0, "r-1", "a", 100, REFUSED),
        end(2.0, "r-2", "a", 100, ANSWERED),
    ];
    let losses = attribute(&refused_and_answered.concat());
    assert!((losses.owed - 100.0).abs() < 1e-9);
    assert_eq!(rows(&losses), []);
    // The caller wants the same again after an answer, or long after a refusal.
    let separate = [
        end(1.0, "r-1", "a", 100, ANSWERED),
        end(2.0, "r-2", "a", 100, REFUSED),
        end(60.0, "r-3", "a", 100, ANSWERED),
    ];
    let losses = attribute(&separate.concat());
    assert!((losses.owed - 300.0).abs() < 1e-9);
    assert_eq!(rows(&losses), [(Cause::NoCapacity, 1, 100.0)]);
}

#[test]
fn attribute_losses_ignores_what_is_not_owed() {
    let text = "time=1.0 level=INFO event=rejected request=r-1 class=- order=a reason=unknown-key\n\
                time=2.0 level=INFO event=rejected request=r-2 class=drafts order=b reason=bad-header\n";
    let losses = attribute(text);
    assert_eq!((losses.rows.len(), losses.owed), (0, 0.0));
}

#[test]
fn attribute_losses_states_unknown() {
    let text = end(1.0, "r-1", "a", 100, "status=0 outcome=vanished");
    let losses = attribute(&text);
    assert!((losses.unknown - 100.0).abs() < 1e-9);
}
