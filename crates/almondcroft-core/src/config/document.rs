//! The complete configuration.

use super::{Contract, Customer, Objective, Service, Target, Terms};
use crate::{ContractId, CustomerId, Revision, ServiceId, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One revision of the configuration that operators define in the sheet.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Revision number; zero before the first sheet is applied.
    pub revision: Revision,
    /// The measure that routing favours.
    #[serde(default)]
    pub objective: Objective,
    /// Contracts by id.
    pub contracts: BTreeMap<ContractId, Contract>,
    /// Customers by id.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
    /// Targets that operators are draining; they get no new work.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drained: BTreeSet<TargetId>,
}

impl Config {
    /// Finds the customer whose bearer token has this SHA-256 in lower-case hexadecimal digits.
    #[must_use]
    pub fn customer_by_token(&self, token_sha256: &str) -> Option<&Customer> {
        self.customers
            .values()
            .find(|customer| customer.token_sha256 == token_sha256)
    }

    /// Returns the terms on which a customer may call a service.
    #[must_use]
    pub fn terms(&self, customer: &Customer, service: &str) -> Option<&Terms> {
        self.contracts.get(&customer.contract)?.terms.get(service)
    }

    /// Iterates over the targets that provide a service.
    pub fn targets_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .values()
            .filter(move |target| target.services.iter().any(|id| id == service))
    }

    /// Returns whether both configurations are equal apart from their revisions.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        self.objective == other.objective
            && self.contracts == other.contracts
            && self.customers == other.customers
            && self.services == other.services
            && self.targets == other.targets
            && self.drained == other.drained
    }
}
