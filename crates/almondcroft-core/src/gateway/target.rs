//! Targets as they register themselves.

use crate::{RegionId, ServiceId, TargetId, Timestamp, ZoneId};
use std::net::SocketAddr;

/// Describes a registered target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identifies one start of the target.
    pub id: TargetId,
    /// Service that it answers.
    pub service: ServiceId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time until which it is slow after its start.
    pub cold_until: Timestamp,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
}
