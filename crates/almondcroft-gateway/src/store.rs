//! Calls to the platform's store over one persistent connection.

use crate::adapter::ControlCall;
use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::exchange::round_trip;
use crate::runtime::within;
use crate::state::Gateway;
use almondcroft_core::gateway::StoreFailure;
use almondcroft_core::{Era, Timestamp};
use almondcroft_proto::http1::FrameError;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call that does not wait for changes.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time up to which a connection is used again; one that has gone silent unnoticed would cost the next call.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);

/// Maximum size of a response body, in bytes: a page of values of up to a megabyte, with room for
/// their framing.
const MAX_RESPONSE_BODY: usize = 4 * 1024 * 1024;

/// Reports why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// The store cannot be reached, or its response was lost.
    Unreachable(&'static str),
    /// No response came in time on a connection that had been open, or on which the call had waited.
    SilentConnection,
    /// The response is too large to be read.
    TooLarge,
    /// The store responded with this error status.
    Status(u16),
    /// The response cannot be read.
    Unreadable(String),
    /// The response is from before a restoration of the store.
    Outdated,
    /// The store was restored since the position that the call refers to.
    Restored,
}

impl StoreError {
    /// Returns what the error shows of the store.
    pub(crate) fn failure(&self) -> StoreFailure {
        match self {
            Self::Unreachable("timeout") => StoreFailure::Silent,
            Self::SilentConnection => StoreFailure::SilentConnection,
            _ => StoreFailure::Prompt,
        }
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(kind) => f.write_str(kind),
            Self::SilentConnection => f.write_str("silent-connection"),
            Self::TooLarge => f.write_str("too-large"),
            Self::Status(status) => write!(f, "status-{status}"),
            Self::Unreadable(reason) => f.write_str(reason),
            Self::Outdated => f.write_str("outdated-era"),
            Self::Restored => f.write_str("restored"),
        }
    }
}

/// A successful response of the store.
#[derive(Debug)]
pub(crate) struct StoreResponse {
    pub(crate) body: Vec<u8>,
    /// Era of the store in which it responded.
    pub(crate) era: Era,
    /// Time at which the response was made, or earlier.
    pub(crate) made_at: Timestamp,
}

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
struct Patience {
    /// Time for which the store may wait for changes.
    wait: Duration,
    /// Time beyond it.
    timeout: Duration,
}

/// Client of the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    /// An open connection, and since when it is idle.
    idle: Option<(Connection, Timestamp)>,
}

impl StoreClient {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
        }
    }

    /// Closes the connection, whose next response may belong to another call.
    pub(crate) fn disconnect(&mut self) {
        self.idle = None;
    }

    /// Sends a request and returns a successful response.
    ///
    /// The era that the response states is recorded, whatever its status.
    pub(crate) async fn call(
        &mut self,
        gateway: &Gateway,
        call: &ControlCall,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let wait = Duration::ZERO;
        self.send(gateway, call, Patience { wait, timeout }).await
    }

    /// Sends a request for which the store waits until there are changes, for a time at most, and returns a successful
    /// response.
    pub(crate) async fn watch(
        &mut self,
        gateway: &Gateway,
        call: &ControlCall,
        wait: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let timeout = gateway.bounds().store_timing().overdue();
        self.send(gateway, call, Patience { wait, timeout }).await
    }

    async fn send(
        &mut self,
        gateway: &Gateway,
        call: &ControlCall,
        patience: Patience,
    ) -> Result<StoreResponse, StoreError> {
        let idle = self.take_idle(clock::now());
        let had_opened = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::Unreachable(error.kind()))?,
        };
        let sent_at = clock::now();
        let response = within(
            patience.wait + patience.timeout,
            round_trip(&mut connection, self.address, call, MAX_RESPONSE_BODY),
        )
        .await;
        let silence = if had_opened || !patience.wait.is_zero() {
            StoreError::SilentConnection
        } else {
            StoreError::Unreachable("timeout")
        };
        let (head, body) = response.ok_or(silence)?.map_err(|error| match error {
            ConnectionError::Frame {
                source: FrameError::TooLarge,
            } => StoreError::TooLarge,
            error => StoreError::Unreachable(error.kind()),
        })?;
        let now = clock::now();
        if head.keeps_alive() {
            self.idle = Some((connection, now));
        }
        // A response that comes before the end of the wait was made when there was a change.
        let made_at = sent_at + now.saturating_sub(sent_at).min(patience.wait);
        let stated = gateway.registry.read_era(&head).unwrap_or_else(|text| {
            log::warn!(event = "store-era-unreadable", text = text.as_str(); "");
            None
        });
        let era = gateway
            .observe_store_era(stated)
            .ok_or(StoreError::Outdated)?;
        match head.status {
            200..300 => Ok(StoreResponse { body, era, made_at }),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Takes the open connection, if it was used a short time ago.
    fn take_idle(&mut self, now: Timestamp) -> Option<Connection> {
        let (connection, idle_since) = self.idle.take()?;
        let is_recent = now.saturating_sub(idle_since) < MAX_IDLE_TIME;
        (is_recent && connection.is_idle()).then_some(connection)
    }
}
