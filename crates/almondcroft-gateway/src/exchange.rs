//! One request to one target and the head of its response.

use crate::adapter::{ControlCall, ResponseMeta, SendMeta};
use crate::call::Call;
use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::pool::{self, Purpose};
use crate::runtime::within;
use crate::state::{ExtraPermit, Gateway, lock};
use crate::target_connect::Destination;
use almondcroft_core::{ServiceId, Verdict};
use almondcroft_proto::http1::{BodyDecoder, BodyKind, Headers, ResponseHead};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Timeout for opening a connection; allows for several round trips between regions.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;

/// Maximum size of a skipped response body, in bytes.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// Maximum number of responses that are read to find the one to a request; others are skipped.
const MAX_RESPONSES: usize = 3;

/// The reason why a target gave no response, and whether it may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendError {
    pub(crate) kind: &'static str,
    pub(crate) verdict: Verdict,
    /// Whether the connection led through another VM, which may have caused the failure.
    pub(crate) is_tunneled: bool,
}

impl SendError {
    const fn not_run(kind: &'static str) -> Self {
        Self {
            kind,
            verdict: Verdict::NotRun,
            is_tunneled: false,
        }
    }

    const fn may_have_run(kind: &'static str) -> Self {
        Self {
            kind,
            verdict: Verdict::MayHaveRun,
            is_tunneled: false,
        }
    }
}

/// A request to a target and its response, whose body is read with [`Exchange::read`].
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: ResponseHead,
    pub(crate) meta: ResponseMeta,
    pub(crate) decoder: BodyDecoder,
    address: SocketAddr,
    service: ServiceId,
    /// `None` once it was closed.
    connection: Option<Connection>,
    is_tunneled: bool,
    fully_sent: bool,
}

impl Exchange {
    /// Sends a request and reads the head of its response.
    ///
    /// `permit` is needed if the request was sent before.
    pub(crate) async fn open(
        gateway: &Gateway,
        call: &Call,
        address: SocketAddr,
        send: &SendMeta,
        timeout: Duration,
        permit: Option<ExtraPermit>,
    ) -> Result<Self, SendError> {
        let purpose = Purpose::Request {
            id: call.external_id(),
            run_once: !call.may_repeat(),
        };
        let regions = gateway.allowed_regions(call);
        let destination = Destination {
            regions: &regions,
            target: &send.target,
            address,
            request: call.external_id(),
            time_left: send.time_left,
        };
        let (mut connection, is_new) = pool::connect(gateway, destination, purpose, timeout)
            .await
            .map_err(|_| SendError::not_run("connect"))?;
        if permit.is_some_and(|permit| !permit.settle(clock::now())) {
            return Err(SendError::not_run("no-budget"));
        }
        let send = &SendMeta {
            time_left: call.time_left(clock::now()),
            ..send.clone()
        };
        let mut bytes = encode_head(
            &call.head.method,
            &call.head.uri,
            &gateway.dialect.write_call(&call.head, send),
            call.body.len(),
        );
        bytes.extend_from_slice(&call.body);
        let fully_sent = AtomicBool::new(false);
        let sender = connection.sender();
        let write = async {
            let done = sender.send(&bytes).await.is_ok();
            fully_sent.store(done, Ordering::Relaxed);
            // The read reports a failed write too, after any response that already arrived.
            pending().await
        };
        let read = Self::read_head(gateway, call, &mut connection, is_new);
        let read = within(timeout, futures_lite::future::or(read, write));
        let Some(response) = read.await else {
            lock(&gateway.target_paths).record_silence(&send.target, clock::now());
            return Err(SendError {
                is_tunneled: connection.is_tunnel(),
                ..SendError::may_have_run("target-timeout")
            });
        };
        let is_tunneled = connection.is_tunnel();
        let (head, meta, decoder) = response.map_err(|error| SendError {
            is_tunneled,
            ..error
        })?;
        gateway.observe_response(&send.target, &head, &meta);
        Ok(Self {
            head,
            meta,
            decoder,
            address,
            service: call.service.clone(),
            connection: Some(connection),
            is_tunneled,
            fully_sent: fully_sent.into_inner(),
        })
    }

    /// Reads the head of the response to this request; responses to others are skipped.
    async fn read_head(
        gateway: &Gateway,
        call: &Call,
        connection: &mut Connection,
        is_new: bool,
    ) -> Result<(ResponseHead, ResponseMeta, BodyDecoder), SendError> {
        for skipped in 0..MAX_RESPONSES {
            let head = connection
                .read_response(MAX_RESPONSE_HEAD)
                .await
                .map_err(|error| read_error(&error))?;
            let meta = gateway.dialect.read_response(&head);
            let kind = head
                .body_kind(&call.head.method)
                .map_err(|_| SendError::may_have_run("garbled"))?;
            let mut decoder = BodyDecoder::new(kind);
            let is_own = match &meta.id {
                Some(id) => Some(id) == call.meta.id.as_ref(),
                // Only the first response on a connection cannot be a late one to another request.
                None => is_new && skipped == 0 && !is_success(&head),
            };
            if is_own {
                return Ok((head, meta, decoder));
            }
            if meta.id.is_none() || kind == BodyKind::CloseDelimited {
                return Err(SendError::may_have_run("unidentified"));
            }
            skip_body(connection, &mut decoder).await?;
        }
        Err(SendError::may_have_run("crossed"))
    }

