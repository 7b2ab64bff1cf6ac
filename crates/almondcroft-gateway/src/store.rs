//! Calls to the platform's store over one kept connection.

use crate::adapter::PlainCall;
use crate::connection::Connection;
use crate::exchange::round_trip;
use crate::runtime::within;
use std::net::SocketAddr;
use std::time::Duration;

/// Time to open a connection to the store.
const CONNECT_TIME: Duration = Duration::from_millis(800);

/// Time for a call that does not wait for changes.
pub(crate) const CALL_TIME: Duration = Duration::from_millis(1_500);

/// Longest answer of the store, in bytes: a page of values of a megabyte, with room for their frame.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Tells why the store gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// It cannot be reached, or its answer was lost.
    Unreachable(&'static str),
    /// It answered with this status.
    Status(u16),
    /// Its answer cannot be read.
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

/// Talks to the store.
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

    /// Makes a call and returns the body of a successful answer.
    pub(crate) async fn call(
        &mut self,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<Vec<u8>, StoreError> {
        let kept = self.link.take().filter(Connection::is_idle);
        let mut link = match kept {
            Some(link) => link,
            None => Connection::connect(self.address, CONNECT_TIME)
                .await
                .map_err(|error| StoreError::Unreachable(error.kind()))?,
        };
        let answer = within(limit, round_trip(&mut link, self.address, call, MAX_ANSWER)).await;
        let (head, body) = answer
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
