//! Faults that a stand-in engine can be told to have.

use serde::{Deserialize, Serialize};

/// Switches faults of an engine; all are off by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub struct EngineFaults {
    /// Refuse new generations with 503.
    pub refuse: bool,
    /// Streams that are open now go silent for good; new ones work.
    pub freeze_streams: bool,
    /// Die before the first token of any generation.
    pub die_before_token: bool,
    /// Die when any generation reaches this offset.
    pub die_at_token: Option<u64>,
    /// Die on a request whose prompt holds this text.
    pub crash_marker: Option<String>,
    /// Send each n-th event twice.
    pub duplicate_every: Option<u64>,
    /// Leave out each n-th event.
    pub skip_every: Option<u64>,
    /// Send a foreign generation's event before each n-th event.
    pub cross_every: Option<u64>,
    /// Announce that the engine is leaving.
    pub leaving: bool,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
}
