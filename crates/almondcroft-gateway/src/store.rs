//! Calls to the platform's store over one persistent connection.

use crate::adapter::ControlCall;
use crate::connection::{Connection, ConnectionError};
use crate::exchange::round_trip;
use crate::runtime::within;
use crate::state::Gateway;
use almondcroft_core::Era;
use almondcroft_core::gateway::StoreFailure;
use almondcroft_proto::http1::FrameError;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call that does not wait for changes.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of a response body, in bytes: a page of values of up to a megabyte, with room for
/// their framing.
const MAX_RESPONSE_BODY: usize = 4 * 1024 * 1024;

/// Reports why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// The store cannot be reached, or its response was lost.
    Unreachable(&'static str),
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
            _ => StoreFailure::Prompt,
        }
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(kind) => f.write_str(kind),
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
}

/// Client of the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Closes the connection, whose next response may belong to another call.
    pub(crate) fn disconnect(&mut self) {
        self.connection = None;
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
        let idle = self.connection.take().filter(Connection::is_idle);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::Unreachable(error.kind()))?,
        };
        let response = within(
            timeout,
            round_trip(&mut connection, self.address, call, MAX_RESPONSE_BODY),
        )
        .await;
        let (head, body) = response
            .ok_or(StoreError::Unreachable("timeout"))?
            .map_err(|error| match error {
                ConnectionError::Frame {
                    source: FrameError::TooLarge,
                } => StoreError::TooLarge,
                error => StoreError::Unreachable(error.kind()),
            })?;
        if head.keeps_alive() {
            self.connection = Some(connection);
        }
        let stated = gateway.registry.read_era(&head).unwrap_or_else(|text| {
            log::warn!(event = "store-era-unreadable", text = text.as_str(); "");
            None
        });
        let era = gateway
            .observe_store_era(stated)
            .ok_or(StoreError::Outdated)?;
        match head.status {
            200..300 => Ok(StoreResponse { body, era }),
            status => Err(StoreError::Status(status)),
        }
    }
}
