//! A part of prompts that is refused, as it is stored.

use super::prompt_quarantine::PartId;

/// A part that a trial has confirmed to crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedPart {
    /// The part.
    pub part: PartId,
    /// Number of trials that crashed their target.
    pub failed_trials: u32,
}
