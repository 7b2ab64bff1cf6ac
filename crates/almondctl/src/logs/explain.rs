//! Explains the outcome of one request.

use super::line::start_lines;
use super::{Cause, LogLine};
use std::collections::BTreeSet;

/// Time before and after a request within which events of its VM and targets are related to it, in
/// seconds.
const RELATED_WINDOW_S: f64 = 5.0;

/// Time after a request's last line within which a restart of its VM may have ended it, in seconds.
const RESTART_WINDOW_S: f64 = 60.0;

/// The log lines of a request, and the cause of its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation<'a> {
    /// Lines of the request, and related ones of its VM and targets, sorted by time.
    pub lines: Vec<&'a LogLine>,
    /// The cause of its outcome.
    pub cause: Cause,
}

/// Explains a request from the lines of all VMs; returns `None` if no line mentions it.
#[must_use]
pub fn explain<'a>(lines: &'a [LogLine], request: &str) -> Option<Explanation<'a>> {
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.get("request") == request)
        .collect();
    let first = request_lines.first()?;
    let (vm, started_at) = (first.vm.as_str(), first.at);
    let ended_at = request_lines.last().map_or(started_at, |line| line.at);
    let starts = start_lines(lines);
    let restart = find_restart(&starts, &request_lines);
    let cause = find_cause(&request_lines, || restart.is_some());
    let targets: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| [line.get("target_id"), line.get("from")])
        .filter(|id| !id.is_empty())
        .collect();
    let is_near = |line: &LogLine| {
        line.at > started_at - RELATED_WINDOW_S && line.at <= ended_at + RELATED_WINDOW_S
    };
    let mut seen = BTreeSet::new();
    let config_lost = lines.iter().rfind(|line| {
        let config = line.event == "store-lost" && line.get("kind") == "config";
        config && line.vm == vm && line.at <= started_at
    });
    let config_lost = config_lost.filter(|_| cause == Cause::ConfigStale);
    let related = lines.iter().filter(|line| {
        let event = line.event.as_str();
        match event {
            "store-lost" => {
                line.vm == vm && (is_near(line) || config_lost.is_some_and(|lost| lost == *line))
            }
            "store-regained" | "store-era" | "store-restored" | "log-dropped" | "evacuation" => {
                line.vm == vm && is_near(line)
            }
            "target-backoff" | "target-cold" => {
                line.vm == vm && targets.contains(line.get("target_id")) && is_near(line)
            }
            // Every VM logs these events for every target; the first line of each is enough.
            "target-leaving" | "target-gone" => {
                let target = line.get("target_id");
                targets.contains(target) && is_near(line) && seen.insert((event, target))
            }
            _ => false,
        }
    });
    let restart = restart.filter(|_| cause == Cause::VmEnded);
    let mut lines: Vec<&LogLine> = request_lines
        .iter()
        .copied()
        .chain(related)
        .chain(restart)
        .collect();
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    Some(Explanation { lines, cause })
}

/// Finds the restart of a request's VM that ended the request, provided that no line records its
/// outcome.
pub(super) fn find_restart<'a>(
    starts: &[&'a LogLine],
    request_lines: &[&LogLine],
) -> Option<&'a LogLine> {
    let last = request_lines.last()?;
    starts.iter().copied().find(|start| {
        let elapsed_s = start.at - last.at;
        start.vm == last.vm && elapsed_s > 0.0 && elapsed_s < RESTART_WINDOW_S
    })
}

/// Determines the cause from the lines of one request.
pub(super) fn find_cause(request_lines: &[&LogLine], restarted: impl FnOnce() -> bool) -> Cause {
    let end = request_lines.iter().rev();
    let end = end
        .copied()
        .find(|line| matches!(line.event.as_str(), "request" | "rejected"));
    match end {
        Some(end) if end.event == "rejected" => refusal_cause(end.get("reason")),
        Some(end) => outcome_cause(request_lines, end),
        None if restarted() => Cause::VmEnded,
        None => Cause::Unknown,
    }
}

