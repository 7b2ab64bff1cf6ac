//! The objective of routing.

use serde::{Deserialize, Serialize};

/// The measure that routing favours where measures conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Minimizes the time that callers wait without receiving anything.
    #[default]
    Stall,
    /// Minimizes preemptions and long gaps between tokens.
    Preemption,
}
