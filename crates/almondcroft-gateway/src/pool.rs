//! Kept connections to targets.

use crate::link::Link;
use almondcroft_core::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
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

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn put(
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
