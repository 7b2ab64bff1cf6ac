//! What a deployment weighs most.

use serde::{Deserialize, Serialize};

/// Names the measure that routing favours where measures conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Shortens the time that callers wait with nothing arriving.
    #[default]
    Stall,
    /// Avoids preemptions and long gaps between tokens.
    Preemption,
}
