//! HTTP client for targets, peers and the platform.

use super::collected_body::CollectedBody;
use super::filtered_transport::FilteredTransport;
use super::{ResponseBody, client_config};
use crate::runtime::{sleep, within};
use almondcroft_core::Verdict;
use socket2::SockRef;
use std::fmt;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trillium::Method;
use trillium_client::{Client, Conn, IntoUrl};
use trillium_rustls::futures_rustls::TlsConnector;
use trillium_rustls::rustls::pki_types::ServerName;
use trillium_rustls::{RustlsClientTransport, rustls};
use trillium_server_common::{Connector, Url, async_trait};
use trillium_smol::ClientConfig;

/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Size of the receive buffer of a connection, in bytes.
///
/// The operating system grows a buffer up to tens of megabytes, and what a caller is too slow to take stays there.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallErrorKind {
    /// The connection was refused, or the address is none.
    Refused,
    /// No response arrived in time.
    TimedOut,
    /// The connection broke, or the response is not valid HTTP.
    Broken,
}

/// Failure of a call, with whether the server may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallError {
    /// How the call failed.
    pub kind: CallErrorKind,
    /// Whether the call may have run.
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

/// HTTP client that reports for each failed call whether it may have run.
#[derive(Debug, Clone)]
pub struct Outbound {
    pooled: Client,
    tls: Option<Arc<rustls::ClientConfig>>,
}

impl Default for Outbound {
    fn default() -> Self {
        Self::new()
    }
}

impl Outbound {
    /// Creates a client with an empty connection pool that supports only `http` URLs.
    #[must_use]
    pub fn new() -> Self {
        Self::with_tls(None)
    }

    /// Creates a client with an empty connection pool; `https` URLs need `tls`.
    #[must_use]
    pub fn with_tls(tls: Option<Arc<rustls::ClientConfig>>) -> Self {
        let connector = connector(tls.clone(), Arc::default());
        Self {
            pooled: Client::new(connector).with_default_pool(),
            tls,
        }
    }

