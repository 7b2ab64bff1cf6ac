//! Options of the router.

use crate::config::Objective;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A policy for choosing targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Admission by KV cache headroom, with the queue at the VM.
    #[default]
    Almondcroft,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this VM in flight.
    LeastInFlight,
    /// The one of two random targets that reported less load.
    TwoChoices,
}

/// Options that tune the router to a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterOptions {
    /// How targets are chosen.
    pub policy: Policy,
    /// Fraction of an engine's KV cache that admitted requests may be expected to fill.
    pub headroom: f64,
    /// Fraction of the expected remaining output that counts as held at the same time.
    pub growth: f64,
    /// Maximum number of generations in one engine's batch.
    pub max_batch: u32,
    /// Maximum number of requests queued at this VM.
    pub max_queue: usize,
    /// Number of VMs that send to the same targets, including this one.
    pub vms: u32,
    /// Maximum fraction of an engine's KV cache that other VMs are assumed to have filled since its
    /// last report.
    pub herd: f64,
    /// Reduction of a target's load for a cached prefix, in tokens.
    pub prefix_bonus: f64,
    /// Whether requests that cannot complete before their deadline are refused at once.
    pub refuse_late: bool,
    /// Fraction of the time to its deadline that a request may be expected to wait in the queue.
    ///
    /// It is refused if the expected wait is longer.
    pub max_wait: f64,
    /// Whether the KV cache demand is estimated only over the time that the new request is
    /// expected to run.
    pub horizon: bool,
    /// Time between two tokens that is assumed until it has been observed.
    pub initial_gap: Duration,
}

impl RouterOptions {
    /// Returns these options adjusted to an objective.
    ///
    /// [`Objective::Stall`] fills engines further and refuses requests early rather than letting
    /// them wait; [`Objective::Preemption`] leaves more room for outputs to grow and lets requests
    /// wait longer.
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
