//! Tokens, time limits and location of a request.

use crate::gateway::AllowedRegions;
use crate::{RegionId, RequestId, ServiceId, TargetId, Timestamp, ZoneId};
use std::time::Duration;

/// Tokens that a request needs at an engine; all zero for calls to plain services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of output that are expected.
    pub output: u32,
    /// Whether the KV cache of the prompt exists already, so that no prefill is needed.
    pub prefilled: bool,
}

impl Need {
    /// Returns the KV cache tokens that the request is expected to fill at its end.
    #[must_use]
    pub const fn tokens(self) -> u32 {
        self.prompt + self.output
    }

    /// Returns the tokens that the engine has to prefill.
    #[must_use]
    pub const fn prefill_tokens(self) -> u32 {
        if self.prefilled { 0 } else { self.prompt }
    }
}

/// Describes a request to place, or a running generation whose KV cache is copied.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Identifies the request.
    pub id: RequestId,
    /// Service that handles it.
    pub service: ServiceId,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Tokens that it needs.
    pub need: Need,
    /// Time after which its caller is expected to give up; limits its time in the admission queue.
    pub caller_timeout: Duration,
    /// Time by which its response must start to be on time; `None` for short calls.
    pub start_deadline: Option<Timestamp>,
    /// Time after which its response has no value.
    pub deadline: Timestamp,
    /// Availability zone of this VM, or of the source target of a copy.
    pub zone: ZoneId,
    /// Region of this VM, or of the source target of a copy.
    pub region: RegionId,
    /// Whether its callers can wait much longer for the start of the response than others of the service.
    pub is_patient: bool,
    /// Whether it is a copy of a running generation's KV cache, for a backup or a migration.
    ///
    /// Copying takes twice as long between availability zones.
    pub is_copy: bool,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
    /// Targets that must not be chosen, such as those at which it failed before.
    pub avoid: Vec<TargetId>,
}
