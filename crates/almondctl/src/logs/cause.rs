//! Why a request ended as it did.

use serde::Serialize;
use std::fmt;

/// Names the cause of an end, as far as the logs tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It was answered in time.
    Answered,
    /// The configuration was unknown or too old to accept keys.
    ConfigStale,
    /// The configuration does not permit it.
    NotPermitted,
    /// The request itself is at fault.
    BadRequest,
    /// It would have waited too long, or no target took it.
    NoRoom,
    /// It crashed targets before.
    Quarantined,
    /// The VM was about to stop.
    Stopping,
    /// The bodies held fill the VM's part for them.
    Memory,
    /// The target answered with a failure of its own.
    TargetFailed,
    /// The target gave no answer in time.
    TargetSilent,
    /// The connection to the target broke.
    TargetBroke,
    /// The target went, and no other had room for the generation.
    NowhereToGo,
    /// The target went before the generation was copied.
    CopyTooLate,
    /// The target went and the copy that was kept was not there or could not be used.
    CopyMissing,
    /// Its target went, and the fleet's retry budget permitted no further send.
    BudgetSpent,
    /// The caller closed the connection.
    CallerGone,
    /// The VM ended while it worked on it.
    VmEnded,
    /// It began late as it waited in this VM's queue.
    LateQueue,
    /// It began late as the target read other prompts first or was slow.
    LateTarget,
    /// It began late after a send that failed.
    LateRepeat,
    /// It stood still while its last part was copied.
    PauseCopy,
    /// It stood still while another target took over.
    PauseMove,
    /// It stood still at a target that went on with it: preempted, or beside long prompts.
    PauseTarget,
    /// The logs do not tell.
    Unknown,
}

impl Cause {
    /// Explains the cause in a sentence.
    #[must_use]
    pub const fn as_sentence(self) -> &'static str {
        match self {
            Self::Answered => "It was answered in time.",
            Self::ConfigStale => {
                "The VM could not vouch for its configuration, so it accepted no key; look for \
                 store-lost. It did not run."
            }
            Self::NotPermitted => "The configuration in force has no such route or key.",
            Self::BadRequest => "The request itself is at fault.",
            Self::NoRoom => "No target had room for it in time. It did not run.",
            Self::Quarantined => "It crashed targets before, so it is kept from them.",
            Self::Stopping => "The VM was about to stop and could not finish it. It did not run.",
            Self::Memory => "Bodies of other requests filled the memory for them. It did not run.",
            Self::TargetFailed => "The target ran it and answered with a failure of its own.",
            Self::TargetSilent => "The target gave no answer until the time was up.",
            Self::TargetBroke => "The connection to the target broke while it ran.",
            Self::NowhereToGo => "Its target left, and no other in reach had room for it.",
            Self::CopyTooLate => "Its target was gone before the generation was copied.",
            Self::CopyMissing => {
                "Its target was gone, and the engine with the copy that was kept did not take over."
            }
            Self::BudgetSpent => {
                "Its target failed or left, and the fleet's retry budget permitted no further send."
            }
            Self::CallerGone => "The caller closed its connection first.",
            Self::VmEnded => "The VM ended while it worked on it.",
            Self::LateQueue => "It waited in this VM's queue for room.",
            Self::LateTarget => "The target read other prompts first or was slow to begin.",
            Self::LateRepeat => "A first send failed, and the repeat came late.",
            Self::PauseCopy => "It stood still while its last part was copied; a link was busy.",
            Self::PauseMove => "It stood still while another target took over.",
            Self::PauseTarget => {
                "The target stood still with it: preempted for memory, or beside long prompts."
            }
            Self::Unknown => "The logs do not tell.",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_sentence())
    }
}
