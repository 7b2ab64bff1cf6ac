//! Configuration of the gateway.

use super::{AllowedRegions, CallKind, RouteSpec, RouteTable};
use crate::{CustomerId, Revision, ServiceId};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Limits the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive after its first byte, and for each part of a body.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Describes the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of the KV cache of one engine, in tokens.
    pub kv_tokens: u32,
    /// Number of tokens in each event of a stream.
    pub event_tokens: u32,
    /// Whether a running generation can be migrated to another engine.
    pub supports_migration: bool,
    /// Whether a copy of a running generation's KV cache is kept up to date on another engine.
    pub backups: bool,
}

/// Describes how targets of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a target stays cold.
    pub duration: Duration,
    /// Requests a second, over all VMs, that a cold target bears.
    pub per_second: f64,
}

/// Describes the pool of targets that provide a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Identifies the service.
    pub id: ServiceId,
    /// Maximum number of connections to one target, over all VMs.
    pub connections: u32,
    /// Properties of its engines; `None` for plain HTTP services.
    pub engine: Option<EngineSpec>,
    /// How its targets start; `None` if they bear any load at once.
    pub cold_start: Option<ColdStart>,
}

/// Describes a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Identifies the customer.
    pub id: CustomerId,
    /// API keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

/// Ratio of two latency objectives from which the callers with the longer one count as patient: they can wait as long
/// again as the others wait at all.
const PATIENCE_RATIO: u32 = 2;

/// Returns the shortest latency objective of the streams of each service.
fn shortest_objectives(routes: &[RouteSpec]) -> HashMap<ServiceId, Duration> {
    let mut shortest: HashMap<ServiceId, Duration> = HashMap::new();
    for route in routes.iter().filter(|route| route.kind == CallKind::Stream) {
        for weighted in &route.services {
            let known = shortest.entry(weighted.service.clone());
            let known = known.or_insert(route.latency_objective);
            *known = (*known).min(route.latency_objective);
        }
    }
    shortest
}

/// Holds one revision of the gateway's configuration.
#[derive(Debug, Clone, Default)]
pub struct GatewayConfig {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Pools of targets, by service.
    pub pools: BTreeMap<ServiceId, PoolSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Shortest latency objective of the streams of each service.
    shortest_objectives: HashMap<ServiceId, Duration>,
    customers: HashMap<SmolStr, Arc<CustomerSpec>>,
    key_required: bool,
}

impl GatewayConfig {
    /// Creates a configuration.
    #[must_use]
    pub fn new(revision: Revision, routes: Vec<RouteSpec>, pools: Vec<PoolSpec>) -> Self {
        Self {
            revision,
            shortest_objectives: shortest_objectives(&routes),
            routes: RouteTable::new(routes),
            pools: pools.into_iter().map(|p| (p.id.clone(), p)).collect(),
            ..Self::default()
        }
    }

    /// Sets the customers; requests then need a key unless their route is public.
    #[must_use]
    pub fn customers(mut self, customers: Vec<CustomerSpec>) -> Self {
        self.key_required = true;
        for customer in customers {
            let customer = Arc::new(customer);
            for key in &customer.keys {
                self.customers.insert(key.clone(), Arc::clone(&customer));
            }
        }
        self
    }

    /// Sets the limits for callers.
    #[must_use]
    pub const fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns whether the callers of a route can wait at least [`PATIENCE_RATIO`] times as long for the start of a
    /// stream as those of another route of the service.
    #[must_use]
    pub fn is_patient(&self, route: &RouteSpec, service: &ServiceId) -> bool {
        let shortest = self.shortest_objectives.get(service);
        route.kind == CallKind::Stream
            && shortest
                .is_some_and(|shortest| route.latency_objective >= *shortest * PATIENCE_RATIO)
    }

    /// Returns whether streams, which may have to be resumed, can go to a service.
    #[must_use]
    pub fn has_streams(&self, service: &str) -> bool {
        self.shortest_objectives.contains_key(service)
    }

    /// Returns whether requests need a key unless their route is public.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.key_required
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<CustomerSpec>> {
        self.customers.get(key)
    }
}
