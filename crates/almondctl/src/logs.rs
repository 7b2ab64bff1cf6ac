//! Reads the logs of VMs: the story and the cause of one request, and counts of all.

mod cause;
mod line;
mod story;
mod summary;

pub use cause::Cause;
pub use line::{LogLine, read_lines};
pub use story::{Story, explain};
pub use summary::{Summary, SummaryRow, summarize};
