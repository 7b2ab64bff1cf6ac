//! Explanations and summaries of log lines from a simulated day.

use almondctl::logs::{Cause, LogLine, explain, read_lines, summarize};

/// Lines of six requests and related events, from the scenario "Villacres grown, trouble-1", seed
/// 3.
const DAY: &str = include_str!("logs/day.log");

/// The expected summary of these lines.
const SUMMARY: &str = include_str!("logs/summary.json");

fn parse_lines(text: &str) -> Vec<LogLine> {
    read_lines(text.as_bytes(), "vm-1").unwrap()
}

fn explain_events(request: &str) -> (Cause, Vec<String>) {
    let lines = parse_lines(DAY);
    let explanation = explain(&lines, request).unwrap();
    let events = explanation.lines.iter().map(|line| line.event.clone());
    (explanation.cause, events.collect())
}

#[test]
fn explain_refused_request() {
    let (cause, events) = explain_events("018d9b2afece0ecb");
    assert_eq!(cause, Cause::ConfigStale);
    // The store became unreachable eight seconds earlier and was regained later.
    assert_eq!(events, ["store-lost", "rejected", "store-regained"]);
}

#[test]
fn explain_broken_off_generation() {
    let (cause, events) = explain_events("09e0aa6cc527d664");
    assert_eq!(cause, Cause::CopyTooLate);
    let expected = [
        "dispatch",
        "target-leaving",
        "copy",
        "copy",
        "copy",
        "target-fault",
        "request",
        "target-gone",
    ];
    assert_eq!(events, expected);
}

#[test]
fn explain_late_response() {
    let (cause, events) = explain_events("03766e745995d0dc");
    assert_eq!(cause, Cause::PauseCopy);
    assert!(events.contains(&"moved".to_owned()));
    assert_eq!(explain_events("19a1851de2633d8b").0, Cause::LateRetry);
}

#[test]
fn explain_request_of_killed_vm() {
    let (cause, events) = explain_events("02bd3d350171aa4a");
    assert_eq!(cause, Cause::VmEnded);
    assert_eq!(events, ["dispatch", "started"]);
}

#[test]
fn explain_unknown_request() {
    assert!(explain(&parse_lines(DAY), "nobody").is_none());
}

#[test]
fn explain_each_outcome() {
    let cases = [
        ("rejected", "reason=overload", Cause::NoCapacity),
        ("rejected", "reason=unknown-key", Cause::NotPermitted),
        ("rejected", "reason=duplicate-header", Cause::BadRequest),
        (
            "request",
            "status=200 outcome=answered late=-",
            Cause::Answered,
        ),
        (
            "request",
            "status=500 outcome=answered late=-",
            Cause::TargetFailed,
        ),
        (
            "request",
            "status=504 outcome=timeout late=-",
            Cause::TargetTimeout,
        ),
        (
            "request",
            "status=502 outcome=reset late=-",
            Cause::ConnectionLost,
        ),
        (
            "request",
            "status=503 outcome=stopping late=-",
            Cause::Stopping,
        ),
        (
            "request",
            "status=0 outcome=caller-gone late=-",
            Cause::CallerGone,
        ),
        (
            "request",
            "status=0 outcome=broken-off late=-",
            Cause::ConnectionLost,
        ),
        (
            "request",
            "status=200 outcome=answered wait_ms=900 first_ms=1000 late=first",
            Cause::LateQueue,
        ),
        (
            "request",
            "status=200 outcome=answered gap_ms=900 late=pause",
            Cause::PauseTarget,
        ),
        ("dispatch", "target_id=i-1", Cause::Unknown),
    ];
    for (event, fields, cause) in cases {
        let text = format!("time=1.0 level=INFO event={event} request=r-1 {fields}\n");
        let lines = parse_lines(&text);
        assert_eq!(explain(&lines, "r-1").unwrap().cause, cause, "{text}");
    }
}

#[test]
fn summarize_day() {
    let summary = serde_json::to_string_pretty(&summarize(&parse_lines(DAY))).unwrap();
    assert_eq!(summary.trim(), SUMMARY.trim());
}

#[test]
fn read_lines_quoted_and_unrelated() {
    let text = "time=1.5 level=WARN event=unreadable name=main reason=\"a \\\"b\\\" c\" kind=config\n\
                thread main panicked\n";
    let lines = parse_lines(text);
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!(
        (line.vm.as_str(), line.event.as_str()),
        ("vm-1", "unreadable")
    );
    assert_eq!(line.get("reason"), "a \"b\" c");
    assert_eq!(line.get("kind"), "config");
}
