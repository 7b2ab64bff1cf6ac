//! Terms on which an institution is served.

use crate::{ContractId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// States what one service owes to the customers of one contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// Worth of one request that completes whole and on time, in units of the contract.
    pub worth: f64,
    /// Time from the arrival of a request to its last byte, in milliseconds.
    pub deadline_ms: u64,
    /// Priority of the requests; a lower number goes first.
    pub priority: u8,
}

/// Gathers the terms of one contract, one entry for each service that it covers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Identifies the contract.
    pub id: ContractId,
    /// Terms by service.
    pub terms: BTreeMap<ServiceId, Terms>,
}
