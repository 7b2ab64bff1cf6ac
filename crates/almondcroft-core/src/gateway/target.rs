//! Registration of a target.

use crate::{RegionId, ServiceId, TargetId, Timestamp, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for which a sound target may be silent; what it was sent is not lost then.
///
/// Operators have seen sound targets silent for up to 1.3 s.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_500);

/// Describes a registered target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identifies the target.
    pub id: TargetId,
    /// Service that it provides.
    pub service: ServiceId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Time until which it is slow after a cold start.
    pub cold_until: Timestamp,
    /// Incarnation: its start time, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}
