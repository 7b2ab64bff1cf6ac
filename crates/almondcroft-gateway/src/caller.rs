//! One caller's connection: requests in, answers out.

use crate::clock;
use crate::dispatch;
use crate::lifecycle::Guard;
use crate::link::{Link, LinkError, Sender};
use crate::reply::{Reply, reason};
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

/// Bytes of later requests that are read while one is answered.
const MAX_AHEAD: usize = 64 * 1024;

/// Time for which a connection that is closed early is read, so that its answer is not lost.
const LINGER: Duration = Duration::from_millis(500);

/// Time after which a caller whose body found no memory may come back.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Time for a caller to take a piece of an answer.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// Holds a request as it was received.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) arrived: Timestamp,
    /// Counts the body against the memory for bodies while the request is handled.
    pub(crate) held: Guard,
}

/// Tells how the body of an answer is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By its length.
    Length(usize),
    /// In chunks.
    Chunked,
    /// By the end of the connection, for HTTP/1.0.
    ToEnd,
}

/// Sends answers to one caller.
#[derive(Debug)]
pub(crate) struct Caller {
    sender: Sender,
    minor: u8,
    head_only: bool,
    close: bool,
    begun: bool,
    framing: Framing,
}

impl Caller {
    fn new(sender: Sender, head: Option<&RequestHead>, close: bool) -> Self {
        Self {
            sender,
            minor: head.map_or(1, |head| head.minor),
            head_only: head.is_some_and(|head| head.method == "HEAD"),
            close,
            begun: false,
            framing: Framing::Length(0),
        }
    }

    /// Returns whether a part of an answer was sent.
    pub(crate) const fn has_begun(&self) -> bool {
        self.begun
    }

    /// Sends a whole answer of a target.
    pub(crate) async fn answer(&mut self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_bytes(head, Framing::Length(body.len()));
        if !self.head_only {
            bytes.extend_from_slice(body);
        }
        self.send(&bytes).await
    }

    /// Begins an answer whose length is not known.
    pub(crate) async fn begin(&mut self, head: &ResponseHead, first: &[u8]) -> io::Result<()> {
        let framing = if self.minor == 0 {
            self.close = true;
            Framing::ToEnd
        } else {
            Framing::Chunked
        };
        let mut bytes = self.head_bytes(head, framing);
        self.frame(first, &mut bytes);
        self.send(&bytes).await
    }

    /// Sends a piece of an answer that was begun.
    pub(crate) async fn piece(&mut self, piece: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(piece.len() + 16);
        self.frame(piece, &mut bytes);
        self.send(&bytes).await
    }

    /// Ends an answer that was begun and is whole.
    pub(crate) async fn end(&mut self) -> io::Result<()> {
        match self.framing {
            Framing::Chunked => self.send(b"0\r\n\r\n").await,
            Framing::ToEnd | Framing::Length(_) => Ok(()),
        }
    }

    /// Sends an answer of the gateway's own.
    pub(crate) async fn reply(
        &mut self,
        gateway: &Gateway,
        reply: &Reply,
        id: Option<&SmolStr>,
    ) -> io::Result<()> {
        let (mut headers, body) = reply.parts(id);
        if let Some(id) = id {
            gateway.dialect.mark_answer(&mut headers, id);
        }
        let head = ResponseHead {
            status: reply.status,
            reason: reason(reply.status).to_owned(),
            minor: 1,
            headers,
        };
        self.answer(&head, &body).await
    }

    fn frame(&self, piece: &[u8], out: &mut Vec<u8>) {
        match self.framing {
            Framing::Chunked => write_chunk(piece, out),
            Framing::ToEnd | Framing::Length(_) => out.extend_from_slice(piece),
        }
    }

