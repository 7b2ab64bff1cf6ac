//! Customers and their bearer tokens.

use crate::{ContractId, CustomerId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use std::fmt::Write;

/// A customer, authenticated by the hash of its bearer token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Identifies the customer.
    pub id: CustomerId,
    /// The contract that covers the customer.
    pub contract: ContractId,
    /// SHA-256 of the bearer token, in lower-case hexadecimal digits.
    pub token_sha256: SmolStr,
    /// Maximum number of requests in flight at one VM.
    pub max_concurrent: u32,
}

/// Returns the SHA-256 of a bearer token in lower-case hexadecimal digits.
///
/// ```
/// use almondcroft_core::config::hash_token;
///
/// assert!(hash_token("").starts_with("e3b0c442"));
/// ```
///
/// # Panics
///
/// Never: writing to a string succeeds.
#[must_use]
pub fn hash_token(token: &str) -> String {
    let mut digits = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        write!(digits, "{byte:02x}").expect("writing to a string succeeds");
    }
    digits
}
