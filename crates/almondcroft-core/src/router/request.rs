//! What the router knows of a request.

use crate::{CustomerId, RegionId, RequestId, ServiceId, Timestamp};
use serde::{Deserialize, Serialize};

/// Describes a generation that is to be placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// Identifies the request.
    pub id: RequestId,
    /// The customer that asked.
    pub customer: CustomerId,
    /// The service that it asked.
    pub service: ServiceId,
    /// Lower numbers go first.
    pub priority: u8,
    /// Worth if completed whole and on time.
    pub worth: f64,
    /// When the answer must be whole.
    pub deadline: Timestamp,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Hash of the prompt's shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// Region of the VM that holds the request.
    pub region: RegionId,
    /// Most tokens that the caller allows, if stated.
    pub max_tokens: Option<u32>,
    /// Length of the output, where it is known beforehand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_length: Option<u32>,
}
