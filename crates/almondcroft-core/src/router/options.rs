//! Settings of the router.

use crate::config::Objective;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Names a way to choose targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Headroom admission with the queue at the VM.
    #[default]
    Almondcroft,
    /// Targets in turn.
    RoundRobin,
    /// The target with the fewest own requests in flight.
    LeastInFlight,
    /// The less loaded, as reported, of two random targets.
    TwoChoices,
}

/// Tunes the router to a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterOptions {
    /// How targets are chosen.
    pub policy: Policy,
    /// Part of an engine's KV memory that admitted requests may be expected to fill.
    pub headroom: f64,
    /// Part of the expected remaining output that counts as needed at the same time.
    pub growth: f64,
    /// Most generations in one engine's batch.
    pub max_batch: u32,
    /// Most requests that wait at this VM.
    pub max_queue: usize,
    /// Number of VMs that send to the same targets.
    pub vms: u32,
    /// Largest part of an engine's memory that other VMs are taken to have filled since its report.
    pub herd: f64,
    /// Tokens of load that a cached prefix outweighs.
    pub prefix_bonus: f64,
    /// Refuse at once what cannot complete in time.
    pub refuse_late: bool,
    /// Part of the time to its deadline that a request may have to wait; else it is refused.
    pub max_wait: f64,
    /// Judge the memory only over the time that the request is expected to run.
    pub horizon: bool,
    /// Time between two tokens that is assumed before any was measured.
    pub initial_gap: Duration,
}

impl RouterOptions {
    /// Returns these settings with what an objective asks for.
    ///
    /// [`Objective::Stall`] fills engines further and refuses sooner than it lets callers wait;
    /// [`Objective::Preemption`] leaves more room for outputs to grow and lets requests wait.
    #[must_use]
    pub const fn with_objective(mut self, objective: Objective) -> Self {
        match objective {
            Objective::Stall => {
                self.growth = 0.2;
                self.max_wait = 0.05;
            }
            Objective::Preemption => {
                self.growth = 0.35;
                self.max_wait = 0.2;
            }
        }
        self
    }
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            policy: Policy::Almondcroft,
            headroom: 1.0,
            growth: 0.2,
            max_batch: 64,
            max_queue: 2_000,
            vms: 1,
            herd: 0.3,
            prefix_bonus: 200.0,
            refuse_late: true,
            max_wait: 0.05,
            horizon: true,
            initial_gap: Duration::from_millis(20),
        }
    }
}
