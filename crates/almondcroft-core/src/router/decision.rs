//! What the router decides.

use crate::{RequestId, TargetId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tells why a request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// It cannot complete before its deadline.
    Late,
    /// Too many requests wait at this VM.
    QueueFull,
    /// It would have to wait too long for room.
    Overload,
    /// No target of the service can be used.
    NoTarget,
}

/// States what becomes of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Send it to this target now.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The target that runs it.
        target: TargetId,
    },
    /// Answer that it was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefuseReason,
        /// When a repeat may succeed.
        retry_after: Duration,
    },
}
