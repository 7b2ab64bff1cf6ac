//! A TCP connection with a read buffer.

use almondcroft_proto::http1::{
    BodyDecoder, FrameError, RequestHead, ResponseHead, parse_request, parse_response,
};
use futures_lite::future::yield_now;
use smol::Async;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::runtime::within;

/// Maximum number of bytes per read.
const READ_SIZE: usize = 8 * 1024;

/// Number of reads without a wait after which other tasks get a turn.
const READS_PER_TURN: u32 = 4;

/// Time for which sent data may stay unacknowledged before the operating system closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the receive buffer of a connection to a target, in bytes.
///
/// The operating system grows a buffer up to tens of megabytes, and what a caller is too slow to take stays there.
const TARGET_RECEIVE_BUFFER: usize = 64 * 1024;

/// Number of refusals after which a connection is not used again, as each is recorded as long as it is open.
const MAX_REFUSALS: usize = 32;

/// The reason why a connection failed.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectionError {
    /// The other end closed the connection.
    #[snafu(display("closed"))]
    Closed,
    /// The operating system reported an error.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The error.
        source: io::Error,
    },
    /// The bytes are not valid HTTP.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// The framing error.
        source: FrameError,
    },
    /// The operation took too long.
    #[snafu(display("timeout"))]
    Timeout,
}

impl ConnectionError {
    /// Returns the form used in logs.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Io { .. } => "reset",
            Self::Frame {
                source: FrameError::TooLarge,
            } => "too-large",
            Self::Frame { .. } => "garbled",
            Self::Timeout => "timeout",
        }
    }
}

/// The sending half of a connection; usable while another task reads from it.
#[derive(Debug, Clone)]
pub(crate) struct Sender(Arc<Async<TcpStream>>);

impl Sender {
    /// Sends all bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let mut sent = 0;
        while sent < bytes.len() {
            let rest = &bytes[sent..];
            // The socket's buffer nearly always has room, so try without waiting first.
            let result = match self.0.get_ref().write(rest) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.0.write_with(|mut socket| socket.write(rest)).await
                }
                result => result,
            };
            match result {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Makes the connection end with a reset instead of an orderly close, also if the process is killed.
    pub(crate) fn reset_on_close(&self) {
        self.set_linger(Some(Duration::ZERO));
    }

    /// Makes the connection end with an orderly close again.
    pub(crate) fn end_on_close(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, time: Option<Duration>) {
        let options = SockRef::from(self.0.get_ref());
        if let Err(error) = options.set_linger(time) {
            log::warn!(event = "linger-failed", error:% = error; "");
        }
    }
}

/// A connection and the bytes that were read from it and not yet consumed.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Arc<Async<TcpStream>>,
    buffer: Vec<u8>,
    /// Number of reads since the last wait.
    reads_in_turn: u32,
    is_tunnel: bool,
    is_used: bool,
    /// Hashes of the ids of the requests that the other end refused on this connection.
    refused: Vec<u64>,
}

