//! A caller of the entry VMs.

use super::TOKEN;
use almondcroft_proto::Problem;
use almondcroft_proto::engine::{Chunk, DONE};
use almondcroft_proto::problem::VERDICT_HEADER;
use almondcroft_proto::sse::{Decoder, Event};
use almondcroftd::http::{CallError, Outbound};
use futures_lite::AsyncReadExt;
use serde_json::json;
use std::time::{Duration, Instant};
use trillium::Method;

/// Longest time that a call may take.
const CALL_TIME: Duration = Duration::from_mins(2);

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

/// Largest event or answer, in bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// Tells how a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// Whole, with the final marker.
    Done,
    /// With an error event.
    Problem(Box<Problem>),
    /// The connection broke.
    Broken,
    /// The caller stopped reading.
    Left,
}

/// Holds what a caller received of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Streamed {
    /// The text.
    pub text: String,
    /// Events with text.
    pub tokens: usize,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// How it ended.
    pub end: StreamEnd,
    /// Time of each event since the call.
    pub times: Vec<Duration>,
}

/// Holds a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status; 0 where no answer came.
    pub status: u16,
    /// The verdict header.
    pub verdict: Option<String>,
    /// The body.
    pub body: String,
}

/// Calls entry VMs as a customer.
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

    /// Creates a caller with a bearer token that makes its calls in a given way.
    #[must_use]
    pub fn with_outbound(token: &str, outbound: Outbound) -> Self {
        Self {
            outbound,
            token: format!("Bearer {token}"),
        }
    }

    /// Streams a completion of a stated number of tokens.
    pub async fn stream(&self, vm: &str, prompt: &str, tokens: u64) -> Streamed {
        self.stream_until(vm, prompt, tokens, usize::MAX).await
    }

    /// Streams a completion and leaves after a number of events.
    pub async fn stream_until(
        &self,
        vm: &str,
        prompt: &str,
        tokens: u64,
        leave_after: usize,
    ) -> Streamed {
        self.stream_service(vm, "menus", prompt, tokens, leave_after)
            .await
    }

    /// Streams a completion of a service and leaves after a number of events.
    pub async fn stream_service(
        &self,
        vm: &str,
        service: &str,
        prompt: &str,
        tokens: u64,
        leave_after: usize,
    ) -> Streamed {
        let body = json!({
            "model": service, "prompt": prompt, "stream": true, "standin_tokens": tokens,
        });
        self.read_stream(vm, &body.to_string(), None, leave_after)
            .await
    }

    /// Resumes a stream after the event with an id.
    pub async fn resume(&self, vm: &str, last_id: &str) -> Streamed {
        self.read_stream(vm, "", Some(last_id), usize::MAX).await
    }

    async fn read_stream(
        &self,
        vm: &str,
        body: &str,
        last_id: Option<&str>,
        leave_after: usize,
    ) -> Streamed {
        let started = Instant::now();
        let mut streamed = Streamed {
            text: String::new(),
            tokens: 0,
            last_id: last_id.map(str::to_owned),
            end: StreamEnd::Broken,
            times: Vec::new(),
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
            CALL_TIME,
        );
        let Ok(mut conn) = call.await else {
            return streamed;
        };
        if conn.status().is_none_or(|status| status as u16 != 200) {
            let bytes = Outbound::read_body(&mut conn, MAX_BYTES, CALL_TIME).await;
            let problem = bytes
                .ok()
                .and_then(|bytes| serde_json::from_slice(&bytes).ok());
            if let Some(problem) = problem {
                streamed.end = StreamEnd::Problem(problem);
            }
            return streamed;
        }
        let mut decoder = Decoder::new(MAX_BYTES);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let Ok(count) = conn.response_body().read(&mut buffer).await else {
                return streamed;
            };
            if count == 0 {
                return streamed;
            }
            let Ok(events) = decoder.feed(&buffer[..count]) else {
                return streamed;
            };
            for event in events {
                if streamed.take(event, started) || streamed.times.len() >= leave_after {
                    if streamed.end == StreamEnd::Broken {
                        streamed.end = StreamEnd::Left;
                    }
                    return streamed;
                }
            }
        }
    }

    /// Calls a plain service with an idempotency key.
    pub async fn call(&self, vm: &str, service: &str, key: Option<&str>, body: &str) -> Reply {
        let url = format!("{vm}/v1/services/{service}/confirm");
        self.post(&url, key, body).await
    }

    /// Posts a body and reads the whole answer.
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
            CALL_TIME,
        );
        match read(call.await).await {
            Ok(reply) => reply,
            Err(_) => Reply {
                status: 0,
                verdict: None,
                body: String::new(),
            },
        }
    }
}

async fn read(answer: Result<trillium_client::Conn, CallError>) -> Result<Reply, CallError> {
    let mut conn = answer?;
    let bytes = Outbound::read_body(&mut conn, MAX_BYTES, CALL_TIME).await?;
    Ok(Reply {
        status: conn.status().map_or(0, |status| status as u16),
        verdict: conn
            .response_headers()
            .get_str(VERDICT_HEADER)
            .map(str::to_owned),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

impl Streamed {
    /// Takes in an event; returns whether it ends the stream.
    fn take(&mut self, event: Event, started: Instant) -> bool {
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
        self.times.push(started.elapsed());
        if let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) {
            let text = chunk.text();
            self.text.push_str(text);
            self.tokens += usize::from(!text.is_empty());
        }
        self.last_id = event.id.or_else(|| self.last_id.take());
        false
    }
}
