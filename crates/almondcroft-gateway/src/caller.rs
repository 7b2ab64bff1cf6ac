//! One caller's connection: reads requests and writes responses.

use crate::clock;
use crate::connection::{Connection, ConnectionError, Sender};
use crate::dispatch;
use crate::lifecycle::{Guard, Lifecycle};
use crate::reply::{Reply, reason_phrase};
use crate::runtime::within;
use crate::state::Gateway;
use almondcroft_core::Timestamp;
use almondcroft_core::gateway::CallerLimits;
use almondcroft_proto::http1::{
    BodyDecoder, BodyKind, FrameError, Headers, RequestHead, ResponseHead, write_chunk,
};
use smol_str::SmolStr;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of later requests that are read ahead while one is handled, in bytes.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Slowest rate at which a request body may arrive, in bytes a second; far below that of any link in use.
const MIN_BODY_RATE: u32 = 512;

/// Time for which a connection is read before it is closed early, so that the reply is not lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a caller may retry a request whose body did not fit into memory.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Time for a caller to accept a part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// One of the gateway's own pages: its status, media type and body.
pub(crate) type Page = (u16, &'static str, Vec<u8>);

/// A request as it was received.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) received_at: Timestamp,
    /// Counts the body against the memory budget while the request is handled.
    pub(crate) body_guard: Guard,
}

/// How the body of a response is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By its length.
    Length(usize),
    /// In chunks.
    Chunked,
    /// By the end of the connection, for HTTP/1.0.
    CloseDelimited,
}

/// Writes one response to a caller.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    sender: Sender,
    minor: u8,
    head_only: bool,
    close: bool,
    /// The connection ends with a response that is sent during a shutdown.
    lifecycle: Option<Arc<Lifecycle>>,
    started: bool,
    framing: Framing,
}

impl ResponseWriter {
    pub(crate) fn new(sender: Sender, head: Option<&RequestHead>, close: bool) -> Self {
        Self {
            sender,
            minor: head.map_or(1, |head| head.minor),
            head_only: head.is_some_and(|head| head.method == "HEAD"),
            close,
            lifecycle: None,
            started: false,
            framing: Framing::Length(0),
        }
    }

    /// Ends the connection with the response if the process is draining by then.
    fn closing_on_drain(mut self, lifecycle: &Arc<Lifecycle>) -> Self {
        self.lifecycle = Some(Arc::clone(lifecycle));
        self
    }

    /// Returns whether a part of the response was sent.
    pub(crate) const fn has_started(&self) -> bool {
        self.started
    }

    /// Ends the connection with this response, which says so unless it has started.
    pub(crate) const fn close_after_response(&mut self) {
        self.close = true;
    }

    /// Sends a complete response.
    pub(crate) async fn send_response(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = self.encode_head(head, Framing::Length(body.len()));
        if !self.head_only {
            bytes.extend_from_slice(body);
        }
        self.send(&bytes).await
    }

    /// Starts a response of unknown length.
    pub(crate) async fn start_response(
        &mut self,
        head: &ResponseHead,
        first_part: &[u8],
    ) -> io::Result<()> {
        let framing = if self.minor == 0 {
            self.close = true;
            Framing::CloseDelimited
        } else {
            Framing::Chunked
        };
        let mut bytes = self.encode_head(head, framing);
        self.write_framed(first_part, &mut bytes);
        self.send(&bytes).await
    }

    /// Sends a part of the body of a started response.
    pub(crate) async fn send_part(&mut self, part: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(part.len() + 16);
        self.write_framed(part, &mut bytes);
        self.send(&bytes).await
    }

    /// Ends a started response that is complete.
    pub(crate) async fn finish_response(&mut self) -> io::Result<()> {
        match self.framing {
            Framing::Chunked => self.send(b"0\r\n\r\n").await,
            Framing::CloseDelimited | Framing::Length(_) => Ok(()),
        }
    }

    /// Breaks off a started response, so that the caller notices.
    ///
    /// A length or chunks show by themselves that something is missing.
    fn abort(&self) {
        if self.started && self.framing == Framing::CloseDelimited {
            self.sender.reset_on_close();
        }
    }

