//! Contents of a trace.

use crate::Timestamp;
use crate::config::Objective;
use crate::router::{Decision, LoadReport, RouteRequest, RouterOptions, TargetSpec};
use crate::{RequestId, TargetId};
use serde::{Deserialize, Serialize};

/// The first line of a trace, with the parameters of the router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// Options of the router.
    pub options: RouterOptions,
    /// Random seed of the router.
    pub seed: u64,
}

/// An event that the router handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum TraceEvent {
    /// The set of targets changed.
    Targets {
        /// All targets.
        targets: Vec<TargetSpec>,
    },
    /// The routing objective changed.
    Objective {
        /// The new objective.
        objective: Objective,
    },
    /// The number of VMs changed.
    Vms {
        /// Number of VMs that send to the same targets.
        vms: u32,
    },
    /// A request arrived.
    Submit {
        /// The request; its prompt is not recorded.
        request: RouteRequest,
    },
    /// A request failed at a target before it started.
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
        /// Number of tokens produced so far.
        produced: u32,
    },
    /// A request ended.
    Finished {
        /// The request.
        request: RequestId,
        /// Whether its output is complete.
        complete: bool,
    },
    /// Time passed.
    Tick,
}

/// One line of a trace: an event, its time and the resulting decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// When the router handled the event.
    pub at: Timestamp,
    /// The event.
    #[serde(flatten)]
    pub event: TraceEvent,
    /// The resulting decisions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub decisions: Vec<Decision>,
}
