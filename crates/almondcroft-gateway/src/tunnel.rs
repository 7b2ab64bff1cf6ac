//! Tunnels: connections to targets through another VM.
//!
//! A VM that does not reach a target asks a peer to connect to it and to copy bytes in both directions.
//! All decisions on the request stay with the VM that received it. The peer connects directly only, so
//! there is one hop at most, and it keeps its own promises to the target: it opens no tunnel to one that
//! is leaving or that asked it for no requests, and it observes the head of each response.

mod relay;
mod server;

pub(crate) use server::serve;

use crate::connection::{Connection, ConnectionError};
use crate::exchange::encode_head;
use crate::runtime::within;
use almondcroft_core::{TargetId, VmId};
use almondcroft_proto::http1::Headers;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Path at which a VM takes requests for tunnels.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";

/// Timeout for connecting to the peer; longer than a round trip between regions.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of the head of a peer's response, in bytes.
const MAX_RESPONSE_HEAD: usize = 1024;

/// Asks a VM for a tunnel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelRequest {
    /// The VM that asks.
    pub(crate) vm: VmId,
    /// The target.
    pub(crate) target: TargetId,
    /// The caller's id of the request, for logs.
    pub(crate) request: SmolStr,
    /// Time after which the tunnel is of no use, in milliseconds.
    pub(crate) timeout_ms: u64,
}

/// Opens a tunnel through the VM at an address.
///
/// # Errors
///
/// Returns [`ConnectionError`] if the VM is not reached, does not reach the target or refuses.
pub(crate) async fn open(
    peer: SocketAddr,
    request: &TunnelRequest,
    timeout: Duration,
) -> Result<Connection, ConnectionError> {
    let opened = async {
        let mut connection = Connection::connect_to_target(peer, PEER_CONNECT_TIMEOUT).await?;
        let body = serde_json::to_vec(request).map_err(std::io::Error::from)?;
        let mut headers = Headers::default();
        headers.push("host", peer.to_string().as_bytes());
        let mut bytes = encode_head("POST", TUNNEL_PATH, &headers, body.len());
        bytes.extend_from_slice(&body);
        connection.sender().send(&bytes).await?;
        let head = connection.read_response(MAX_RESPONSE_HEAD).await?;
        if head.status == 200 {
            Ok(connection.into_tunnel())
        } else {
            Err(ConnectionError::Closed)
        }
    };
    within(timeout, opened)
        .await
        .unwrap_or(Err(ConnectionError::Timeout))
}
