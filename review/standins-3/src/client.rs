//! Clients.

use crate::http::{Message, Reader, send};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request on a connection of its own; `None` if the connection ends without a whole answer.
pub fn call(
    to: SocketAddr,
    first: &str,
    id: &str,
    deadline_ms: u64,
    key: &str,
    body: &[u8],
) -> Option<Message> {
    let mut socket = TcpStream::connect(to).ok()?;
    socket.set_nodelay(true).ok()?;
    socket
        .set_read_timeout(Some(Duration::from_millis(deadline_ms + 2_000)))
        .ok()?;
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Almondcroft-Request-Id", id),
        ("X-Almondcroft-Deadline-Ms", deadline.as_str()),
        ("X-Almondcroft-Credential", key),
    ];
    send(&mut socket, first, &headers, body).ok()?;
    Reader::new(socket).message().ok()?
}
