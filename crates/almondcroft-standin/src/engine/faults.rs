//! Faults that can be injected into a simulated engine.

use serde::{Deserialize, Serialize};

/// Fault switches of an engine; all are off by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent"
)]
pub struct EngineFaults {
    /// Refuse new generations with 503.
    pub refuse: bool,
    /// Stop sending on the streams that are open now, for good; new streams work.
    pub freeze_streams: bool,
    /// Crash before the first token of any generation.
    pub die_before_token: bool,
    /// Crash when any generation reaches this token offset.
    pub die_at_token: Option<u64>,
    /// Crash on a request whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// Send each n-th event twice.
    pub duplicate_every: Option<u64>,
    /// Omit each n-th event.
    pub skip_every: Option<u64>,
    /// Send an event of another generation before each n-th event.
    pub cross_every: Option<u64>,
    /// Report in the load response that the engine is leaving.
    pub leaving: bool,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
}
