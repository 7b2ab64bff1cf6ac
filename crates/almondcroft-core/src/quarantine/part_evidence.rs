//! What a VM tells its peers about a part of prompts.

use super::prompt_quarantine::{CrashId, PartId};
use std::time::Duration;

/// Describes the crashes in which a part of prompts was involved; times are ages.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PartEvidence {
    /// The part.
    pub part: PartId,
    /// The crashes since a response to a prompt with the part last survived, and their ages.
    pub crashes: Vec<(CrashId, Duration)>,
    /// Age of the start of that response.
    pub survived: Option<Duration>,
    /// Whether a response to a prompt with the part made progress since the first of the crashes.
    pub has_progressed: bool,
    /// Age of the last trial, and the crashes of the targets of trials.
    pub trial: Option<(Duration, Vec<CrashId>)>,
}
