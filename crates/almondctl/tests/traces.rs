//! Replays recorded traces and checks their decisions.

use almondcroft_core::router::Decision;
use almondcroft_core::trace::TraceLine;
use almondctl::replay;
use std::path::PathBuf;

/// The expected events, dispatches and refusals of each trace.
const OUTCOMES: [(&str, usize, usize, usize); 8] = [
    ("lunch-late-reports", 1090, 64, 0),
    ("lunch-overload", 1849, 154, 95),
    ("lunch-quiet", 897, 43, 0),
    ("lunch-two-vms", 2229, 185, 0),
    ("month-busy", 1173, 59, 0),
    ("month-least-in-flight", 1172, 59, 0),
    ("month-round-robin", 1163, 59, 0),
    ("month-two-choices", 1186, 59, 0),
];

fn trace(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    std::fs::read_to_string(path.join(format!("{name}.jsonl"))).unwrap()
}

fn count(text: &str, predicate: impl Fn(&Decision) -> bool) -> usize {
    text.lines()
        .skip(1)
        .map(|line| serde_json::from_str::<TraceLine>(line).unwrap())
        .map(|line| line.decisions.iter().filter(|item| predicate(item)).count())
        .sum()
}

#[test]
fn replay_recorded_traces() {
    for (name, events, dispatched, refused) in OUTCOMES {
        let text = trace(name);
        let report = replay(text.as_bytes()).unwrap();
        assert_eq!(report.differences, [], "{name}");
        assert_eq!(report.events, events, "{name}");
        let dispatches = count(&text, |item| matches!(item, Decision::Dispatch { .. }));
        let refusals = count(&text, |item| matches!(item, Decision::Refuse { .. }));
        assert_eq!((dispatches, refusals), (dispatched, refused), "{name}");
    }
}

#[test]
fn replay_altered_decision() {
    let text = trace("lunch-quiet");
    let altered = text.replacen(
        "\"target\":\"engine-00\"}}]",
        "\"target\":\"engine-01\"}}]",
        1,
    );
    assert_ne!(altered, text);
    let report = replay(altered.as_bytes()).unwrap();
    assert_eq!(report.differences.len(), 1);
}

#[test]
fn replay_broken_trace() {
    assert!(replay("".as_bytes()).is_err());
    let text = trace("lunch-quiet");
    let broken = text.replacen("{\"at\"", "{\"when\"", 1);
    let error = replay(broken.as_bytes()).unwrap_err();
    assert_eq!(error.to_string(), "line 2 is not an event of a trace");
}
