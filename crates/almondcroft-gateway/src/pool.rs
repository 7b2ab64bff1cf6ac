//! Kept connections to targets.

use crate::clock;
use crate::exchange::CONNECT_TIME;
use crate::link::{Link, LinkError};
use crate::runtime::spawn;
use crate::state::Gateway;
use almondcroft_core::{ServiceId, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Idle time for which a connection is kept if the target states none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Time before the stated idle time at which a connection is no longer used, for the way there.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// Idle time up to which a connection is used for what must not run twice.
const YOUNG: Duration = Duration::from_millis(1_500);

/// Connections that are kept to one target.
const MAX_IDLE: usize = 24;

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Timestamp,
    keep: Duration,
}

/// Keeps connections to targets while they are idle.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection that is open and silent; only a young one for what must not run twice.
    pub(crate) fn take(&self, address: SocketAddr, once: bool, now: Timestamp) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        // The newest one is last and least likely to be closed on the way.
        while let Some(entry) = links.pop() {
            let age = now.saturating_sub(entry.since);
            if once && age >= YOUNG {
                links.push(entry);
                return None;
            }
            if age < entry.keep && entry.link.is_quiet() {
                return Some(entry.link);
            }
        }
        None
    }

    /// Returns whether a connection is kept that was used lately.
    fn has_young(&self, address: SocketAddr, now: Timestamp) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let young = |entry: &Idle| now.saturating_sub(entry.since) < YOUNG;
        idle.get(&address)
            .is_some_and(|links| links.iter().any(young))
    }

    /// Keeps a connection whose answer was read whole.
    fn put(
        &self,
        address: SocketAddr,
        link: Link,
        keep: Option<Duration>,
        most: usize,
        now: Timestamp,
    ) {
        let keep = keep.map_or(DEFAULT_KEEP, |keep| keep.saturating_sub(KEEP_MARGIN));
        if keep.is_zero() || !link.is_quiet() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(address).or_default();
        if links.len() < most.min(MAX_IDLE) {
            links.push(Idle {
                link,
                since: now,
                keep,
            });
        }
    }

    /// Closes all idle connections to a target that is gone.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Closes connections whose idle time is over.
    pub(crate) fn expire(&self, now: Timestamp) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for links in idle.values_mut() {
            links.retain(|entry| now.saturating_sub(entry.since) < entry.keep);
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

/// Takes a kept connection to a target, or opens one; tells whether it is a new one.
pub(crate) async fn connect(
    gateway: &Gateway,
    address: SocketAddr,
    once: bool,
    limit: Duration,
) -> Result<(Link, bool), LinkError> {
    match gateway.pool.take(address, once, clock::now()) {
        Some(link) => Ok((link, false)),
        None => Ok((Link::connect(address, CONNECT_TIME.min(limit)).await?, true)),
    }
}

/// Keeps a connection for the next request, within this VM's part of those that a target takes.
pub(crate) fn keep(
    gateway: &Gateway,
    address: SocketAddr,
    service: &ServiceId,
    link: Link,
    time: Option<Duration>,
) {
    let most = gateway.idle_share(service);
    gateway.pool.put(address, link, time, most, clock::now());
}

/// Opens a connection that will be needed soon, so that a generation that stands still meanwhile
/// does not wait for two round trips to another region.
pub(crate) fn warm(gateway: &Arc<Gateway>, address: SocketAddr, service: &ServiceId) {
    if gateway.pool.has_young(address, clock::now()) {
        return;
    }
    let (gateway, service) = (Arc::clone(gateway), service.clone());
    spawn(async move {
        // Whoever needs it opens one and sees the failure.
        if let Ok(link) = Link::connect(address, CONNECT_TIME).await {
            keep(&gateway, address, &service, link, None);
        }
    });
}