    /// Returns whether the connection leads through another VM.
    pub(crate) const fn is_tunneled(&self) -> bool {
        self.is_tunneled
    }

    /// Reads the next part of the body; returns `false` once the body is complete.
    pub(crate) async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, ConnectionError> {
        let connection = self.connection.as_mut().ok_or(ConnectionError::Closed)?;
        connection.read_body(&mut self.decoder, out).await
    }

    /// Returns whether the end of a response without a length came when no time was left, so that its target may have
    /// stopped it at the deadline.
    pub(crate) fn is_past_end(&self, time_left: Duration) -> bool {
        self.decoder.is_close_delimited() && time_left.is_zero()
    }

    /// Closes the connection, which cancels the run at most targets; only the head of the response remains.
    pub(crate) fn close(&mut self) {
        self.connection = None;
    }

    /// Takes the connection out, so that nothing is read until it is put back.
    pub(crate) const fn detach(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Puts the connection back; without one, the response counts as broken off.
    pub(crate) fn attach(&mut self, connection: Option<Connection>) {
        self.connection = connection;
    }

    /// Returns whether the target states that it did not run the request.
    pub(crate) fn is_refusal(&self) -> bool {
        self.meta.not_run || self.head.status == 421
    }

    /// Returns the connection to the pool if the exchange is complete and the target keeps it open.
    pub(crate) fn finish(mut self, gateway: &Gateway) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if let Some(id) = self.meta.id.as_deref().filter(|_| self.is_refusal()) {
            connection.record_refusal(id);
        }
        if self.fully_sent && self.decoder.is_done() && self.head.keeps_alive() {
            pool::release(
                gateway,
                self.address,
                &self.service,
                connection,
                self.meta.keep_alive,
            );
        }
    }
}

fn is_success(head: &ResponseHead) -> bool {
    (200..300).contains(&head.status)
}

fn read_error(error: &ConnectionError) -> SendError {
    SendError::may_have_run(error.kind())
}

async fn skip_body(
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
) -> Result<(), SendError> {
    let (mut part, mut skipped) = (Vec::new(), 0);
    while connection
        .read_body(decoder, &mut part)
        .await
        .map_err(|error| read_error(&error))?
    {
        skipped += part.len();
        part.clear();
        if skipped > MAX_SKIPPED_BYTES {
            return Err(SendError::may_have_run("crossed"));
        }
    }
    Ok(())
}

/// Encodes the head of a request.
pub(crate) fn encode_head(method: &str, uri: &str, headers: &Headers, body_len: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + body_len);
    bytes.extend_from_slice(method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(uri.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    headers.write(&mut bytes);
    if body_len > 0 || !matches!(method, "GET" | "HEAD" | "DELETE") {
        bytes.extend_from_slice(format!("content-length: {body_len}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Sends a small request of the gateway's own and reads the whole response.
pub(crate) async fn round_trip(
    connection: &mut Connection,
    address: SocketAddr,
    call: &ControlCall,
    max_body: usize,
) -> Result<(ResponseHead, Vec<u8>), ConnectionError> {
    send_control_call(connection, address, call).await?;
    read_control_response(connection, call, max_body).await
}

/// Sends a small request to a target on a connection that requests of callers may have used, and reads the whole
/// response.
///
/// A response that names a request is a late second one to that request, and is skipped.
pub(crate) async fn target_round_trip(
    gateway: &Gateway,
    connection: &mut Connection,
    address: SocketAddr,
    call: &ControlCall,
    max_body: usize,
) -> Result<(ResponseHead, Vec<u8>), ConnectionError> {
    send_control_call(connection, address, call).await?;
    for _ in 0..MAX_RESPONSES {
        let (head, body) = read_control_response(connection, call, max_body).await?;
        if gateway.dialect.read_response(&head).id.is_none() {
            return Ok((head, body));
        }
    }
    Err(ConnectionError::Closed)
}

async fn send_control_call(
    connection: &Connection,
    address: SocketAddr,
    call: &ControlCall,
) -> Result<(), ConnectionError> {
    let mut headers = Headers::default();
    headers.push("host", address.to_string().as_bytes());
    if !call.body.is_empty() {
        headers.push("content-type", b"application/json");
    }
    let mut bytes = encode_head(call.method, &call.path, &headers, call.body.len());
    bytes.extend_from_slice(&call.body);
    connection.sender().send(&bytes).await?;
    Ok(())
}

async fn read_control_response(
    connection: &mut Connection,
    call: &ControlCall,
    max_body: usize,
) -> Result<(ResponseHead, Vec<u8>), ConnectionError> {
    let head = connection.read_response(MAX_RESPONSE_HEAD).await?;
    let mut decoder = BodyDecoder::new(head.body_kind(call.method)?);
    let mut body = Vec::new();
    while connection.read_body(&mut decoder, &mut body).await? {
        if body.len() > max_body {
            return Err(ConnectionError::Frame {
                source: almondcroft_proto::http1::FrameError::TooLarge,
            });
        }
    }
    Ok((head, body))
}