impl Connection {
    /// Creates a connection from a connected socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        socket.get_ref().set_nodelay(true)?;
        let options = SockRef::from(socket.get_ref());
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(2);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Self {
            socket: Arc::new(socket),
            buffer: Vec::new(),
            reads_in_turn: 0,
            is_tunnel: false,
            is_used: false,
            refused: Vec::new(),
        })
    }

    /// Marks the connection as a tunnel, which serves one request.
    #[must_use]
    pub(crate) fn into_tunnel(self) -> Self {
        Self {
            is_tunnel: true,
            ..self
        }
    }

    /// Returns whether the connection leads through another VM.
    #[must_use]
    pub(crate) const fn is_tunnel(&self) -> bool {
        self.is_tunnel
    }

    /// Marks the connection as one that a request was sent on.
    #[must_use]
    pub(crate) fn into_used(self) -> Self {
        Self {
            is_used: true,
            ..self
        }
    }

    /// Returns whether a request was sent on the connection, so that a response may belong to that one.
    #[must_use]
    pub(crate) const fn is_used(&self) -> bool {
        self.is_used
    }

    /// Records that the other end refused a request.
    pub(crate) fn record_refusal(&mut self, id: &str) {
        self.refused.push(xxh3_64(id.as_bytes()));
    }

    /// Returns whether the other end refused a request with an id, so that a second refusal proves nothing.
    #[must_use]
    pub(crate) fn has_refused(&self, id: &str) -> bool {
        self.refused.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether another refusal can be recorded.
    #[must_use]
    pub(crate) const fn can_record_refusal(&self) -> bool {
        self.refused.len() < MAX_REFUSALS
    }

    /// Returns the address of the other end; `None` if it is not connected any more.
    #[must_use]
    pub(crate) fn peer_ip(&self) -> Option<IpAddr> {
        let address = self.socket.get_ref().peer_addr().ok()?;
        Some(address.ip())
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection cannot be opened in time.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, ConnectionError> {
        let connect = Async::<TcpStream>::connect(address);
        let socket = within(timeout, connect)
            .await
            .ok_or(ConnectionError::Timeout)??;
        Ok(Self::new(socket)?)
    }

    /// Opens a connection that carries responses of targets, and bounds what it receives before it is read.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection cannot be opened in time.
    pub(crate) async fn connect_to_target(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, ConnectionError> {
        let connection = Self::connect(address, timeout).await?;
        let options = SockRef::from(connection.socket.get_ref());
        if let Err(error) = options.set_recv_buffer_size(TARGET_RECEIVE_BUFFER) {
            log::warn!(event = "receive-buffer-failed", error:% = error; "");
        }
        Ok(connection)
    }

    /// Returns the sending half.
    #[must_use]
    pub(crate) fn sender(&self) -> Sender {
        Sender(Arc::clone(&self.socket))
    }

    /// Returns the bytes that were read and not yet consumed.
    #[must_use]
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes bytes from the start of the buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
    }

    /// Reads more bytes into the buffer; returns zero at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.reads_in_turn += 1;
        if self.reads_in_turn > READS_PER_TURN {
            // A peer that sends faster than it is read would hold up the thread's other tasks and timers.
            self.reads_in_turn = 0;
            yield_now().await;
        }
        loop {
            match self.try_fill() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.reads_in_turn = 0;
                    self.socket.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    fn try_fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_SIZE];
        let count = self.socket.get_ref().read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Returns whether the connection is open and no unread data has arrived.
    #[must_use]
    pub(crate) fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits for the other end to close the connection; returns whether it does within a time.
    pub(crate) async fn closes_within(&mut self, time: Duration) -> bool {
        !matches!(within(time, self.fill()).await, None | Some(Ok(1..)))
    }

    /// Reads the head of a request; returns `None` if the connection ends before the head starts.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection fails, ends or sends invalid HTTP within the
    /// head.
    pub(crate) async fn read_request(
        &mut self,
        limit: usize,
    ) -> Result<Option<RequestHead>, ConnectionError> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, used)) = parse_request(&self.buffer, limit)?
            {
                self.consume(used);
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ConnectionError::Closed)
                };
            }
        }
    }

    /// Reads the head of a final response; interim (1xx) responses are skipped.
    ///
    /// All heads together may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection fails, ends, sends invalid HTTP before the end of
    /// the head, or exceeds the limit.
    pub(crate) async fn read_response(
        &mut self,
        limit: usize,
    ) -> Result<ResponseHead, ConnectionError> {
        let mut limit = limit;
        loop {
            if !self.buffer.is_empty()
                && let Some((head, used)) = parse_response(&self.buffer, limit)?
            {
                self.consume(used);
                limit -= used;
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(ConnectionError::Closed);
            }
        }
    }

    /// Reads the next part of a body; returns `false` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection fails, ends or sends invalid HTTP before the end
    /// of the body.
    pub(crate) async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<bool, ConnectionError> {
        loop {
            if decoder.is_done() {
                return Ok(false);
            }
            if !self.buffer.is_empty() {
                let before = out.len();
                let used = decoder.feed(&self.buffer, out)?;
                self.consume(used);
                if out.len() > before {
                    return Ok(true);
                }
                continue;
            }
            if self.fill().await? == 0 {
                return if decoder.is_close_delimited() {
                    Ok(false)
                } else {
                    Err(ConnectionError::Closed)
                };
            }
        }
    }
}
