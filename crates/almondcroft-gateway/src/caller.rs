//! One caller's connection: reads requests and writes responses.

use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::dispatch;
use crate::lifecycle::{Guard, Lifecycle};
use crate::reply::{Reply, reason_phrase};
use crate::runtime::within;
use crate::state::Gateway;
use crate::write_queue::WriteQueue;
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

/// Bytes that the framing of a chunk takes at most.
const CHUNK_FRAMING: usize = 24;

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

/// How much of a response was sent or queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Part,
    All,
}

/// Writes one response to a caller.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    queue: Arc<WriteQueue>,
    minor: u8,
    head_only: bool,
    close: bool,
    /// The connection ends with a response that is sent during a shutdown.
    lifecycle: Option<Arc<Lifecycle>>,
    progress: Progress,
    framing: Framing,
}

impl ResponseWriter {
    pub(crate) fn new(queue: &Arc<WriteQueue>, head: Option<&RequestHead>, close: bool) -> Self {
        Self {
            queue: Arc::clone(queue),
            minor: head.map_or(1, |head| head.minor),
            head_only: head.is_some_and(|head| head.method == "HEAD"),
            close,
            lifecycle: None,
            progress: Progress::Nothing,
            framing: Framing::Length(0),
        }
    }

    /// Ends the connection with the response if the process is draining by then.
    fn closing_on_drain(mut self, lifecycle: &Arc<Lifecycle>) -> Self {
        self.lifecycle = Some(Arc::clone(lifecycle));
        self
    }

    /// Returns whether a part of the response was sent or queued.
    pub(crate) fn has_started(&self) -> bool {
        self.progress != Progress::Nothing
    }

    /// Sets the time until which the caller may pause as long as it likes.
    pub(crate) fn set_deadline(&self, deadline: Timestamp) {
        self.queue.set_deadline(deadline);
    }

    /// Returns whether the whole response was sent or queued.
    pub(crate) fn is_complete(&self) -> bool {
        self.progress == Progress::All
    }

    /// Ends the connection with this response, which says so unless it has started.
    pub(crate) const fn close_after_response(&mut self) {
        self.close = true;
    }

    /// Sends a complete response; returns once the operating system has accepted it.
    pub(crate) async fn send_response(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = self.encode_head(head, Framing::Length(body.len()));
        bytes.reserve_exact(body.len());
        if !self.head_only {
            bytes.extend_from_slice(body);
        }
        self.progress = Progress::All;
        self.queue.push(bytes).await?;
        self.flush().await
    }

    /// Starts a response of unknown length.
    pub(crate) async fn start_response(
        &mut self,
        head: &ResponseHead,
        first_part: Vec<u8>,
    ) -> io::Result<()> {
        let framing = if self.minor == 0 {
            self.close = true;
            Framing::CloseDelimited
        } else {
            Framing::Chunked
        };
        let mut bytes = self.encode_head(head, framing);
        bytes.reserve_exact(first_part.len() + CHUNK_FRAMING);
        self.write_framed(&first_part, &mut bytes);
        drop(first_part);
        self.queue.push(bytes).await
    }

    /// Sends a part of the body of a started response.
    pub(crate) async fn send_part(&mut self, part: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(part.len() + CHUNK_FRAMING);
        self.write_framed(part, &mut bytes);
        self.queue.push(bytes).await
    }

    /// Ends a started response that is complete; [`ResponseWriter::flush`] waits until it is sent.
    pub(crate) async fn finish_response(&mut self) -> io::Result<()> {
        self.progress = Progress::All;
        match self.framing {
            Framing::Chunked => self.queue.push(b"0\r\n\r\n".to_vec()).await,
            Framing::CloseDelimited | Framing::Length(_) => Ok(()),
        }
    }

    /// Waits until the operating system has accepted what was sent or queued.
    pub(crate) async fn flush(&self) -> io::Result<()> {
        self.queue.flush().await
    }

    /// Hands a complete response to the operating system, which sends it also after the end of the process.
    pub(crate) async fn hand_over(&self) -> io::Result<()> {
        self.queue.hand_over().await
    }

    /// Breaks off a started response, so that the caller notices.
    ///
    /// A length or chunks show by themselves that something is missing.
    fn abort(&self) {
        if self.has_started() && self.framing == Framing::CloseDelimited {
            self.queue.sender().reset_on_close();
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
        self.progress = Progress::Part;
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
    connection.bound_send_buffer();
    let queue = Arc::new(gateway.open_write_queue(connection.sender()));
    loop {
        let limits = gateway.config().map(|config| config.limits);
        let limits = limits.unwrap_or_default();
        let received = match receive_request(&gateway, &mut connection, &queue, &limits).await {
            Ok(received) => received,
            Err(ReceiveError::Idle) => return queue.close().await,
            Err(ReceiveError::Rejected(reply)) => {
                log::info!(event = "bad-request", status = reply.status, reason = reply.kind; "");
                let mut writer = ResponseWriter::new(&queue, None, true);
                let sent = queue.drive(writer.send_reply(&gateway, &reply, None)).await;
                if matches!(sent, Some(Ok(()))) {
                    linger(&mut connection).await;
                }
                return queue.close().await;
            }
        };
        let close = !received.head.keeps_alive();
        let mut writer = ResponseWriter::new(&queue, Some(&received.head), close)
            .closing_on_drain(&gateway.lifecycle);
        // On the heap, as a connection would hold several copies of the large future also while it is idle.
        let handled = Box::pin(dispatch::handle(&gateway, received, &mut writer));
        let handled = queue.drive(handled);
        let disconnected = async {
            wait_for_disconnect(&mut connection).await;
            None
        };
        let reusable = futures_lite::future::or(handled, disconnected).await;
        if reusable != Some(true) {
            return writer.abort();
        }
        if writer.close {
            return queue.close().await;
        }
    }
}

/// Reads one whole request.
async fn receive_request(
    gateway: &Gateway,
    connection: &mut Connection,
    queue: &WriteQueue,
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
        let sent = queue.drive(queue.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()));
        if !matches!(sent.await, Some(Ok(()))) {
            return Err(ReceiveError::Idle);
        }
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
    let queue = Arc::new(WriteQueue::uncounted(connection.sender()));
    let mut writer = ResponseWriter::new(&queue, Some(head), !head.keeps_alive());
    let head = response_head(status, media_type);
    let sent = queue.drive(writer.send_response(&head, &body)).await;
    matches!(sent, Some(Ok(()))) && !writer.close
}
