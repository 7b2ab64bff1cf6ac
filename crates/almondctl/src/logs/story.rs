//! The story of one request.

use super::{Cause, LogLine};
use std::collections::BTreeSet;

/// Time before a request within which events of its VM and targets belong to its story, in seconds.
const BEFORE: f64 = 5.0;

/// Time after which a VM that started anew may have lost a request, in seconds.
const AFTER: f64 = 60.0;

/// Holds what the logs tell of a request, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct Story<'a> {
    /// Lines of the request, and those of its VM and targets that bear on it.
    pub lines: Vec<&'a LogLine>,
    /// What decided its end.
    pub cause: Cause,
}

/// Tells the story of a request from the lines of all VMs; `None` where no line names it.
#[must_use]
pub fn explain<'a>(lines: &'a [LogLine], request: &str) -> Option<Story<'a>> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.get("request") == request)
        .collect();
    let first = own.first()?;
    let (vm, begun) = (first.vm.as_str(), first.at);
    let ended = own.last().map_or(begun, |line| line.at);
    let starts: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.event == "started")
        .collect();
    let restarted = restart(&starts, &own);
    let cause = cause(&own, || restarted.is_some());
    let targets: BTreeSet<&str> = own
        .iter()
        .flat_map(|line| [line.get("target_id"), line.get("from")])
        .filter(|id| !id.is_empty())
        .collect();
    let near = |line: &LogLine| line.at > begun - BEFORE && line.at <= ended + BEFORE;
    let mut seen = BTreeSet::new();
    let lost = lines.iter().rfind(|line| {
        let config = line.event == "store-lost" && line.get("kind") == "config";
        config && line.vm == vm && line.at <= begun
    });
    let lost = lost.filter(|_| cause == Cause::ConfigStale);
    let beside = lines.iter().filter(|line| {
        let event = line.event.as_str();
        match event {
            "store-lost" => line.vm == vm && (near(line) || lost.is_some_and(|lost| lost == *line)),
            "store-regained" | "log-dropped" => line.vm == vm && near(line),
            // Each VM tells of each target; the first one suffices.
            "target-leaving" | "target-gone" => {
                let target = line.get("target_id");
                targets.contains(target) && near(line) && seen.insert((event, target))
            }
            _ => false,
        }
    });
    let ending = restarted.filter(|_| cause == Cause::VmEnded);
    let mut lines: Vec<&LogLine> = own.iter().copied().chain(beside).chain(ending).collect();
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    Some(Story { lines, cause })
}

/// Finds the start of a request's VM by which the request was lost, if it had no end.
pub(super) fn restart<'a>(starts: &[&'a LogLine], own: &[&LogLine]) -> Option<&'a LogLine> {
    let last = own.last()?;
    starts.iter().copied().find(|start| {
        let passed = start.at - last.at;
        start.vm == last.vm && passed > 0.0 && passed < AFTER
    })
}

/// Finds the cause in the lines of one request.
pub(super) fn cause(own: &[&LogLine], restarted: impl FnOnce() -> bool) -> Cause {
    let end = own.iter().rev();
    let end = end
        .copied()
        .find(|line| matches!(line.event.as_str(), "request" | "rejected"));
    match end {
        Some(end) if end.event == "rejected" => refused(end.get("reason")),
        Some(end) => ended(own, end),
        None if restarted() => Cause::VmEnded,
        None => Cause::Unknown,
    }
}

fn refused(reason: &str) -> Cause {
    match reason {
        "no-config" | "config-stale" => Cause::ConfigStale,
        "no-route" | "unknown-key" => Cause::NotPermitted,
        "overload" | "late" | "no-target" | "no-service" | "target-refused" | "connect" => {
            Cause::NoRoom
        }
        "quarantined" => Cause::Quarantined,
        "stopping" => Cause::Stopping,
        "memory" => Cause::Memory,
        _ => Cause::BadRequest,
    }
}

fn ended(own: &[&LogLine], end: &LogLine) -> Cause {
    match (end.get("outcome"), end.get("status")) {
        ("answered", status) if status >= "400" => Cause::TargetFailed,
        ("answered", _) => late(own, end),
        ("caller-gone", _) => Cause::CallerGone,
        ("timeout" | "target-timeout", _) => Cause::TargetSilent,
        ("broken-off" | "broken", _) => broken(own),
        ("closed" | "reset" | "unsigned" | "garbled" | "truncated", _) => Cause::TargetBroke,
        (_, "503" | "429" | "408") => refused(end.get("outcome")),
        ("connect", _) => Cause::TargetBroke,
        _ => Cause::Unknown,
    }
}

/// Finds out why a generation did not go on elsewhere.
fn broken(own: &[&LogLine]) -> Cause {
    if own.iter().any(|line| line.event == "retry-refused") {
        return Cause::BudgetSpent;
    }
    let last = |event: &str| own.iter().rev().copied().find(|line| line.event == event);
    let resumed = own.iter().any(|line| {
        let kind = line.get("kind");
        line.event == "target-fault" && matches!(kind, "resume-refused" | "resume-failed")
    });
    let copied = last("copy");
    match copied.map(|line| line.get("outcome")) {
        Some("no-destination" | "no-room") => Cause::NowhereToGo,
        _ if resumed => Cause::CopyMissing,
        Some(_) => Cause::CopyTooLate,
        None if own.iter().filter(|line| line.event == "dispatch").count() > 1 => {
            Cause::CopyMissing
        }
        None => Cause::TargetBroke,
    }
}

/// Finds out why an answer missed its aim.
fn late(own: &[&LogLine], end: &LogLine) -> Cause {
    match end.get("late") {
        "first" | "both" => late_begin(own, end),
        "pause" => pause(own, end),
        _ => Cause::Answered,
    }
}

fn late_begin(own: &[&LogLine], end: &LogLine) -> Cause {
    let failed = own.iter().any(|line| {
        line.event == "target-fault" && line.number("events") < 1.0 && line.get("kind") != "silent"
    });
    if failed {
        Cause::LateRepeat
    } else if end.number("wait_ms") * 2.0 > end.number("first_ms") {
        Cause::LateQueue
    } else {
        Cause::LateTarget
    }
}

fn pause(own: &[&LogLine], end: &LogLine) -> Cause {
    let gap = end.number("gap_ms");
    let took = |event: &str, part: &str| {
        let lines = own.iter().filter(|line| line.event == event);
        let times = lines.filter(|line| line.get("part") == part);
        times.fold(0.0_f64, |most, line| most.max(line.number("took_ms")))
    };
    let (copy, takeover) = (took("copy", "last"), took("moved", ""));
    if copy * 2.0 > gap {
        Cause::PauseCopy
    } else if (copy + takeover) * 2.0 > gap {
        Cause::PauseMove
    } else {
        Cause::PauseTarget
    }
}
