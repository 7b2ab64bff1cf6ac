//! Streamed response bodies.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use trillium::Body;

/// Largest number of chunks that wait for a slow reader.
const MAX_PENDING_CHUNKS: usize = 32;

/// Sends chunks of a response body.
///
/// Sending waits while the reader is slow and fails once the reader is dropped. Sending an error
/// resets the connection; dropping the sender completes the body.
pub type BodySender = Sender<io::Result<Vec<u8>>>;

/// Creates a response body and the sender of its chunks.
#[must_use]
pub fn stream_body() -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(MAX_PENDING_CHUNKS);
    let reader = ChunkReader {
        receiver: Box::pin(receiver),
        chunk: Vec::new(),
        consumed: 0,
    };
    (sender, Body::new_streaming(reader, None))
}

struct ChunkReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    consumed: usize,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.consumed == self.chunk.len() {
            match self.receiver.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(Some(Ok(chunk))) => {
                    self.chunk = chunk;
                    self.consumed = 0;
                }
            }
        }
        let remaining = &self.chunk[self.consumed..];
        let count = remaining.len().min(buffer.len());
        buffer[..count].copy_from_slice(&remaining[..count]);
        self.consumed += count;
        Poll::Ready(Ok(count))
    }
}
