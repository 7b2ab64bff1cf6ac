//! Settings of the router.

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
    /// Time between two tokens that is assumed before any was measured.
    pub initial_gap: Duration,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            policy: Policy::Almondcroft,
            headroom: 0.9,
            growth: 0.6,
            max_batch: 64,
            max_queue: 2_000,
            vms: 1,
            herd: 0.3,
            prefix_bonus: 200.0,
            refuse_late: true,
            initial_gap: Duration::from_millis(20),
        }
    }
}
