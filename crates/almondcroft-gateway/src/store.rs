//! Calls to the platform's store over one persistent connection.

use crate::adapter::ControlCall;
use crate::connection::Connection;
use crate::exchange::round_trip;
use crate::runtime::within;
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
    /// The store responded with this error status.
    Status(u16),
    /// The response cannot be read.
    Unreadable(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(kind) => f.write_str(kind),
            Self::Status(status) => write!(f, "status-{status}"),
            Self::Unreadable(reason) => f.write_str(reason),
        }
    }
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

    /// Sends a request and returns the body of a successful response.
    pub(crate) async fn call(
        &mut self,
        call: &ControlCall,
        timeout: Duration,
    ) -> Result<Vec<u8>, StoreError> {
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
            .map_err(|error| StoreError::Unreachable(error.kind()))?;
        if head.keeps_alive() {
            self.connection = Some(connection);
        }
        match head.status {
            200..300 => Ok(body),
            status => Err(StoreError::Status(status)),
        }
    }
}
