//! What operators state, as the gateway uses it.

use super::{RouteSpec, RouteTable};
use crate::{CustomerId, Revision, ServiceId};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time for a head to arrive once it has begun.
    pub header_time: Duration,
    /// Time for which a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Describes the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Most requests in one batch.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub kv_tokens: u32,
    /// Tokens in an event of a stream.
    pub stride: u32,
    /// Whether a running generation can be copied to another engine.
    pub moves: bool,
    /// Whether an engine keeps a copy at another one while it runs.
    pub backups: bool,
}

/// Describes a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Identifies the service.
    pub id: ServiceId,
    /// Most connections to one target, over all VMs.
    pub connections: u32,
    /// What its engines hold; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Describes a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Identifies the customer.
    pub id: CustomerId,
    /// Keys that its callers present.
    pub keys: Vec<SmolStr>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Holds one revision of the gateway's configuration.
#[derive(Debug, Clone, Default)]
pub struct GatewayConfig {
    /// Number of the revision.
    pub revision: Revision,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Services by id.
    pub pools: BTreeMap<ServiceId, PoolSpec>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    customers: HashMap<SmolStr, Arc<CustomerSpec>>,
    keyed: bool,
}

impl GatewayConfig {
    /// Creates a configuration.
    #[must_use]
    pub fn new(revision: Revision, routes: Vec<RouteSpec>, pools: Vec<PoolSpec>) -> Self {
        Self {
            revision,
            routes: RouteTable::new(routes),
            pools: pools.into_iter().map(|p| (p.id.clone(), p)).collect(),
            ..Self::default()
        }
    }

    /// Sets the customers; requests then need a key where the route is not open.
    #[must_use]
    pub fn customers(mut self, customers: Vec<CustomerSpec>) -> Self {
        self.keyed = true;
        for customer in customers {
            let customer = Arc::new(customer);
            for key in &customer.keys {
                self.customers.insert(key.clone(), Arc::clone(&customer));
            }
        }
        self
    }

    /// Sets the bounds for callers.
    #[must_use]
    pub const fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns whether requests need a key where the route is not open.
    #[must_use]
    pub const fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerSpec>> {
        self.customers.get(key)
    }
}
