//! Where services run.

use crate::{RegionId, ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Tells whether a target checks the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The target refuses an order with an old number.
    Checked,
    /// The target obeys every order.
    #[default]
    Ignored,
}

/// Describes one back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Identifies the target.
    pub id: TargetId,
    /// Services that the target answers.
    pub services: Vec<ServiceId>,
    /// Base URL of the target, by IP number.
    pub address: SmolStr,
    /// Region of the target.
    pub region: RegionId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Whether the target checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}
