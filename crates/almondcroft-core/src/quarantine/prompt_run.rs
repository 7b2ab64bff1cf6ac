//! One run of a prompt at one target.

use super::prompt_quarantine::PartId;
use crate::Timestamp;
use std::time::Duration;

/// Time after the start of a response within which a crash of its target may be due to its prompt.
const RISK_TIME: Duration = Duration::from_secs(1);

/// Time from the start of a response after which it has made progress; a faulty prompt crashes its target as the
/// response starts.
const PROGRESS_TIME: Duration = Duration::from_millis(200);

/// Time from the start of a response, or from the end of a run without one, until no report of a crash
/// within [`RISK_TIME`] is expected any more.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Returns whether a target survived the start of a response, so that its prompt crashes no target.
pub(super) fn has_survived(started_at: Timestamp, now: Timestamp) -> bool {
    now >= started_at + RISK_TIME
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// A crash of the target may be due to the prompt.
    AtRisk,
    /// The target has survived the start of the response.
    Survived,
    /// It ended before its response started.
    Unknown,
}

/// A prompt that was sent to a target.
#[derive(Debug)]
pub(super) struct PromptRun {
    pub(super) parts: Vec<PartId>,
    /// Whether it tests parts that are otherwise refused.
    pub(super) is_trial: bool,
    /// Time at which its response started.
    pub(super) started_at: Option<Timestamp>,
    pub(super) ended_at: Option<Timestamp>,
}

impl PromptRun {
    pub(super) const fn new(parts: Vec<PartId>, is_trial: bool) -> Self {
        Self {
            parts,
            is_trial,
            started_at: None,
            ended_at: None,
        }
    }

    /// Returns whether a crash of the target may be due to the prompt.
    pub(super) fn is_suspect(&self, crashed_at: Timestamp) -> bool {
        match (self.started_at, self.ended_at) {
            (Some(started), _) => !has_survived(started, crashed_at),
            (None, Some(ended)) => crashed_at < ended + RISK_TIME,
            (None, None) => true,
        }
    }

    /// Returns whether the response had made progress when its target crashed.
    pub(super) fn has_progressed(&self, crashed_at: Timestamp) -> bool {
        self.started_at
            .is_some_and(|started| started + PROGRESS_TIME <= crashed_at)
    }

    pub(super) fn state(&self, now: Timestamp) -> RunState {
        match (self.started_at, self.ended_at) {
            (Some(started), _) if now >= started + REPORT_TIME => RunState::Survived,
            (None, Some(ended)) if now >= ended + REPORT_TIME => RunState::Unknown,
            _ => RunState::AtRisk,
        }
    }
}
