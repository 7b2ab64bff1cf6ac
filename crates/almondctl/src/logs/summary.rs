//! Counts of requests by end and cause.

use super::story::{cause, restart};
use super::{Cause, LogLine};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Counts the requests that ended in one way for one cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SummaryRow {
    /// The class of requests; `-` where it was turned away before it was known.
    pub class: String,
    /// The status; 0 where the answer broke off.
    pub status: String,
    /// The cause.
    pub cause: Cause,
    /// Requests.
    pub count: usize,
    /// One of them, to be explained.
    pub example: String,
}

/// Counts all requests of the logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Counts, most first.
    pub rows: Vec<SummaryRow>,
    /// Requests that failed or were late.
    pub failed: usize,
    /// Those of them whose cause the logs tell.
    pub explained: usize,
    /// Lines that VMs left out under load.
    pub dropped: u64,
}

/// Counts the requests in the lines of all VMs.
#[must_use]
pub fn summarize(lines: &[LogLine]) -> Summary {
    let mut requests: HashMap<&str, Vec<&LogLine>> = HashMap::new();
    let mut dropped = 0;
    let starts: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.event == "started")
        .collect();
    for line in lines {
        match line.event.as_str() {
            "log-dropped" => dropped += line.get("count").parse().unwrap_or(0),
            _ if !line.get("request").is_empty() => {
                requests.entry(line.get("request")).or_default().push(line);
            }
            _ => {}
        }
    }
    let mut counts: BTreeMap<(String, String, Cause), (usize, &str)> = BTreeMap::new();
    for (request, own) in &requests {
        let cause = cause(own, || restart(&starts, own).is_some());
        let field = |key: &str| {
            let values = own.iter().rev().map(|line| line.get(key));
            values.into_iter().find(|value| !value.is_empty())
        };
        let class = field("class").unwrap_or("-").to_owned();
        let status = field("status").unwrap_or("-").to_owned();
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
        let bad = rows.iter().filter(|row| row.cause != Cause::Answered);
        let failed = bad.clone().map(|row| row.count).sum();
        let known = bad.filter(|row| row.cause != Cause::Unknown);
        let explained = known.map(|row| row.count).sum();
        Self {
            rows,
            failed,
            explained,
            dropped,
        }
    }
}
