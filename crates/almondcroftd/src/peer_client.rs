//! Calls to other entry VMs.

use crate::http::Outbound;
use almondcroft_proto::peer::compute_auth_code;
use almondcroft_proto::peer::{AUTH_HEADER, RPC_PATH};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use smol_str::SmolStr;
use snafu::Snafu;
use std::time::Duration;
use trillium::Method;

/// Largest answer of a peer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Tells why a peer did not answer.
#[derive(Debug, Snafu)]
pub(crate) enum PeerError {
    /// Nothing listens there.
    #[snafu(display("the peer refused the connection"))]
    Refused,
    /// No answer came.
    #[snafu(display("the peer did not answer"))]
    Silent,
    /// The answer makes no sense.
    #[snafu(display("the peer answered with an error"))]
    Faulty,
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

    /// Calls a method; it may have run where no answer came.
    pub(crate) async fn call<A: DeserializeOwned>(
        &self,
        address: &str,
        method: &str,
        params: &impl Serialize,
        limit: Duration,
    ) -> Result<A, PeerError> {
        let message = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": [params]});
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
        let mut conn = call.await.map_err(|error| match error.kind {
            crate::http::CallErrorKind::Refused => PeerError::Refused,
            _ => PeerError::Silent,
        })?;
        let bytes = Outbound::read_body(&mut conn, MAX_ANSWER_BYTES, limit)
            .await
            .map_err(|_| PeerError::Silent)?;
        conn.recycle().await;
        let mut answer: Value = serde_json::from_slice(&bytes).map_err(|_| PeerError::Faulty)?;
        let result = answer.get_mut("result").ok_or(PeerError::Faulty)?.take();
        serde_json::from_value(result).map_err(|_| PeerError::Faulty)
    }
}
