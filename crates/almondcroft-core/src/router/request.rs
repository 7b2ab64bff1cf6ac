//! Description of a request for routing.

use crate::{CustomerId, RegionId, RequestId, ServiceId, Timestamp};
use serde::{Deserialize, Serialize};

/// Describes a generation to route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// Identifies the request.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The requested service.
    pub service: ServiceId,
    /// Priority; requests with a lower number are dispatched first.
    pub priority: u8,
    /// Value of the request if its whole output is delivered before the deadline.
    pub worth: f64,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Hash of the prompt's shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// Region of the VM that received the request.
    pub region: RegionId,
    /// Limit on output tokens that the caller set, if any.
    pub max_tokens: Option<u32>,
    /// Output length in tokens, if it is known in advance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_length: Option<u32>,
}
