//! The body of a response, however it is framed.

use futures_lite::AsyncReadExt;
use std::io;
use trillium::{KnownHeaderName, Method, Status, Upgrade};
use trillium_client::Conn;

/// Reads the body of a response that has a length, chunks or neither.
///
/// A body with neither ends with its connection (RFC 9112, section 6.3). The client library reads
/// such a body as chunks, so it is read from the transport here.
pub struct ResponseBody(Framing);

enum Framing {
    Framed(Box<Conn>),
    CloseDelimited(Box<Upgrade>),
}

impl ResponseBody {
    /// Takes over the connection of a response; its head must have been read.
    #[must_use]
    pub fn new(conn: Conn) -> Self {
        Self(if is_close_delimited(&conn) {
            Framing::CloseDelimited(Box::new(conn.into()))
        } else {
            Framing::Framed(Box::new(conn))
        })
    }

    /// Reads more of the body; returns zero at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off.
    pub async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match &mut self.0 {
            Framing::Framed(conn) => conn.response_body().read(buffer).await,
            Framing::CloseDelimited(transport) => transport.read(buffer).await,
        }
    }

    /// Returns the connection to the pool, unless the body ended with it.
    pub async fn recycle(self) {
        if let Framing::Framed(conn) = self.0 {
            conn.recycle().await;
        }
    }

    /// Closes the connection, which the client library would return to the pool otherwise.
    pub fn close(self) {
        if let Framing::Framed(conn) = self.0 {
            drop(Upgrade::from(*conn));
        }
    }
}

fn is_close_delimited(conn: &Conn) -> bool {
    let headers = conn.response_headers();
    let has_body = conn.method() != Method::Head
        && !matches!(
            conn.status(),
            Some(Status::NoContent | Status::NotModified) | None
        );
    has_body
        && !headers.has_header(KnownHeaderName::ContentLength)
        && !headers.has_header(KnownHeaderName::TransferEncoding)
}
