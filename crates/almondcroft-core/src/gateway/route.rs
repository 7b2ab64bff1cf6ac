//! Routes by host and path.

use crate::ServiceId;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Tells what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Once,
    /// A stream of events; runs once at most.
    Stream,
}

impl CallKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn repeats(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// Names a service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cluster {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// Describes a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Identifies the route.
    pub name: SmolStr,
    /// Host that callers name, in lower case.
    pub host: SmolStr,
    /// Begin of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: CallKind,
    /// Services that answer.
    pub clusters: Vec<Cluster>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub aim: Duration,
    /// Longest pause between events with which an answer is still on time.
    pub gap_aim: Option<Duration>,
    /// Most targets that one request may run on.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether no key is needed.
    pub open: bool,
}

impl RouteSpec {
    /// Chooses a service by weight; the same number chooses the same service.
    #[must_use]
    pub fn pick(&self, number: u64) -> Option<&ServiceId> {
        let total: u64 = self.clusters.iter().map(|c| u64::from(c.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = number % total;
        for cluster in &self.clusters {
            let weight = u64::from(cluster.weight);
            if left < weight {
                return Some(&cluster.service);
            }
            left -= weight;
        }
        None
    }
}

/// Finds the route of a request in time that does not grow with the number of routes.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Creates a table; of two routes with the same host and prefix the later one holds.
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
