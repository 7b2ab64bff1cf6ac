//! Reads the logs of VMs, explains the outcome of one request and counts the outcomes of all.

mod cause;
mod explain;
mod line;
mod losses;
mod summary;

pub use cause::Cause;
pub use explain::{Explanation, explain};
pub use line::{LogLine, read_lines};
pub use losses::{ClassWorth, LossRow, Losses, attribute_losses};
pub use summary::{Summary, SummaryRow, summarize};
