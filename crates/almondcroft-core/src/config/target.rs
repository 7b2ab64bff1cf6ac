//! Targets, the back ends of services.

use crate::{RegionId, ServiceId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Whether a target checks the fencing token of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The target rejects a command with an outdated fencing token.
    Checked,
    /// The target accepts every command.
    #[default]
    Ignored,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Identifies the target.
    pub id: TargetId,
    /// Services that the target provides.
    pub services: Vec<ServiceId>,
    /// Base URL of the target, with an IP address as its host.
    pub address: SmolStr,
    /// Region of the target.
    pub region: RegionId,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Whether the target checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
}
