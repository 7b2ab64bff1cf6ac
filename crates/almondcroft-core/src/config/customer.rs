//! Who may call.

use crate::{ContractId, CustomerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Describes a customer, known by the hash of its bearer token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Identifies the customer.
    pub id: CustomerId,
    /// The contract that covers the customer.
    pub contract: ContractId,
    /// SHA-256 of the bearer token, in lower-case hexadecimal digits.
    pub token_sha256: SmolStr,
    /// Requests that may be in flight at once at one VM.
    pub max_concurrent: u32,
}
