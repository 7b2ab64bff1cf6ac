//! What the operating system knows of a TCP connection.

use std::io;
use std::mem::size_of;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// States of a connection, as Linux numbers them, in which this end has ended its direction and what it sent may not have
/// arrived: FIN-WAIT-1, LAST-ACK and CLOSING.
const SENDS_REST: [u8; 3] = [4, 9, 11];

/// Time without a segment from the other end after which it counts as gone, if it owes an answer.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Number of transmissions or window probes without an answer that show that the other end owes one.
const MIN_UNANSWERED: u8 = 2;

/// What the operating system knows of a TCP connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SocketState {
    state: u8,
    /// Number of segments that are not acknowledged.
    in_flight: u32,
    /// Number of times that these were sent again since the last acknowledgement of new data.
    retransmissions: u8,
    /// Number of probes since the other end last answered.
    unanswered_probes: u8,
    /// Time since the other end last acknowledged anything.
    silence: Duration,
}

impl SocketState {
    /// Reads the state of a connection; `None` if the operating system does not tell.
    pub(crate) fn read(socket: &TcpStream) -> Option<Self> {
        let info = read_info(socket).ok()?;
        (info.tcpi_state != 0).then(|| Self {
            state: info.tcpi_state,
            in_flight: info.tcpi_unacked,
            retransmissions: info.tcpi_retransmits,
            unanswered_probes: info.tcpi_probes,
            silence: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        })
    }

    /// Returns whether the other end is gone: it answers neither data nor probes.
    ///
    /// One that reads slowly closes its window. It is sent nothing then, and answers each probe.
    pub(crate) fn is_peer_gone(self) -> bool {
        let is_unanswered = (self.in_flight > 0 && self.retransmissions >= MIN_UNANSWERED)
            || self.unanswered_probes >= MIN_UNANSWERED;
        self.silence >= MAX_SILENCE && is_unanswered
    }

    /// Returns whether this end has ended its direction, and what it sent may not have arrived.
    pub(crate) fn sends_rest(self) -> bool {
        SENDS_REST.contains(&self.state)
    }
}

/// Returns the number of bytes that were sent and that the other end has not acknowledged; `None` if the operating
/// system does not tell.
#[allow(
    unsafe_code,
    reason = "no safe library reads the send queue of a socket"
)]
pub(crate) fn unacknowledged_bytes(socket: &TcpStream) -> Option<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the call writes one integer to the pointer, which is valid for it.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    (result == 0).then(|| usize::try_from(bytes).ok()).flatten()
}

#[allow(unsafe_code, reason = "no safe library reads this option of a socket")]
fn read_info(socket: &TcpStream) -> io::Result<libc::tcp_info> {
    // SAFETY: the structure consists of integers, for which zero is valid.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).unwrap_or_default();
    // SAFETY: the pointer is valid for the stated length; a shorter answer leaves the rest zero.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result == 0 {
        Ok(info)
    } else {
        Err(io::Error::last_os_error())
    }
}

#[cfg(test)]
mod tests;
