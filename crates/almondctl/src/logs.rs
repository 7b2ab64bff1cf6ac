//! Reads the logs of VMs, explains the outcome of one request and counts the outcomes of all.

mod cause;
mod explain;
mod line;
mod summary;

pub use cause::Cause;
pub use explain::{Explanation, explain};
pub use line::{LogLine, read_lines};
pub use summary::{Summary, SummaryRow, summarize};
