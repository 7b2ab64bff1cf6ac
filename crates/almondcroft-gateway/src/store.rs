//! Calls to the platform's store over one persistent connection.

use crate::adapter::PlainCall;
use crate::connection::Connection;
use crate::exchange::round_trip;
use crate::runtime::within;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time for a call that does not wait for changes.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest response of the store, in bytes: a page of values of up to a megabyte, with room for
/// their framing.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

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
    link: Option<Connection>,
}

impl StoreClient {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            link: None,
        }
    }

    /// Sends a request and returns the body of a successful response.
    pub(crate) async fn call(
        &mut self,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<Vec<u8>, StoreError> {
        let idle = self.link.take().filter(Connection::is_idle);
        let mut link = match idle {
            Some(link) => link,
            None => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::Unreachable(error.kind()))?,
        };
        let response = within(
            limit,
            round_trip(&mut link, self.address, call, MAX_RESPONSE_BYTES),
        )
        .await;
        let (head, body) = response
            .ok_or(StoreError::Unreachable("timeout"))?
            .map_err(|error| StoreError::Unreachable(error.kind()))?;
        if head.keeps_alive() {
            self.link = Some(link);
        }
        match head.status {
            200..300 => Ok(body),
            status => Err(StoreError::Status(status)),
        }
    }
}
