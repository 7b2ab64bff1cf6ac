//! Services that callers request.

use crate::{ModelId, ServiceId};
use serde::{Deserialize, Serialize};

/// The kind of a service's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Targets are model engines.
    Engine,
    /// Targets are plain HTTP services.
    Plain,
}

/// A service that a set of targets provides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Identifies the service; callers name it as the model or in the path.
    pub id: ServiceId,
    /// Whether targets are engines or plain services.
    pub kind: ServiceKind,
    /// The model that engines run for this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// Whether a call may be repeated without harm.
    pub idempotent: bool,
}
