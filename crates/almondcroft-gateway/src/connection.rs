//! A TCP connection with a read buffer.

use almondcroft_proto::http1::{
    BodyDecoder, FrameError, RequestHead, ResponseHead, parse_request, parse_response,
};
use futures_lite::future::yield_now;
use smol::Async;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::runtime::within;
use crate::socket_state::{SocketState, unacknowledged_bytes};

/// Maximum number of bytes per read.
const READ_SIZE: usize = 8 * 1024;

/// Number of reads without a wait after which other tasks get a turn.
const READS_PER_TURN: u32 = 4;

/// Time for which sent data may stay unacknowledged before the operating system closes a connection whose state it does
/// not tell.
///
/// The operating system takes the time for which a window is closed for such time too, so this is a last resort.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two checks whether the other end of a connection is gone while it owes an acknowledgement.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a caller's connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Idle time after which a connection that this VM opened is probed; a lost probe alone must not end it, and one that is
/// silent for good must end within 3 s.
const OPENED_KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection ends.
const KEEPALIVE_PROBES: u32 = 2;

/// Size of the send buffer of a caller's connection, in bytes.
///
/// The operating system grows a buffer up to megabytes, and takes responses that the process could count and time.
const CALLER_SEND_BUFFER: usize = 16 * 1024;

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

/// A socket, and what is needed to notice that its other end is gone.
#[derive(Debug)]
struct Socket {
    stream: Async<TcpStream>,
    /// Whether this process checks for a peer that is gone.
    checks_peer: AtomicBool,
    /// Whether bytes were sent since bytes were last received.
    awaits_ack: AtomicBool,
}

impl Socket {
    /// Waits for the socket; fails if the other end turns out to be gone.
    async fn wait<T>(&self, ready: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let mut ready = std::pin::pin!(ready);
        loop {
            let is_checked = self.checks_peer.load(Ordering::Relaxed);
            if !is_checked || !self.awaits_ack.load(Ordering::Relaxed) {
                return ready.await;
            }
            if let Some(result) = within(PEER_CHECK_INTERVAL, &mut ready).await {
                return result;
            }
            if SocketState::read(self.stream.get_ref()).is_some_and(SocketState::is_peer_gone) {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    /// Has the connection end once its other end neither acknowledges data nor answers probes of its window.
    fn watch_peer(&self) -> io::Result<()> {
        let socket = self.stream.get_ref();
        if SocketState::read(socket).is_some() {
            self.checks_peer.store(true, Ordering::Relaxed);
            return Ok(());
        }
        SockRef::from(socket).set_tcp_user_timeout(Some(USER_TIMEOUT))
    }
}

/// The sending half of a connection; usable while another task reads from it.
#[derive(Debug, Clone)]
pub(crate) struct Sender(Arc<Socket>);

impl Sender {
    /// Sends all bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let mut sent = 0;
        while sent < bytes.len() {
            sent += self.send_some(&bytes[sent..]).await?;
        }
        Ok(())
    }

    /// Sends at least one byte, and as many as the operating system accepts; returns their number.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) async fn send_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            // The socket's buffer nearly always has room, so try without waiting first.
            let result = match self.try_send(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let write = self.0.stream.write_with(|mut socket| socket.write(bytes));
                    self.0.wait(write).await
                }
                result => result,
            };
            match result {
                Ok(0) if !bytes.is_empty() => return Err(io::ErrorKind::WriteZero.into()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Sends what the operating system accepts at once; returns the number of bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) fn try_send(&self, bytes: &[u8]) -> io::Result<usize> {
        self.0.awaits_ack.store(true, Ordering::Relaxed);
        self.0.stream.get_ref().write(bytes)
    }

    /// Returns the number of bytes that were sent and not acknowledged; `None` if it is not known.
    pub(crate) fn unacknowledged_bytes(&self) -> Option<usize> {
        unacknowledged_bytes(self.0.stream.get_ref())
    }

    /// Sets the size of the send buffer, in bytes.
    pub(crate) fn set_send_buffer(&self, bytes: usize) {
        let options = SockRef::from(self.0.stream.get_ref());
        if let Err(error) = options.set_send_buffer_size(bytes) {
            log::warn!(event = "send-buffer-failed", error:% = error; "");
        }
    }

    /// Ends the sending direction, and returns whether it is worth waiting for the rest to arrive.
    pub(crate) fn finish_sending(&self) -> bool {
        let socket = self.0.stream.get_ref();
        // Without the state, the end of the wait would not be noticed; the operating system delivers the rest.
        SocketState::read(socket).is_some() && socket.shutdown(Shutdown::Write).is_ok()
    }

    /// Returns whether the sending direction has ended, and what was sent may not have arrived.
    pub(crate) fn sends_rest(&self) -> bool {
        SocketState::read(self.0.stream.get_ref()).is_some_and(SocketState::sends_rest)
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
        let options = SockRef::from(self.0.stream.get_ref());
        if let Err(error) = options.set_linger(time) {
            log::warn!(event = "linger-failed", error:% = error; "");
        }
    }
}

/// A connection and the bytes that were read from it and not yet consumed.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Arc<Socket>,
    buffer: Vec<u8>,
    /// Number of reads since the last wait.
    reads_in_turn: u32,
    is_tunnel: bool,
    is_used: bool,
    /// Hashes of the ids of the requests that the other end refused on this connection.
    refused: Vec<u64>,
}

impl Connection {
    /// Creates a connection from a socket that was accepted.
    ///
    /// Whoever has opened it may read as slowly as it likes; how long it may not read at all is decided where responses
    /// are written.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) fn accepted(socket: Async<TcpStream>) -> io::Result<Self> {
        Self::new(socket, KEEPALIVE_IDLE)
    }

    fn new(stream: Async<TcpStream>, keepalive_idle: Duration) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        let options = SockRef::from(stream.get_ref());
        let keepalive = TcpKeepalive::new()
            .with_time(keepalive_idle)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        options.set_tcp_keepalive(&keepalive)?;
        Ok(Self {
            socket: Arc::new(Socket {
                stream,
                checks_peer: AtomicBool::new(false),
                awaits_ack: AtomicBool::new(false),
            }),
            buffer: Vec::new(),
            reads_in_turn: 0,
            is_tunnel: false,
            is_used: false,
            refused: Vec::new(),
        })
    }

    /// Has the connection end once its other end is gone, rather than slow to read.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) fn watch_peer(&self) -> io::Result<()> {
        self.socket.watch_peer()
    }

    /// Bounds what the operating system holds of responses that a caller has not read.
    pub(crate) fn bound_send_buffer(&self) {
        self.sender().set_send_buffer(CALLER_SEND_BUFFER);
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
        let address = self.socket.stream.get_ref().peer_addr().ok()?;
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
        let connection = Self::new(socket, OPENED_KEEPALIVE_IDLE)?;
        connection.watch_peer()?;
        Ok(connection)
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
        let options = SockRef::from(connection.socket.stream.get_ref());
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
                    self.socket.wait(self.socket.stream.readable()).await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    fn try_fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_SIZE];
        let count = self.socket.stream.get_ref().read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        self.socket.awaits_ack.store(false, Ordering::Relaxed);
        Ok(count)
    }

    /// Returns whether the connection is open and no unread data has arrived.
    #[must_use]
    pub(crate) fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.socket.stream.get_ref().peek(&mut byte);
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