    fn head_bytes(&mut self, head: &ResponseHead, framing: Framing) -> Vec<u8> {
        self.begun = true;
        self.framing = framing;
        let mut bytes = Vec::with_capacity(1024);
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).as_bytes());
        head.headers.end_to_end().write(&mut bytes);
        match framing {
            Framing::Length(length) => {
                bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
            }
            Framing::Chunked => bytes.extend_from_slice(b"transfer-encoding: chunked\r\n"),
            Framing::ToEnd => {}
        }
        if self.close {
            bytes.extend_from_slice(b"connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let sent = within(WRITE_TIME, self.sender.send(bytes)).await;
        sent.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Tells why no request came out of a connection.
enum Unread {
    /// The caller is done, or silent for too long.
    Idle,
    /// The request is answered like this, and the connection closed.
    Bad(Reply),
}

impl From<LinkError> for Unread {
    fn from(error: LinkError) -> Self {
        match error {
            LinkError::Frame {
                source: FrameError::TooLarge,
            } => Self::Bad(Reply::rejected(431, "head-too-large")),
            LinkError::Frame { .. } => Self::Bad(Reply::rejected(400, "malformed")),
            LinkError::Closed | LinkError::Io { .. } | LinkError::Timeout => Self::Idle,
        }
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve(gateway: Arc<Gateway>, mut link: Link) {
    let _guard = gateway.lifecycle.enter_connection();
    loop {
        let limits = gateway.config().map(|config| config.limits);
        let limits = limits.unwrap_or_default();
        let received = match receive(&gateway, &mut link, &limits).await {
            Ok(received) => received,
            Err(Unread::Idle) => return,
            Err(Unread::Bad(reply)) => {
                log::info!(event = "bad-request", status = reply.status, reason = reply.kind; "");
                let mut caller = Caller::new(link.sender(), None, true);
                if caller.reply(&gateway, &reply, None).await.is_ok() {
                    linger(&mut link).await;
                }
                return;
            }
        };
        let close = !received.head.keeps_alive() || gateway.lifecycle.is_draining();
        let mut caller = Caller::new(link.sender(), Some(&received.head), close);
        let handled = async { Some(dispatch::handle(&gateway, received, &mut caller).await) };
        let gone = async {
            watch(&mut link).await;
            None
        };
        let whole = futures_lite::future::or(handled, gone).await;
        if whole != Some(true) || caller.close {
            return;
        }
    }
}

/// Reads one whole request.
async fn receive(
    gateway: &Gateway,
    link: &mut Link,
    limits: &CallerLimits,
) -> Result<Received, Unread> {
    if link.bytes().is_empty() {
        let first = within(limits.idle_timeout, link.fill()).await;
        if !matches!(first, Some(Ok(1..))) {
            return Err(Unread::Idle);
        }
    }
    let arrived = clock::now();
    let timeout = || Unread::Bad(Reply::rejected(408, "head-timeout"));
    let head = within(
        limits.header_timeout,
        link.read_request(limits.header_bytes),
    )
    .await;
    let head = head.ok_or_else(timeout)??.ok_or(Unread::Idle)?;
    let kind = head
        .body_kind()
        .map_err(|source| Unread::from(LinkError::Frame { source }))?;
    let too_large = || Unread::Bad(Reply::rejected(413, "body-too-large"));
    let length = match kind {
        BodyKind::Length(length) => usize::try_from(length).map_err(|_| too_large())?,
        BodyKind::Chunked | BodyKind::CloseDelimited => 0,
    };
    if length > limits.body_bytes {
        return Err(too_large());
    }
    let budget = gateway.settings.body_budget();
    let full = || Unread::Bad(Reply::refused("memory", MEMORY_RETRY));
    let early = gateway.lifecycle.reserve_body(length, budget);
    let early = early.ok_or_else(full)?;
    if head.headers.has_token("expect", "100-continue") {
        let sent = link.sender().send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|source| Unread::from(LinkError::Io { source }))?;
    }
    let mut decoder = BodyDecoder::new(kind);
    let mut body = Vec::with_capacity(length.min(64 * 1024));
    loop {
        let more = within(
            limits.header_timeout,
            link.read_body(&mut decoder, &mut body),
        )
        .await;
        let timeout = || Unread::Bad(Reply::rejected(408, "body-timeout"));
        if !more.ok_or_else(timeout)?? {
            break;
        }
        if body.len() > limits.body_bytes {
            return Err(too_large());
        }
    }
    drop(early);
    let guard = gateway.lifecycle.reserve_body(body.len(), budget);
    Ok(Received {
        head,
        body,
        arrived,
        held: guard.ok_or_else(full)?,
    })
}

/// Ends when the caller is gone; what it sends meanwhile is kept for later.
async fn watch(link: &mut Link) {
    while link.bytes().len() < MAX_AHEAD {
        if !matches!(link.fill().await, Ok(1..)) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Reads what still comes, so that closing the connection does not reset it before the answer is
/// read.
async fn linger(link: &mut Link) {
    let drain = async {
        while let Ok(1..) = link.fill().await {
            let count = link.bytes().len();
            link.consume(count);
        }
    };
    // A caller that goes on sending for longer has had its answer.
    let _ = within(LINGER, drain).await;
}

/// Returns headers for an answer without any of a target's.
fn plain_head(status: u16, media: &str) -> ResponseHead {
    let mut headers = Headers::default();
    headers.push("content-type", media.as_bytes());
    ResponseHead {
        status,
        reason: reason(status).to_owned(),
        minor: 1,
        headers,
    }
}

/// Answers requests for pages of the gateway's own until the connection ends.
pub(crate) async fn serve_pages(
    mut link: Link,
    page: impl Fn(&str) -> (u16, &'static str, Vec<u8>),
) {
    let limits = CallerLimits::default();
    while let Some(Ok(Some(head))) =
        within(limits.idle_timeout, link.read_request(limits.header_bytes)).await
    {
        let (status, media, body) = page(head.path());
        let mut caller = Caller::new(link.sender(), Some(&head), !head.keeps_alive());
        let sent = caller.answer(&plain_head(status, media), &body).await;
        if sent.is_err() || caller.close {
            return;
        }
    }
}
