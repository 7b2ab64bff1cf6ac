//! Contracts and the terms of service in them.

use crate::{ContractId, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The terms of one service for the customers of one contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// Value of one request that completes in full and on time, in units of the contract.
    pub worth: f64,
    /// Time allowed from the arrival of a request to its last byte, in milliseconds.
    pub deadline_ms: u64,
    /// Priority of the requests; those with a lower number are dispatched first.
    pub priority: u8,
}

/// A contract, with the terms of each service that it covers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Identifies the contract.
    pub id: ContractId,
    /// Terms by service.
    pub terms: BTreeMap<ServiceId, Terms>,
}
