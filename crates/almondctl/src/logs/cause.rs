//! Causes of request outcomes.

use serde::Serialize;
use std::fmt;

/// The cause of a request's outcome, as far as the logs show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The request was answered in time.
    Answered,
    /// The VM had no configuration, or one too old to decide on routes and customers' keys.
    ConfigStale,
    /// The configuration has no such route or customer key.
    NotPermitted,
    /// The request is invalid.
    BadRequest,
    /// The request would have waited too long, or no target accepted it.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The request, or a part of its prompt, has crashed targets before.
    Quarantined,
    /// The VM was shutting down.
    Stopping,
    /// Request bodies filled the memory that the VM reserves for them.
    Memory,
    /// The target responded with an error.
    TargetFailed,
    /// The target did not respond in time.
    #[serde(rename = "target-silent")]
    TargetTimeout,
    /// The connection to the target broke.
    #[serde(rename = "target-broke")]
    ConnectionLost,
    /// The target left, and no other had capacity for the generation.
    #[serde(rename = "nowhere-to-go")]
    NoDestination,
    /// The target was gone before the generation was copied.
    CopyTooLate,
    /// The target was gone, and the generation's backup copy was missing or unusable.
    CopyMissing,
    /// The target failed or left, and the fleet's retry budget permitted no further attempt.
    #[serde(rename = "budget-spent")]
    RetryBudgetExhausted,
    /// The caller closed the connection.
    CallerGone,
    /// The VM's process ended while it handled the request.
    VmEnded,
    /// The response began late because the request waited in the VM's queue.
    LateQueue,
    /// The response began late because the target prefilled other prompts first or was slow.
    LateTarget,
    /// The response began late because an earlier attempt had failed.
    #[serde(rename = "late-repeat")]
    LateRetry,
    /// The response paused while the last part of its KV cache was copied.
    PauseCopy,
    /// The response paused while another target took over.
    #[serde(rename = "pause-move")]
    PauseMigration,
    /// The response paused at its target, which preempted it or prefilled long prompts
    /// alongside it.
    PauseTarget,
    /// The logs do not show the cause.
    Unknown,
}

impl Cause {
    /// Returns whether another decision of the fleet could have avoided what was lost.
    #[must_use]
    pub const fn is_avoidable(self) -> bool {
        match self {
            Self::NoCapacity
            | Self::Stopping
            | Self::Memory
            | Self::NoDestination
            | Self::CopyTooLate
            | Self::CopyMissing
            | Self::RetryBudgetExhausted
            | Self::LateQueue
            | Self::LateTarget
            | Self::LateRetry
            | Self::PauseCopy
            | Self::PauseMigration
            | Self::PauseTarget => true,
            Self::Answered
            | Self::ConfigStale
            | Self::NotPermitted
            | Self::BadRequest
            | Self::Quarantined
            | Self::TargetFailed
            | Self::TargetTimeout
            | Self::ConnectionLost
            | Self::CallerGone
            | Self::VmEnded
            | Self::Unknown => false,
        }
    }

    /// Describes the cause in one or more sentences.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            Self::Answered => "The request was answered in time.",
            Self::ConfigStale => {
                "The VM had no configuration, or one too old to decide on routes and customers' \
                 keys; look for store-lost. The request did not run."
            }
            Self::NotPermitted => "The active configuration has no such route or customer key.",
            Self::BadRequest => "The request is invalid.",
            Self::NoCapacity => "No target had capacity for the request in time. It did not run.",
            Self::Quarantined => {
                "The request, or a part of its prompt, crashed targets before, so it is quarantined."
            }
            Self::Stopping => {
                "The VM was shutting down and could not finish the request, which did not run."
            }
            Self::Memory => {
                "The bodies of other requests filled the memory reserved for them. This request \
                 did not run."
            }
            Self::TargetFailed => "The target ran the request and responded with an error.",
            Self::TargetTimeout => "The target did not respond before the timeout.",
            Self::ConnectionLost => "The connection to the target broke while the request ran.",
            Self::NoDestination => {
                "The target left, and no other reachable one had capacity for the generation."
            }
            Self::CopyTooLate => "The target was gone before the generation was copied.",
            Self::CopyMissing => {
                "The target was gone, and the engine with the backup copy did not take over."
            }
            Self::RetryBudgetExhausted => {
                "The target failed or left, and the fleet's retry budget permitted no further \
                 attempt."
            }
            Self::CallerGone => {
                "The caller closed the connection before the response was complete."
            }
            Self::VmEnded => "The VM's process ended while it handled the request.",
            Self::LateQueue => "The request waited in the VM's queue for capacity.",
            Self::LateTarget => "The target prefilled other prompts first or was slow to begin.",
            Self::LateRetry => "An earlier attempt failed, and the retry came late.",
            Self::PauseCopy => {
                "The response paused while the last part of its KV cache was copied; a link was \
                 busy."
            }
            Self::PauseMigration => "The response paused while another target took over.",
            Self::PauseTarget => {
                "The response paused at its target, which preempted it for memory or prefilled \
                 long prompts alongside it."
            }
            Self::Unknown => "The logs do not show the cause.",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.description())
    }
}
