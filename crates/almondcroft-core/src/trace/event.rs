//! What a trace holds.

use crate::Timestamp;
use crate::config::Objective;
use crate::router::{Decision, LoadReport, RouteRequest, RouterOptions, TargetSpec};
use crate::{RequestId, TargetId};
use serde::{Deserialize, Serialize};

/// Opens a trace: what the router was created with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Settings of the router.
    pub options: RouterOptions,
    /// Seed of the router.
    pub seed: u64,
}

/// Holds one event that the router took in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum TraceEvent {
    /// The set of targets changed.
    Targets {
        /// All targets.
        targets: Vec<TargetSpec>,
    },
    /// What the deployment weighs most changed.
    Objective {
        /// The new objective.
        objective: Objective,
    },
    /// The number of VMs changed.
    Vms {
        /// VMs that send to the same targets.
        vms: u32,
    },
    /// A request arrived.
    Submit {
        /// The request; its prompt is not recorded.
        request: RouteRequest,
    },
    /// A request failed at a target before it began.
    Resubmit {
        /// The request.
        request: RouteRequest,
        /// The target that failed.
        failed: TargetId,
    },
    /// A target reported its load.
    Report {
        /// The target.
        target: TargetId,
        /// Its load.
        report: LoadReport,
    },
    /// A target became usable or unusable.
    Usable {
        /// The target.
        target: TargetId,
        /// Whether it may get new work.
        usable: bool,
    },
    /// A request produced tokens.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens produced so far.
        produced: u32,
    },
    /// A request ended.
    Finished {
        /// The request.
        request: RequestId,
        /// Whether its output is whole.
        complete: bool,
    },
    /// Time passed.
    Tick,
}

/// Holds one line of a trace: an event, its time, and the decisions that followed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// When the event was taken in.
    pub at: Timestamp,
    /// The event.
    #[serde(flatten)]
    pub event: TraceEvent,
    /// What was decided.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub decisions: Vec<Decision>,
}
