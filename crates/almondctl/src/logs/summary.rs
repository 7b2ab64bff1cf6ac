//! Counts requests by class, status and cause.

use super::explain::{find_cause, find_restart};
use super::line::{group_by_request, last_value, start_lines};
use super::{Cause, LogLine};
use serde::Serialize;
use std::collections::BTreeMap;

/// The number of requests with the same class, status and cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SummaryRow {
    /// The class; `-` if the request was rejected before its class was determined.
    pub class: String,
    /// The status; 0 if the response broke off, `-` if the logs do not contain one.
    pub status: String,
    /// The cause.
    pub cause: Cause,
    /// Number of requests.
    pub count: usize,
    /// The id of one of them.
    pub example: String,
}

/// The number of requests by class, status and cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Rows, in descending order of their counts.
    pub rows: Vec<SummaryRow>,
    /// Number of requests that failed or were late.
    pub failed: usize,
    /// Number of those whose cause is known.
    pub explained: usize,
    /// Number of log lines that VMs dropped under load.
    pub dropped: u64,
}

/// Counts the requests in the lines of all VMs.
#[must_use]
pub fn summarize(lines: &[LogLine]) -> Summary {
    let starts = start_lines(lines);
    let requests = group_by_request(lines);
    let dropped = lines.iter().filter(|line| line.event == "log-dropped");
    let dropped = dropped.map(|line| line.get("count").parse().unwrap_or(0_u64));
    let dropped = dropped.sum();
    let mut counts: BTreeMap<(String, String, Cause), (usize, &str)> = BTreeMap::new();
    for (request, request_lines) in &requests {
        let cause = find_cause(request_lines, || {
            find_restart(&starts, request_lines).is_some()
        });
        let class = last_value(request_lines, "class").unwrap_or("-").to_owned();
        let status = last_value(request_lines, "status")
            .unwrap_or("-")
            .to_owned();
        let entry = counts.entry((class, status, cause)).or_insert((0, request));
        entry.0 += 1;
        entry.1 = entry.1.min(request);
    }
    Summary::new(counts, dropped)
}

impl Summary {
    fn new(counts: BTreeMap<(String, String, Cause), (usize, &str)>, dropped: u64) -> Self {
        let rows = counts.into_iter();
        let mut rows: Vec<SummaryRow> = rows
            .map(|((class, status, cause), (count, example))| SummaryRow {
                class,
                status,
                cause,
                count,
                example: example.to_owned(),
            })
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.count));
        let unsuccessful = rows.iter().filter(|row| row.cause != Cause::Answered);
        let failed = unsuccessful.clone().map(|row| row.count).sum();
        let known = unsuccessful.filter(|row| row.cause != Cause::Unknown);
        let explained = known.map(|row| row.count).sum();
        Self {
            rows,
            failed,
            explained,
            dropped,
        }
    }
}
