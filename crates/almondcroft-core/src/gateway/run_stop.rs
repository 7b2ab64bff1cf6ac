//! Repetition of the calls that stop a run of which nothing is read any more.

use crate::Timestamp;
use std::time::Duration;

/// Delay before the second call; it doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between two calls.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// Time for which calls are repeated; longer than a link or a target is usually unreachable.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// What a call to stop a run has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The target has stopped the run.
    Stopped,
    /// The target knows no such run.
    NoRun,
    /// The target refused the call, or its response cannot be read.
    Unclear,
    /// No response arrived.
    Lost,
    /// No connection opened, so the call was not sent.
    NotSent,
    /// No process listens at the target's address.
    NoProcess,
}

/// What to do after a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// The run is over.
    Over,
    /// Send the call again after a delay.
    Repeat(Duration),
    /// The run may go on, and no further call is worthwhile.
    GiveUp,
}

/// Decides whether a call that stops a run has to be repeated.
///
/// Most targets drop a run when its connection closes, but not all do. So a run of which nothing is read any more counts as
/// over only once its target says so.
#[derive(Debug)]
pub struct StopAttempts {
    /// Whether the target is known to have begun the run; else it may not have read the request yet.
    has_begun: bool,
    give_up_at: Timestamp,
    delay: Duration,
    is_unanswered: bool,
}

impl StopAttempts {
    /// Starts to stop a run that its target ends by itself at a deadline.
    #[must_use]
    pub fn new(has_begun: bool, deadline: Timestamp, now: Timestamp) -> Self {
        Self {
            has_begun,
            give_up_at: deadline.min(now + REPEAT_TIME),
            delay: INITIAL_DELAY,
            is_unanswered: false,
        }
    }

    /// Records what a call has shown.
    pub fn record(&mut self, answer: StopAnswer, now: Timestamp) -> StopStep {
        match answer {
            StopAnswer::Stopped | StopAnswer::NoProcess => return StopStep::Over,
            StopAnswer::NoRun if self.has_begun => return StopStep::Over,
            StopAnswer::Lost => self.is_unanswered = true,
            StopAnswer::NoRun | StopAnswer::Unclear | StopAnswer::NotSent => {}
        }
        if now + self.delay >= self.give_up_at {
            return StopStep::GiveUp;
        }
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_DELAY);
        StopStep::Repeat(delay)
    }

    /// Returns whether a call was not answered, so that it may take effect later.
    #[must_use]
    pub const fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }
}

#[cfg(test)]
mod tests;