    /// Calls over a pooled connection. Use this only for calls that may be repeated, and not where a late second
    /// response to an earlier call may be taken for the response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no response head arrived within `limit`.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Conn, CallError> {
        let conn = build_request(&self.pooled, method, url, headers, body)?;
        let response = within(limit, async { conn.await }).await;
        into_result(response, Verdict::MayHaveRun)
    }

    /// Calls over a new connection, so that a failure shows whether the request may have been sent.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no response head arrived within `limit`.
    pub async fn call_fresh(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Conn, CallError> {
        let connected = Arc::new(AtomicBool::new(false));
        let client = Client::new(connector(self.tls.clone(), Arc::clone(&connected)));
        let conn = build_request(&client, method, url, headers, body)?;
        let response = within(limit, async { conn.await }).await;
        let verdict = if connected.load(Ordering::SeqCst) {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        into_result(response, verdict)
    }

    /// Reads the whole body of a response, up to `max_bytes`, and recycles its connection.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the body breaks off, does not end in time or is too long.
    pub async fn read_body(
        conn: Conn,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Vec<u8>, CallError> {
        Self::read_own_body(conn, max_bytes, limit, |_| true).await
    }

    /// Reads the whole body of a response like [`Outbound::read_body`] if it shows that it belongs to the call.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] as [`Outbound::read_body`] does, and if `is_own` denies that it belongs to the call.
    /// The connection is closed then, as the response to the call may be on it.
    pub(crate) async fn read_own_body(
        conn: Conn,
        max_bytes: usize,
        limit: Duration,
        is_own: impl FnOnce(&[u8]) -> bool,
    ) -> Result<Vec<u8>, CallError> {
        let mut body = ResponseBody::new(conn);
        let read = async {
            let mut bytes = CollectedBody::default();
            let mut buffer = vec![0; READ_BYTES];
            while bytes.len() <= max_bytes {
                match body.read(&mut buffer).await? {
                    0 => break,
                    count => bytes.extend(&buffer[..count]).await,
                }
            }
            io::Result::Ok(bytes.finish())
        };
        match within(limit, read).await {
            Some(Ok(bytes)) if bytes.len() <= max_bytes => {
                if is_own(&bytes) {
                    body.recycle().await;
                    Ok(bytes)
                } else {
                    body.close();
                    Err(may_have_run(CallErrorKind::Broken))
                }
            }
            Some(_) => Err(may_have_run(CallErrorKind::Broken)),
            None => Err(may_have_run(CallErrorKind::TimedOut)),
        }
    }
}

fn connector(
    tls: Option<Arc<rustls::ClientConfig>>,
    connected: Arc<AtomicBool>,
) -> SecureConnector {
    SecureConnector {
        tcp: client_config(),
        tls,
        connected,
    }
}

const fn may_have_run(kind: CallErrorKind) -> CallError {
    CallError {
        kind,
        verdict: Verdict::MayHaveRun,
    }
}

fn build_request(
    client: &Client,
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Conn, CallError> {
    // The client panics at a text that is no URL; entries of other writers contain such addresses.
    let url = url.into_url(None).map_err(|_| CallError {
        kind: CallErrorKind::Refused,
        verdict: Verdict::NotRun,
    })?;
    let mut conn = client.build_conn(method, url);
    for (name, value) in headers {
        conn.request_headers_mut()
            .insert((*name).to_owned(), (*value).to_owned());
    }
    Ok(if body.is_empty() {
        conn
    } else {
        conn.with_body(body)
    })
}

fn into_result(
    response: Option<trillium_client::Result<Conn>>,
    verdict: Verdict,
) -> Result<Conn, CallError> {
    let error = match response {
        Some(Ok(conn)) => return Ok(conn),
        Some(Err(error)) => error,
        None => {
            return Err(CallError {
                kind: CallErrorKind::TimedOut,
                verdict,
            });
        }
    };
    if is_connection_refused(&error) {
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

fn is_connection_refused(error: &trillium_client::Error) -> bool {
    matches!(error, trillium_client::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused)
}

/// Connects over TCP, or over TLS for `https`, and records whether a connection was established.
///
/// The certificate is checked against the host of the URL, which may be an IP address.
#[derive(Clone)]
struct SecureConnector {
    tcp: ClientConfig,
    tls: Option<Arc<rustls::ClientConfig>>,
    connected: Arc<AtomicBool>,
}

type Tcp = <ClientConfig as Connector>::Transport;

impl SecureConnector {
    /// Connects, and bounds what the connection receives before it is read.
    async fn connect_tcp(&self, url: &Url) -> io::Result<Tcp> {
        let stream = self.tcp.connect(url).await?.into_inner();
        if let Err(error) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::warn!(event = "receive-buffer-failed", error:% = error; "");
        }
        Ok(stream.into())
    }

    async fn open(&self, url: &Url) -> io::Result<RustlsClientTransport<Tcp>> {
        if url.scheme() != "https" {
            return Ok(self.connect_tcp(url).await?.into());
        }
        let tls = self.tls.clone().ok_or(io::ErrorKind::Unsupported)?;
        let host = url.host_str().unwrap_or_default().to_owned();
        let name = ServerName::try_from(host).map_err(|_| io::ErrorKind::InvalidInput)?;
        let mut plain = url.clone();
        let port = url.port_or_known_default();
        if plain.set_scheme("http").is_err() || plain.set_port(port).is_err() {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let tcp = self.connect_tcp(&plain).await?;
        let stream = TlsConnector::from(tls).connect(name, tcp).await?;
        Ok(stream.into())
    }
}

#[async_trait]
impl Connector for SecureConnector {
    type Transport = FilteredTransport<RustlsClientTransport<Tcp>>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let timeout = async {
            sleep(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let transport = futures_lite::future::or(self.open(url), timeout).await?;
        self.connected.store(true, Ordering::SeqCst);
        Ok(transport.into())
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, future: Fut) {
        crate::runtime::spawn(future);
    }
}

#[cfg(test)]
mod tests;