fn refusal_cause(reason: &str) -> Cause {
    match reason {
        "no-config" | "config-stale" => Cause::ConfigStale,
        "no-route" | "unknown-key" | "regions" => Cause::NotPermitted,
        "overload" | "late" | "no-target" | "no-service" | "target-refused" | "connect"
        | "target-backoff" | "target-limit" => Cause::NoCapacity,
        "quarantined" | "part-quarantined" => Cause::Quarantined,
        "stopping" => Cause::Stopping,
        "memory" => Cause::Memory,
        _ => Cause::BadRequest,
    }
}

fn outcome_cause(request_lines: &[&LogLine], end: &LogLine) -> Cause {
    match (end.get("outcome"), end.get("status")) {
        ("answered", status) if status >= "400" => Cause::TargetFailed,
        ("answered", _) => late_cause(request_lines, end),
        ("caller-gone", _) => Cause::CallerGone,
        ("cut", _) => Cause::VmEnded,
        ("timeout" | "target-timeout", _) => Cause::TargetTimeout,
        ("broken-off" | "broken", _) => broken_off_cause(request_lines),
        ("closed" | "reset" | "unsigned" | "garbled" | "too-large" | "truncated", _) => {
            Cause::ConnectionLost
        }
        (_, "503" | "429" | "408") => refusal_cause(end.get("outcome")),
        ("connect", _) => Cause::ConnectionLost,
        _ => Cause::Unknown,
    }
}

/// Determines why a generation that broke off was not continued at another target.
fn broken_off_cause(request_lines: &[&LogLine]) -> Cause {
    if request_lines
        .iter()
        .any(|line| line.event == "retry-refused")
    {
        return Cause::RetryBudgetExhausted;
    }
    let last = |event: &str| {
        request_lines
            .iter()
            .rev()
            .copied()
            .find(|line| line.event == event)
    };
    let resume_failed = request_lines.iter().any(|line| {
        let kind = line.get("kind");
        line.event == "target-fault" && matches!(kind, "resume-refused" | "resume-failed")
    });
    let last_copy = last("copy");
    match last_copy.map(|line| line.get("outcome")) {
        Some("no-destination" | "no-room") => Cause::NoDestination,
        Some("resumed-by-itself") if !resume_failed => Cause::ConnectionLost,
        _ if resume_failed => Cause::CopyMissing,
        Some(_) => Cause::CopyTooLate,
        None if request_lines
            .iter()
            .filter(|line| line.event == "dispatch")
            .count()
            > 1 =>
        {
            Cause::CopyMissing
        }
        None => Cause::ConnectionLost,
    }
}

/// Determines why a response missed its latency objective.
fn late_cause(request_lines: &[&LogLine], end: &LogLine) -> Cause {
    match end.get("late") {
        "first" | "both" => late_start_cause(request_lines, end),
        "pause" => pause_cause(request_lines, end),
        _ => Cause::Answered,
    }
}

fn late_start_cause(request_lines: &[&LogLine], end: &LogLine) -> Cause {
    let failed = request_lines.iter().any(|line| {
        line.event == "target-fault" && line.number("events") < 1.0 && line.get("kind") != "silent"
    });
    if failed {
        Cause::LateRetry
    } else if end.number("wait_ms") * 2.0 > end.number("first_ms") {
        Cause::LateQueue
    } else {
        Cause::LateTarget
    }
}

fn pause_cause(request_lines: &[&LogLine], end: &LogLine) -> Cause {
    let gap_ms = end.number("gap_ms");
    let longest_ms = |event: &str, part: &str| {
        let lines = request_lines.iter().filter(|line| line.event == event);
        let times = lines.filter(|line| line.get("part") == part);
        times.fold(0.0_f64, |longest, line| longest.max(line.number("took_ms")))
    };
    let (copy_ms, takeover_ms) = (longest_ms("copy", "last"), longest_ms("moved", ""));
    if copy_ms * 2.0 > gap_ms {
        Cause::PauseCopy
    } else if (copy_ms + takeover_ms) * 2.0 > gap_ms {
        Cause::PauseMigration
    } else {
        Cause::PauseTarget
    }
}
