//! Calls to targets, peers and the platform.

use super::client_config;
use crate::runtime::{sleep, within};
use almondcroft_core::Verdict;
use futures_lite::AsyncReadExt;
use std::fmt;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trillium::Method;
use trillium_client::{Client, Conn};
use trillium_server_common::{Connector, Url, async_trait};
use trillium_smol::ClientConfig;

/// Time for a connection to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells how a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallErrorKind {
    /// Nothing listens at the address.
    Refused,
    /// No answer came in time.
    TimedOut,
    /// The connection broke, or the answer is not HTTP.
    Broken,
}

/// Tells how a call failed and whether the other side may have acted on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallError {
    /// How it failed.
    pub kind: CallErrorKind,
    /// Whether it may have run.
    pub verdict: Verdict,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.kind {
            CallErrorKind::Refused => "connection refused",
            CallErrorKind::TimedOut => "timed out",
            CallErrorKind::Broken => "connection broken",
        };
        f.write_str(text)
    }
}

impl std::error::Error for CallError {}

/// Makes HTTP calls and tells for a failed one whether it may have run.
#[derive(Debug, Clone)]
pub struct Outbound {
    pooled: Client,
}

impl Default for Outbound {
    fn default() -> Self {
        Self::new()
    }
}

impl Outbound {
    /// Creates a caller with an empty pool of connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pooled: Client::new(client_config()).with_default_pool(),
        }
    }

    /// Calls over a pooled connection. Use it only for calls that may be repeated.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no head of an answer came within `limit`.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Conn, CallError> {
        let conn = build(&self.pooled, method, url, headers, body);
        let answer = within(limit, async { conn.await }).await;
        finish(answer, Verdict::MayHaveRun)
    }

    /// Calls over a new connection, so that a failed one tells whether the request was sent.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no head of an answer came within `limit`.
    pub async fn call_fresh(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Conn, CallError> {
        let connected = Arc::new(AtomicBool::new(false));
        let client = Client::new(TrackedConnector {
            inner: client_config(),
            connected: Arc::clone(&connected),
        });
        let conn = build(&client, method, url, headers, body);
        let answer = within(limit, async { conn.await }).await;
        let verdict = if connected.load(Ordering::SeqCst) {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        finish(answer, verdict)
    }

    /// Reads the whole body of an answer, up to `most` bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when the body does not end in time or is too long.
    pub async fn read_body(
        conn: &mut Conn,
        most: usize,
        limit: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let read = async {
            let mut bytes = Vec::new();
            let reader = conn.response_body();
            reader
                .take(most as u64 + 1)
                .read_to_end(&mut bytes)
                .await
                .map(|_| bytes)
        };
        match within(limit, read).await {
            Some(Ok(bytes)) if bytes.len() <= most => Ok(bytes),
            Some(_) => Err(ran(CallErrorKind::Broken)),
            None => Err(ran(CallErrorKind::TimedOut)),
        }
    }
}

const fn ran(kind: CallErrorKind) -> CallError {
    CallError {
        kind,
        verdict: Verdict::MayHaveRun,
    }
}

fn build(
    client: &Client,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Conn {
    let mut conn = client.build_conn(method, url);
    for (name, value) in headers {
        conn.request_headers_mut()
            .insert((*name).to_owned(), (*value).to_owned());
    }
    if body.is_empty() {
        conn
    } else {
        conn.with_body(body)
    }
}

fn finish(
    answer: Option<trillium_client::Result<Conn>>,
    verdict: Verdict,
) -> Result<Conn, CallError> {
    let error = match answer {
        Some(Ok(conn)) => return Ok(conn),
        Some(Err(error)) => error,
        None => {
            return Err(CallError {
                kind: CallErrorKind::TimedOut,
                verdict,
            });
        }
    };
    if is_refused(&error) {
        return Err(CallError {
            kind: CallErrorKind::Refused,
            verdict: Verdict::NotRun,
        });
    }
    Err(CallError {
        kind: CallErrorKind::Broken,
        verdict,
    })
}

fn is_refused(error: &trillium_client::Error) -> bool {
    matches!(error, trillium_client::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused)
}

/// Notes whether a connection came about.
#[derive(Debug, Clone)]
struct TrackedConnector {
    inner: ClientConfig,
    connected: Arc<AtomicBool>,
}

#[async_trait]
impl Connector for TrackedConnector {
    type Transport = <ClientConfig as Connector>::Transport;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let connect = self.inner.connect(url);
        let timeout = async {
            sleep(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let transport = futures_lite::future::or(connect, timeout).await?;
        self.connected.store(true, Ordering::SeqCst);
        Ok(transport)
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, future: Fut) {
        crate::runtime::spawn(future);
    }
}
