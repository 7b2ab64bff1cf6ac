//! What a request asks of a target.

use crate::{RegionId, RequestId, ServiceId, TargetId, Timestamp, ZoneId};
use std::time::Duration;

/// States what a request takes of an engine; all zero for plain calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of output that are expected.
    pub output: u32,
    /// Whether the prompt need not be read again.
    pub read: bool,
}

impl Need {
    /// Returns the tokens of memory that it is expected to fill at its end.
    #[must_use]
    pub const fn tokens(self) -> u32 {
        self.prompt + self.output
    }

    /// Returns the tokens that the engine has to read first.
    #[must_use]
    pub const fn unread(self) -> u32 {
        if self.read { 0 } else { self.prompt }
    }
}

/// Describes a request to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Identifies the request.
    pub id: RequestId,
    /// Service that answers it.
    pub service: ServiceId,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// What it takes.
    pub need: Need,
    /// Time within which its caller loses patience.
    pub patience: Duration,
    /// Time until which its answer must begin to be on time; `None` where it is short anyway.
    pub aim: Option<Timestamp>,
    /// Time after which its answer counts for nothing.
    pub deadline: Timestamp,
    /// Availability zone of this VM.
    pub zone: ZoneId,
    /// Region of this VM.
    pub region: RegionId,
    /// Whether its memory is copied over a link, which takes twice as long between zones.
    pub copied: bool,
    /// Targets at which it failed before.
    pub avoid: Vec<TargetId>,
}
