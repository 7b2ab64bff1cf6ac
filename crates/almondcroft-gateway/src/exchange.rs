//! One request to one target and the head of its answer.

use crate::adapter::{AnswerMeta, PlainCall, SendMeta};
use crate::call::Call;
use crate::link::{Link, LinkError};
use crate::pool;
use crate::runtime::within;
use crate::state::Gateway;
use almondcroft_core::{ServiceId, Verdict};
use almondcroft_proto::http1::{BodyDecoder, BodyKind, Headers, ResponseHead};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time to open a connection; several round trips between regions.
pub(crate) const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Longest head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 32 * 1024;

/// Bodies of other requests' answers that are skipped at most, in bytes.
const MAX_SKIPPED: usize = 1024 * 1024;

/// Answers to other requests that are skipped on one connection.
const MAX_SKIPS: usize = 3;

/// Tells why a target gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendError {
    pub(crate) kind: &'static str,
    pub(crate) verdict: Verdict,
}

impl SendError {
    const fn not_run(kind: &'static str) -> Self {
        Self {
            kind,
            verdict: Verdict::NotRun,
        }
    }

    const fn unknown(kind: &'static str) -> Self {
        Self {
            kind,
            verdict: Verdict::MayHaveRun,
        }
    }
}

/// Holds an answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: ResponseHead,
    pub(crate) meta: AnswerMeta,
    pub(crate) decoder: BodyDecoder,
    address: SocketAddr,
    service: ServiceId,
    link: Link,
    whole: bool,
}

impl Exchange {
    /// Sends a request and reads the head of its answer.
    pub(crate) async fn open(
        gateway: &Gateway,
        call: &Call,
        address: SocketAddr,
        send: &SendMeta,
        limit: Duration,
    ) -> Result<Self, SendError> {
        let once = !call.repeats();
        let (mut link, fresh) = pool::connect(gateway, address, once, limit)
            .await
            .map_err(|_| SendError::not_run("connect"))?;
        let mut bytes = write_head(
            &call.head.method,
            &call.head.uri,
            &gateway.dialect.write_call(&call.head, send),
            call.body.len(),
        );
        bytes.extend_from_slice(&call.body);
        let whole = AtomicBool::new(false);
        let sender = link.sender();
        let write = async {
            let done = sender.send(&bytes).await.is_ok();
            whole.store(done, Ordering::Relaxed);
            // A failed write shows at the reading end, behind an answer that may still be there.
            pending().await
        };
        let read = Self::read_head(gateway, call, &mut link, fresh);
        let read = within(limit, futures_lite::future::or(read, write));
        let (head, meta, decoder) = match read.await {
            Some(answer) => answer?,
            None => return Err(SendError::unknown("target-timeout")),
        };
        Ok(Self {
            head,
            meta,
            decoder,
            address,
            service: call.service.clone(),
            link,
            whole: whole.into_inner(),
        })
    }

    /// Reads heads until one answers this request; answers to others are skipped.
    async fn read_head(
        gateway: &Gateway,
        call: &Call,
        link: &mut Link,
        fresh: bool,
    ) -> Result<(ResponseHead, AnswerMeta, BodyDecoder), SendError> {
        for _ in 0..MAX_SKIPS {
            let head = link
                .read_response(MAX_ANSWER_HEAD)
                .await
                .map_err(|error| fault(&error))?;
            let meta = gateway.dialect.read_answer(&head);
            let kind = head
                .body_kind(&call.head.method)
                .map_err(|_| SendError::unknown("garbled"))?;
            let mut decoder = BodyDecoder::new(kind);
            let own = match &meta.id {
                Some(id) => Some(id) == call.meta.id.as_ref(),
                None => fresh && !head_is_success(&head),
            };
            if own {
                return Ok((head, meta, decoder));
            }
            if meta.id.is_none() || kind == BodyKind::CloseDelimited {
                return Err(SendError::unknown("unidentified"));
            }
            skip_body(link, &mut decoder).await?;
        }
        Err(SendError::unknown("crossed"))
    }

    /// Reads the next piece of the body; returns `false` at its whole end.
    pub(crate) async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, LinkError> {
        self.link.read_body(&mut self.decoder, out).await
    }

    /// Keeps the connection if the answer was whole and the target agrees.
    pub(crate) fn finish(self, gateway: &Gateway) {
        if self.whole && self.decoder.is_done() && self.head.keeps_alive() {
            pool::keep(
                gateway,
                self.address,
                &self.service,
                self.link,
                self.meta.keep,
            );
        }
    }
}

fn head_is_success(head: &ResponseHead) -> bool {
    (200..300).contains(&head.status)
}

fn fault(error: &LinkError) -> SendError {
    SendError::unknown(error.kind())
}

async fn skip_body(link: &mut Link, decoder: &mut BodyDecoder) -> Result<(), SendError> {
    let mut skipped = Vec::new();
    while link
        .read_body(decoder, &mut skipped)
        .await
        .map_err(|error| fault(&error))?
    {
        if skipped.len() > MAX_SKIPPED {
            return Err(SendError::unknown("crossed"));
        }
    }
    Ok(())
}

/// Writes the head of a request.
pub(crate) fn write_head(method: &str, target: &str, headers: &Headers, body: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + body);
    bytes.extend_from_slice(method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    headers.write(&mut bytes);
    if body > 0 || !matches!(method, "GET" | "HEAD" | "DELETE") {
        bytes.extend_from_slice(format!("content-length: {body}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Makes a small request of the gateway's own and reads the whole answer.
pub(crate) async fn round_trip(
    link: &mut Link,
    address: SocketAddr,
    call: &PlainCall,
    most: usize,
) -> Result<(ResponseHead, Vec<u8>), LinkError> {
    let mut headers = Headers::default();
    headers.push("host", address.to_string().as_bytes());
    if !call.body.is_empty() {
        headers.push("content-type", b"application/json");
    }
    let mut bytes = write_head(call.method, &call.path, &headers, call.body.len());
    bytes.extend_from_slice(&call.body);
    link.sender().send(&bytes).await?;
    let head = link.read_response(MAX_ANSWER_HEAD).await?;
    let mut decoder = BodyDecoder::new(head.body_kind(call.method)?);
    let mut body = Vec::new();
    while link.read_body(&mut decoder, &mut body).await? {
        if body.len() > most {
            return Err(LinkError::Frame {
                source: almondcroft_proto::http1::FrameError::TooLarge,
            });
        }
    }
    Ok((head, body))
}