    /// Sends a reply of the gateway's own.
    pub(crate) async fn send_reply(
        &mut self,
        gateway: &Gateway,
        reply: &Reply,
        id: Option<&SmolStr>,
    ) -> io::Result<()> {
        let (mut headers, body) = reply.to_parts(id);
        if let Some(id) = id {
            gateway.dialect.mark_response(&mut headers, id);
        }
        let head = ResponseHead {
            status: reply.status,
            reason: reason_phrase(reply.status).to_owned(),
            minor: 1,
            headers,
        };
        self.send_response(&head, &body).await
    }

    fn write_framed(&self, part: &[u8], out: &mut Vec<u8>) {
        match self.framing {
            Framing::Chunked => write_chunk(part, out),
            Framing::CloseDelimited | Framing::Length(_) => out.extend_from_slice(part),
        }
    }

    fn encode_head(&mut self, head: &ResponseHead, framing: Framing) -> Vec<u8> {
        self.started = true;
        self.framing = framing;
        self.close |= self.lifecycle.as_ref().is_some_and(|l| l.is_draining());
        let mut bytes = Vec::with_capacity(1024);
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
        head.headers.end_to_end().write(&mut bytes);
        match framing {
            Framing::Length(length) => {
                bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
            }
            Framing::Chunked => bytes.extend_from_slice(b"transfer-encoding: chunked\r\n"),
            Framing::CloseDelimited => {}
        }
        if self.close {
            bytes.extend_from_slice(b"connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let sent = within(WRITE_TIMEOUT, self.sender.send(bytes)).await;
        sent.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The reason why no request was read from a connection.
enum ReceiveError {
    /// The caller closed the connection, the connection failed, or it was idle for too long.
    Idle,
    /// The request is invalid or too large; the reply is sent and the connection is closed.
    Rejected(Reply),
}

impl From<ConnectionError> for ReceiveError {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Frame {
                source: FrameError::TooLarge,
            } => Self::Rejected(Reply::rejected(431, "head-too-large")),
            ConnectionError::Frame { .. } => Self::Rejected(Reply::rejected(400, "malformed")),
            ConnectionError::Closed | ConnectionError::Io { .. } | ConnectionError::Timeout => {
                Self::Idle
            }
        }
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve(gateway: Arc<Gateway>, mut connection: Connection) {
    let _guard = gateway.lifecycle.enter_connection();
    loop {
        let limits = gateway.config().map(|config| config.limits);
        let limits = limits.unwrap_or_default();
        let received = match receive_request(&gateway, &mut connection, &limits).await {
            Ok(received) => received,
            Err(ReceiveError::Idle) => return,
            Err(ReceiveError::Rejected(reply)) => {
                log::info!(event = "bad-request", status = reply.status, reason = reply.kind; "");
                let mut writer = ResponseWriter::new(connection.sender(), None, true);
                if writer.send_reply(&gateway, &reply, None).await.is_ok() {
                    linger(&mut connection).await;
                }
                return;
            }
        };
        let close = !received.head.keeps_alive();
        let mut writer = ResponseWriter::new(connection.sender(), Some(&received.head), close)
            .closing_on_drain(&gateway.lifecycle);
        let handled = async { Some(dispatch::handle(&gateway, received, &mut writer).await) };
        let disconnected = async {
            wait_for_disconnect(&mut connection).await;
            None
        };
        let reusable = futures_lite::future::or(handled, disconnected).await;
        if reusable != Some(true) {
            writer.abort();
        }
        if reusable != Some(true) || writer.close {
            return;
        }
    }
}

/// Reads one whole request.
async fn receive_request(
    gateway: &Gateway,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<ReceivedRequest, ReceiveError> {
    if connection.buffered().is_empty() {
        let first = within(limits.idle_timeout, connection.fill()).await;
        if !matches!(first, Some(Ok(1..))) {
            return Err(ReceiveError::Idle);
        }
    }
    let received_at = clock::now();
    let timeout = || ReceiveError::Rejected(Reply::rejected(408, "head-timeout"));
    let head = within(
        limits.header_timeout,
        connection.read_request(limits.header_bytes),
    )
    .await;
    let head = head.ok_or_else(timeout)??.ok_or(ReceiveError::Idle)?;
    let kind = head
        .body_kind()
        .map_err(|source| ReceiveError::from(ConnectionError::Frame { source }))?;
    let too_large = || ReceiveError::Rejected(Reply::rejected(413, "body-too-large"));
    let length = match kind {
        BodyKind::Length(length) => usize::try_from(length).map_err(|_| too_large())?,
        BodyKind::Chunked | BodyKind::CloseDelimited => 0,
    };
    if length > limits.body_bytes {
        return Err(too_large());
    }
    let budget = gateway.settings.body_budget();
    let out_of_memory = || ReceiveError::Rejected(Reply::refused("memory", MEMORY_RETRY));
    let mut body_guard = gateway.lifecycle.enter_body();
    if !body_guard.try_grow(length, budget) {
        return Err(out_of_memory());
    }
    if head.headers.has_token("expect", "100-continue") {
        let sent = connection
            .sender()
            .send(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await;
        sent.map_err(|source| ReceiveError::from(ConnectionError::Io { source }))?;
    }
    let mut decoder = BodyDecoder::new(kind);
    let mut body = Vec::with_capacity(length.min(64 * 1024));
    let body_started_at = clock::now();
    loop {
        let elapsed = clock::now().saturating_sub(body_started_at);
        let allowed = limits.header_timeout + transfer_time(body.len());
        // A caller that sends a byte now and then would hold its memory and its connection for ever.
        let time = allowed.saturating_sub(elapsed).min(limits.header_timeout);
        let more = within(time, connection.read_body(&mut decoder, &mut body)).await;
        let timeout = || ReceiveError::Rejected(Reply::rejected(408, "body-timeout"));
        if !more.ok_or_else(timeout)?? {
            break;
        }
        if body.len() > limits.body_bytes {
            return Err(too_large());
        }
        // A body in chunks states no length, so it is counted as it arrives.
        if !body_guard.try_grow(body.len(), budget) {
            return Err(out_of_memory());
        }
    }
    Ok(ReceivedRequest {
        head,
        body,
        received_at,
        body_guard,
    })
}

/// Returns the time that a slow caller may take for a number of bytes.
fn transfer_time(bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / MIN_BODY_RATE
}

/// Waits until the caller disconnects; what it sends meanwhile stays buffered.
async fn wait_for_disconnect(connection: &mut Connection) {
    while connection.buffered().len() < MAX_READ_AHEAD {
        if !matches!(connection.fill().await, Ok(1..)) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Reads and discards what still arrives.
///
/// Closing a connection with unread data resets it, and the caller could lose the reply.
async fn linger(connection: &mut Connection) {
    let drain = async {
        while let Ok(1..) = connection.fill().await {
            let count = connection.buffered().len();
            connection.consume(count);
        }
    };
    // A caller that keeps sending for longer has received its reply by now.
    let _ = within(LINGER_TIMEOUT, drain).await;
}

/// Returns the head of a response that the gateway makes itself.
fn response_head(status: u16, media_type: &str) -> ResponseHead {
    let mut headers = Headers::default();
    headers.push("content-type", media_type.as_bytes());
    ResponseHead {
        status,
        reason: reason_phrase(status).to_owned(),
        minor: 1,
        headers,
    }
}

/// Reads the next request for one of the gateway's own pages; `None` once the connection ends.
pub(crate) async fn read_page_request(connection: &mut Connection) -> Option<RequestHead> {
    let limits = CallerLimits::default();
    let head = connection.read_request(limits.header_bytes);
    within(limits.idle_timeout, head).await?.ok()?
}

/// Serves the gateway's own pages on a connection until it ends.
pub(crate) async fn serve_pages(mut connection: Connection, page: impl Fn(&str) -> Page) {
    while let Some(head) = read_page_request(&mut connection).await {
        if !send_page(&connection, &head, page(head.path())).await {
            return;
        }
    }
}

/// Sends one of the gateway's own pages; returns whether the connection stays open.
pub(crate) async fn send_page(
    connection: &Connection,
    head: &RequestHead,
    (status, media_type, body): Page,
) -> bool {
    let mut writer = ResponseWriter::new(connection.sender(), Some(head), !head.keeps_alive());
    let sent = writer
        .send_response(&response_head(status, media_type), &body)
        .await;
    sent.is_ok() && !writer.close
}
