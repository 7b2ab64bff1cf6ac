//! An HTTP client of the entry VMs.

use super::TOKEN;
use almondcroft_proto::Problem;
use almondcroft_proto::engine::{Chunk, DONE};
use almondcroft_proto::problem::VERDICT_HEADER;
use almondcroft_proto::sse::{Decoder, Event};
use almondcroftd::http::{CallError, Outbound, ResponseBody};
use serde_json::json;
use std::time::{Duration, Instant};
use trillium::Method;

/// Longest time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_mins(2);

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Largest event or response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// Complete, with the final marker.
    Done,
    /// With an error event.
    Problem(Box<Problem>),
    /// The connection broke.
    Broken,
    /// The caller stopped reading.
    Stopped,
}

/// The part of a stream that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResult {
    /// Concatenated text of the events.
    pub text: String,
    /// Number of events with text.
    pub tokens: usize,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// How the stream ended.
    pub end: StreamEnd,
    /// Time of each event since the call.
    pub event_times: Vec<Duration>,
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status, or 0 without a complete response.
    pub status: u16,
    /// The verdict header.
    pub verdict: Option<String>,
    /// The body.
    pub body: String,
}

/// An HTTP client that calls entry VMs as a customer.
#[derive(Debug, Clone)]
pub struct Caller {
    outbound: Outbound,
    token: String,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(TOKEN)
    }
}

impl Caller {
    /// Creates a caller with a bearer token.
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self::with_outbound(token, Outbound::new())
    }

    /// Creates a caller with a bearer token and an HTTP client.
    #[must_use]
    pub fn with_outbound(token: &str, outbound: Outbound) -> Self {
        Self {
            outbound,
            token: format!("Bearer {token}"),
        }
    }

    /// Streams a completion of a stated number of tokens.
    pub async fn stream(&self, vm: &str, prompt: &str, tokens: u64) -> StreamResult {
        self.stream_until(vm, prompt, tokens, usize::MAX).await
    }

    /// Streams a completion and stops reading after `max_events` events.
    pub async fn stream_until(
        &self,
        vm: &str,
        prompt: &str,
        tokens: u64,
        max_events: usize,
    ) -> StreamResult {
        self.stream_service(vm, "menus", prompt, tokens, max_events)
            .await
    }

    /// Streams a completion of a service and stops reading after `max_events` events.
    pub async fn stream_service(
        &self,
        vm: &str,
        service: &str,
        prompt: &str,
        tokens: u64,
        max_events: usize,
    ) -> StreamResult {
        let body = json!({
            "model": service, "prompt": prompt, "stream": true, "standin_tokens": tokens,
        });
        self.read_stream(vm, &body.to_string(), None, max_events)
            .await
    }

    /// Resumes a stream after the event with an id.
    pub async fn resume(&self, vm: &str, last_id: &str) -> StreamResult {
        self.read_stream(vm, "", Some(last_id), usize::MAX).await
    }

    async fn read_stream(
        &self,
        vm: &str,
        body: &str,
        last_id: Option<&str>,
        max_events: usize,
    ) -> StreamResult {
        let started = Instant::now();
        let mut streamed = StreamResult {
            text: String::new(),
            tokens: 0,
            last_id: last_id.map(str::to_owned),
            end: StreamEnd::Broken,
            event_times: Vec::new(),
        };
        let url = format!("{vm}/v1/completions");
        let mut headers = vec![("authorization", self.token.as_str())];
        if let Some(id) = last_id {
            headers.push(("last-event-id", id));
        }
        let call = self.outbound.call_fresh(
            Method::Post,
            &url,
            &headers,
            body.as_bytes().to_vec(),
            CALL_TIMEOUT,
        );
        let Ok(conn) = call.await else {
            return streamed;
        };
        if conn.status().is_none_or(|status| status as u16 != 200) {
            let bytes = Outbound::read_body(conn, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
            let problem = bytes
                .ok()
                .and_then(|bytes| serde_json::from_slice(&bytes).ok());
            if let Some(problem) = problem {
                streamed.end = StreamEnd::Problem(problem);
            }
            return streamed;
        }
        let mut body = ResponseBody::new(conn);
        let mut decoder = Decoder::new(MAX_RESPONSE_BYTES);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let Ok(count) = body.read(&mut buffer).await else {
                return streamed;
            };
            if count == 0 {
                return streamed;
            }
            let Ok(events) = decoder.feed(&buffer[..count]) else {
                return streamed;
            };
            for event in events {
                if streamed.record_event(event, started) || streamed.event_times.len() >= max_events
                {
                    if streamed.end == StreamEnd::Broken {
                        streamed.end = StreamEnd::Stopped;
                    }
                    return streamed;
                }
            }
        }
    }

    /// Calls a plain service, with an idempotency key if one is given.
    pub async fn call(&self, vm: &str, service: &str, key: Option<&str>, body: &str) -> Reply {
        let url = format!("{vm}/v1/services/{service}/confirm");
        self.post(&url, key, body).await
    }

    /// Posts a body and reads the whole response.
    pub async fn post(&self, url: &str, key: Option<&str>, body: &str) -> Reply {
        let mut headers = vec![("authorization", self.token.as_str())];
        if let Some(key) = key {
            headers.push(("idempotency-key", key));
        }
        let call = self.outbound.call_fresh(
            Method::Post,
            url,
            &headers,
            body.as_bytes().to_vec(),
            CALL_TIMEOUT,
        );
        match read_reply(call.await).await {
            Ok(reply) => reply,
            Err(_) => Reply {
                status: 0,
                verdict: None,
                body: String::new(),
            },
        }
    }
}

async fn read_reply(
    response: Result<trillium_client::Conn, CallError>,
) -> Result<Reply, CallError> {
    let conn = response?;
    let status = conn.status().map_or(0, |status| status as u16);
    let verdict = conn.response_headers().get_str(VERDICT_HEADER);
    let verdict = verdict.map(str::to_owned);
    let bytes = Outbound::read_body(conn, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await?;
    Ok(Reply {
        status,
        verdict,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

impl StreamResult {
    /// Records an event; returns whether it ends the stream.
    fn record_event(&mut self, event: Event, started: Instant) -> bool {
        if event.event.as_deref() == Some("error") {
            if let Ok(problem) = serde_json::from_str(&event.data) {
                self.end = StreamEnd::Problem(problem);
            }
            return true;
        }
        if event.data == DONE {
            self.end = StreamEnd::Done;
            return true;
        }
        self.event_times.push(started.elapsed());
        if let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) {
            let text = chunk.text();
            self.text.push_str(text);
            self.tokens += usize::from(!text.is_empty());
        }
        self.last_id = event.id.or_else(|| self.last_id.take());
        false
    }
}
