//! Decisions of the router.

use crate::{RequestId, TargetId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request cannot complete before its deadline.
    Late,
    /// The queue of this VM is full.
    QueueFull,
    /// The request would have to wait too long in the queue.
    Overload,
    /// No usable target serves the requested service.
    NoTarget,
}

/// The router's decision about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Send the request to a target now.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The target that runs it.
        target: TargetId,
    },
    /// Refuse the request without running it.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why it is refused.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}
