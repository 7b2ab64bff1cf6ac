//! A connection whose responses are filtered.

use super::response_filter::ResponseFilter;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use trillium_server_common::Transport;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// A connection of the client library that passes on filtered responses.
#[derive(Debug)]
pub(super) struct FilteredTransport<T> {
    inner: T,
    filter: ResponseFilter,
    buffer: Box<[u8]>,
    /// Filtered bytes of which the first `consumed` ones have been read.
    output: Vec<u8>,
    consumed: usize,
}

impl<T> From<T> for FilteredTransport<T> {
    fn from(inner: T) -> Self {
        Self {
            inner,
            filter: ResponseFilter::new(),
            buffer: vec![0; READ_BYTES].into_boxed_slice(),
            output: Vec::new(),
            consumed: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for FilteredTransport<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        while this.consumed == this.output.len() {
            if this.filter.is_spent() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            this.output.clear();
            this.consumed = 0;
            let count = ready!(Pin::new(&mut this.inner).poll_read(context, &mut this.buffer))?;
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            this.filter.feed(&this.buffer[..count], &mut this.output)?;
        }
        let rest = &this.output[this.consumed..];
        let count = rest.len().min(out.len());
        out[..count].copy_from_slice(&rest[..count]);
        this.consumed += count;
        Poll::Ready(Ok(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for FilteredTransport<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let count = ready!(Pin::new(&mut this.inner).poll_write(context, bytes))?;
        if count > 0 {
            this.filter.observe_request(bytes);
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(context)
    }
}

impl<T: Transport> Transport for FilteredTransport<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}
