//! Pool of idle connections to targets.

use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::exchange::CONNECT_TIMEOUT;
use crate::runtime::spawn;
use crate::state::{Gateway, lock};
use crate::target_connect::{self, Destination};
use almondcroft_core::{ServiceId, Timestamp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Idle time for which a connection is kept if the target states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the end of the idle time stated by the target at which a connection is discarded.
///
/// It allows for the network delay of a request.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Idle time up to which a connection is used for requests that must not run twice.
const RECENT_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 24;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Timestamp,
    keep_alive: Duration,
}

/// What a connection is to be used for, which decides which idle ones will do.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Purpose<'a> {
    /// A request whose response states this id; if it must not run twice, only a recently used connection is taken.
    Request { id: &'a str, run_once: bool },
    /// A call whose response states no id, so that it must be the first one on its connection.
    UnidentifiedCall,
}

impl Purpose<'_> {
    /// Returns whether the response is told from earlier ones on the connection that arrive once more.
    fn permits(self, connection: &Connection) -> bool {
        match self {
            Self::Request { id, .. } => !connection.has_refused(id),
            Self::UnidentifiedCall => !connection.is_used(),
        }
    }

    const fn runs_once(self) -> bool {
        matches!(self, Self::Request { run_once: true, .. })
    }
}

/// Holds the idle connections by the address of their target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an open idle connection that will do for a purpose.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        purpose: Purpose<'_>,
        now: Timestamp,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        // The last one was used most recently, so the target is least likely to be closing it.
        for index in (0..connections.len()).rev() {
            let age = now.saturating_sub(connections[index].idle_since);
            if purpose.runs_once() && age >= RECENT_IDLE_TIME {
                return None;
            }
            if !purpose.permits(&connections[index].connection) {
                continue;
            }
            let entry = connections.remove(index);
            if age < entry.keep_alive && entry.connection.is_idle() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns whether there is an idle connection that was used recently and will do for a purpose.
    fn has_recent(&self, address: SocketAddr, purpose: Purpose<'_>, now: Timestamp) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |entry: &IdleConnection| {
            now.saturating_sub(entry.idle_since) < RECENT_IDLE_TIME
                && purpose.permits(&entry.connection)
        };
        idle.get(&address)
            .is_some_and(|connections| connections.iter().any(is_recent))
    }

    /// Adds a connection that is new or whose last response was read completely.
    fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: usize,
        now: Timestamp,
    ) {
        let keep_alive = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| {
            time.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        let is_reusable = !connection.is_tunnel() && connection.can_record_refusal();
        if keep_alive.is_zero() || !is_reusable || !connection.is_idle() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < max_idle.min(MAX_IDLE_CONNECTIONS) {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                keep_alive,
            });
        }
    }

    /// Closes all idle connections to a target that is gone.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Closes connections whose idle time is over.
    pub(crate) fn close_expired(&self, now: Timestamp) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|entry| now.saturating_sub(entry.idle_since) < entry.keep_alive);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Takes an idle connection to a target or opens one; also returns whether nothing was sent on it yet.
pub(crate) async fn connect(
    gateway: &Gateway,
    destination: Destination<'_>,
    purpose: Purpose<'_>,
    timeout: Duration,
) -> Result<(Connection, bool), ConnectionError> {
    let now = clock::now();
    if lock(&gateway.target_paths).trusts_idle(destination.target, now)
        && let Some(connection) = gateway.pool.take(destination.address, purpose, now)
    {
        let is_new = !connection.is_used();
        return Ok((connection, is_new));
    }
    let connection = target_connect::connect(gateway, destination, timeout).await?;
    Ok((connection, true))
}

/// Returns a used connection to the pool, within this VM's share of the target's connections.
pub(crate) fn release(
    gateway: &Gateway,
    address: SocketAddr,
    service: &ServiceId,
    connection: Connection,
    keep_alive: Option<Duration>,
) {
    let (max_idle, now) = (gateway.idle_share(service), clock::now());
    let connection = connection.into_used();
    gateway
        .pool
        .put(address, connection, keep_alive, max_idle, now);
}

/// Opens a connection that will be needed soon, unless there is one that will do.
///
/// It saves two round trips to another region while a generation is stalled.
pub(crate) fn preconnect(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
    service: &ServiceId,
    purpose: Purpose<'_>,
) {
    if gateway.pool.has_recent(address, purpose, clock::now()) {
        return;
    }
    let (gateway, service) = (Arc::clone(gateway), service.clone());
    spawn(async move {
        // After a failure, the request that needs a connection opens one and reports its error.
        if let Ok(connection) = Connection::connect_to_target(address, CONNECT_TIMEOUT).await {
            let (max_idle, now) = (gateway.idle_share(&service), clock::now());
            gateway.pool.put(address, connection, None, max_idle, now);
        }
    });
}
