//! Replays traces that a daemon recorded.

use almondcroft_core::trace::{Difference, Replayer, TraceHeader, TraceLine};
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::BufRead;

/// The reason why a trace cannot be replayed.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// The trace has no header.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// A line cannot be read.
    #[snafu(display("line {line} cannot be read"))]
    Read {
        /// Line number.
        line: usize,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is neither a header nor an event.
    #[snafu(display("line {line} is not an event of a trace"))]
    Decode {
        /// Line number.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The result of a replay.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReplayReport {
    /// Events that were replayed.
    pub events: usize,
    /// Decisions that were recorded.
    pub decisions: usize,
    /// Lines whose replay led to other decisions than recorded.
    pub differences: Vec<Difference>,
}

/// Runs a trace through the router and compares the decisions.
///
/// # Errors
///
/// Returns a [`ReplayError`] if the trace cannot be read.
pub fn replay(trace: impl BufRead) -> Result<ReplayReport, ReplayError> {
    let mut lines = trace.lines().enumerate();
    let (_, header) = lines.next().context(EmptySnafu)?;
    let header = header.context(ReadSnafu { line: 1_usize })?;
    let header: TraceHeader =
        serde_json::from_str(&header).context(DecodeSnafu { line: 1_usize })?;
    let mut replayer = Replayer::new(&header);
    let mut report = ReplayReport::default();
    for (index, text) in lines {
        let line = index + 1;
        let text = text.context(ReadSnafu { line })?;
        let event: TraceLine = serde_json::from_str(&text).context(DecodeSnafu { line })?;
        report.events += 1;
        report.decisions += event.decisions.len();
        report.differences.extend(replayer.replay_line(event));
    }
    Ok(report)
}
