//! Calls to other entry VMs.

use crate::http::Outbound;
use almondcroft_proto::peer::compute_auth_code;
use almondcroft_proto::peer::{AUTH_HEADER, RPC_PATH};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;
use snafu::Snafu;
use std::time::Duration;
use trillium::Method;

/// Largest response of a peer, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Reasons why a call to a peer failed.
#[derive(Debug, Snafu)]
pub(crate) enum PeerError {
    /// The connection was refused.
    #[snafu(display("the peer refused the connection"))]
    Refused,
    /// No response arrived.
    #[snafu(display("the peer did not respond"))]
    NoResponse,
    /// The response is an error or malformed.
    #[snafu(display("the peer responded with an error or a malformed response"))]
    InvalidResponse,
}

/// The id of a JSON-RPC response.
#[derive(Debug, Deserialize)]
struct ResponseId {
    id: u32,
}

/// Calls methods of other VMs by JSON-RPC.
#[derive(Debug)]
pub(crate) struct PeerClient {
    outbound: Outbound,
    secret: SmolStr,
}

impl PeerClient {
    pub(crate) fn new(outbound: Outbound, secret: &SmolStr) -> Self {
        Self {
            outbound,
            secret: secret.clone(),
        }
    }

    /// Calls a method; it may have run if no response arrived.
    pub(crate) async fn call<A: DeserializeOwned>(
        &self,
        address: &str,
        method: &str,
        params: &impl Serialize,
        limit: Duration,
    ) -> Result<A, PeerError> {
        let id: u32 = rand::random();
        let message = json!({"jsonrpc": "2.0", "id": id, "method": method, "params": [params]});
        let body = message.to_string().into_bytes();
        let auth = compute_auth_code(&self.secret, &body);
        let url = format!("{}{RPC_PATH}", address.trim_end_matches('/'));
        let headers = [
            (AUTH_HEADER, auth.as_str()),
            ("content-type", "application/json"),
        ];
        let call = self
            .outbound
            .call(Method::Post, &url, &headers, body, limit);
        let conn = call.await.map_err(|error| match error.kind {
            crate::http::CallErrorKind::Refused => PeerError::Refused,
            _ => PeerError::NoResponse,
        })?;
        // A late second response to an earlier call on the connection has another id.
        let is_own = |bytes: &[u8]| {
            serde_json::from_slice(bytes).is_ok_and(|response: ResponseId| response.id == id)
        };
        let bytes = Outbound::read_own_body(conn, MAX_RESPONSE_BYTES, limit, is_own)
            .await
            .map_err(|_| PeerError::NoResponse)?;
        let mut response: Value =
            serde_json::from_slice(&bytes).map_err(|_| PeerError::InvalidResponse)?;
        let result = response
            .get_mut("result")
            .ok_or(PeerError::InvalidResponse)?
            .take();
        serde_json::from_value(result).map_err(|_| PeerError::InvalidResponse)
    }
}

#[cfg(test)]
mod tests;
