//! Server connections whose other end must read now and then.

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use trillium_server_common::{Acceptor, Transport, async_trait};

/// Size of the send buffer of a connection, in bytes.
///
/// The operating system grows a buffer up to megabytes, and what a caller is slow to read stays there. It accepts bytes again
/// once half of the buffer is free, so a caller that reads little at a time shows that it reads.
pub(crate) const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Accepts connections whose writes fail once the other end has accepted no byte for a time.
#[derive(Debug, Clone)]
pub(crate) struct WriteLimitAcceptor<A> {
    inner: A,
    limit: Duration,
}

impl<A> WriteLimitAcceptor<A> {
    pub(crate) const fn new(inner: A, limit: Duration) -> Self {
        Self { inner, limit }
    }
}

#[async_trait]
impl<A, Input> Acceptor<Input> for WriteLimitAcceptor<A>
where
    Input: Transport,
    A: Acceptor<WriteLimitTransport<Input>>,
{
    type Output = A::Output;
    type Error = A::Error;

    async fn accept(&self, input: Input) -> Result<Self::Output, Self::Error> {
        self.inner
            .accept(WriteLimitTransport {
                inner: input,
                limit: self.limit,
                timer: None,
            })
            .await
    }
}

/// A connection whose writes fail once the other end has accepted no byte for a time.
#[derive(Debug)]
pub(crate) struct WriteLimitTransport<T> {
    inner: T,
    limit: Duration,
    /// Runs while a write waits.
    timer: Option<Timer>,
}

impl<T> WriteLimitTransport<T> {
    fn poll_limit<R>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let timer = self.timer.get_or_insert_with(|| Timer::after(self.limit));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => {
                log::info!(event = "caller-given-up", reason = "stalled"; "");
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteLimitTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(context, out)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteLimitTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.poll_limit(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(context);
        self.poll_limit(context, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl<T: Transport> Transport for WriteLimitTransport<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }
}
