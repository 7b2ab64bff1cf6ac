//! One connection with what was read from it and not yet used.

use almondcroft_proto::http1::{
    BodyDecoder, FrameError, RequestHead, ResponseHead, parse_request, parse_response,
};
use smol::Async;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::runtime::within;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// Time without an acknowledgement after which a connection counts as dead; well under the contact
/// time of the users' rules.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Tells why a connection failed.
#[derive(Debug, Snafu)]
pub(crate) enum LinkError {
    /// The other end closed it.
    #[snafu(display("closed"))]
    Closed,
    /// The system reports a fault.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The fault.
        source: io::Error,
    },
    /// The bytes are not HTTP.
    #[snafu(display("{source}"), context(false))]
    Frame {
        /// What is wrong.
        source: FrameError,
    },
    /// It took too long.
    #[snafu(display("timeout"))]
    Timeout,
}

impl LinkError {
    /// Returns the form used in logs.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Io { .. } => "reset",
            Self::Frame { .. } => "garbled",
            Self::Timeout => "timeout",
        }
    }
}

/// Sends on a connection; can be used while another task reads from it.
#[derive(Debug, Clone)]
pub(crate) struct Sender(Arc<Async<TcpStream>>);

impl Sender {
    /// Sends bytes, all of them.
    ///
    /// # Errors
    ///
    /// Returns the system's fault.
    pub(crate) async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let mut sent = 0;
        while sent < bytes.len() {
            let rest = &bytes[sent..];
            // Sockets can nearly always take a message at once.
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
}

/// Holds a connection.
#[derive(Debug)]
pub(crate) struct Link {
    socket: Arc<Async<TcpStream>>,
    buffer: Vec<u8>,
}

impl Link {
    /// Takes over an accepted connection.
    ///
    /// # Errors
    ///
    /// Returns the system's fault.
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
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if it does not open in time.
    pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, LinkError> {
        let connect = Async::<TcpStream>::connect(address);
        let socket = within(limit, connect).await.ok_or(LinkError::Timeout)??;
        Ok(Self::new(socket)?)
    }

    /// Returns the sending half.
    #[must_use]
    pub(crate) fn sender(&self) -> Sender {
        Sender(Arc::clone(&self.socket))
    }

    /// Returns the bytes that were read and not used.
    #[must_use]
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Uses up bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
    }

    /// Reads more bytes; returns zero at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the system's fault.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        loop {
            match self.try_fill() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.socket.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    fn try_fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; READ_BYTES];
        let count = self.socket.get_ref().read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Returns whether an idle connection is still open and silent.
    #[must_use]
    pub(crate) fn is_quiet(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads the head of a request; `None` if the connection ends before it begins.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the connection ends or breaks the grammar within the head.
    pub(crate) async fn read_request(
        &mut self,
        limit: usize,
    ) -> Result<Option<RequestHead>, LinkError> {
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
                    Err(LinkError::Closed)
                };
            }
        }
    }

    /// Reads the head of a final response.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the connection ends or breaks the grammar before its end.
    pub(crate) async fn read_response(&mut self, limit: usize) -> Result<ResponseHead, LinkError> {
        loop {
            if !self.buffer.is_empty()
                && let Some((head, used)) = parse_response(&self.buffer, limit)?
            {
                self.consume(used);
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(LinkError::Closed);
            }
        }
    }

    /// Reads the next piece of a body; returns `false` at its whole end.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the connection ends or breaks the grammar before the body's end.
    pub(crate) async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<bool, LinkError> {
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
                    Err(LinkError::Closed)
                };
            }
        }
    }
}
