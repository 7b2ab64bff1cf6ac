//! Routes by host and path.

use super::AllowedRegions;
use crate::ServiceId;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Classifies calls by whether they may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Returns a stream of events; runs at most once unless its route is resumable.
    Stream,
}

impl CallKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// Gives a service its weight among the services of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests, relative to the other weights.
    pub weight: u32,
}

/// Describes a route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Identifies the route.
    pub name: SmolStr,
    /// Host name of the requests, in lower case.
    pub host: SmolStr,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether calls may run more than once.
    pub kind: CallKind,
    /// Whether a stream may go on after any of its events, at another target and in another request.
    pub resumable: bool,
    /// Services that requests are split over, by weight.
    pub services: Vec<WeightedService>,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub latency_objective: Duration,
    /// Longest gap between events with which a stream still meets its latency objective.
    pub gap_objective: Option<Duration>,
    /// Maximum number of targets that one request may run on.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

impl RouteSpec {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        self.kind.may_repeat() || self.is_resumable()
    }

    /// Returns whether the responses are streams that may be resumed.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.resumable && self.kind == CallKind::Stream
    }

    /// Chooses a service by weight; the same number chooses the same service.
    #[must_use]
    pub fn pick_service(&self, number: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = number % total;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if left < weight {
                return Some(&weighted.service);
            }
            left -= weight;
        }
        None
    }
}

/// Maps hosts and path prefixes to routes; a lookup takes the same time for any number of routes.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Creates a table; of two routes with the same host and prefix, the later one wins.
    #[must_use]
    pub fn new(routes: Vec<RouteSpec>) -> Self {
        let mut hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<RouteSpec>>> = HashMap::new();
        for route in routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::new(route));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix among those of the host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        // Each prefix ends with a slash, so only the path up to one of its slashes can match.
        let slashes = path.bytes().enumerate().rev();
        slashes
            .filter(|(_, byte)| *byte == b'/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}

#[cfg(test)]
mod tests;
