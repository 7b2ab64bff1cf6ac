//! Streamed response bodies.

use async_channel::{Receiver, SendError, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use trillium::Body;

/// Largest number of chunks that wait for a slow reader.
const MAX_PENDING_CHUNKS: usize = 32;

/// Number of bytes that wait for a slow reader from which sending waits too.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// A chunk of a body, or the error that ends it.
type Chunk = io::Result<Vec<u8>>;

/// Sends chunks of a response body.
///
/// Sending waits while the reader is slow and fails once the reader is dropped. Sending an error
/// resets the connection; dropping the sender completes the body.
#[derive(Debug)]
pub struct BodySender {
    chunks: Sender<Chunk>,
    pending_bytes: Arc<AtomicUsize>,
    /// Reports that the reader has taken a chunk.
    taken: Receiver<()>,
}

impl BodySender {
    /// Sends a chunk once the ones before it have left room.
    ///
    /// # Errors
    ///
    /// Returns an error if the reader is dropped.
    pub async fn send(&self, chunk: Chunk) -> Result<(), SendError<Chunk>> {
        while self.pending_bytes.load(Ordering::SeqCst) >= MAX_PENDING_BYTES {
            if self.taken.recv().await.is_err() {
                return Err(SendError(chunk));
            }
        }
        let length = chunk.as_ref().map_or(0, Vec::len);
        self.pending_bytes.fetch_add(length, Ordering::SeqCst);
        self.chunks.send(chunk).await
    }

    /// Returns whether the reader is dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Resets the connection with an error if the reader has room for it.
    pub fn reset(&self, error: io::Error) {
        // A reader without room waits for its caller, whose connection ends with the process.
        let _ = self.chunks.try_send(Err(error));
    }
}

/// Creates a response body and the sender of its chunks.
#[must_use]
pub fn stream_body() -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(MAX_PENDING_CHUNKS);
    let (taken_sender, taken) = async_channel::bounded(1);
    let pending_bytes = Arc::new(AtomicUsize::new(0));
    let reader = ChunkReader {
        receiver: Box::pin(receiver),
        pending_bytes: Arc::clone(&pending_bytes),
        taken: taken_sender,
        chunk: Vec::new(),
        consumed: 0,
    };
    let sender = BodySender {
        chunks: sender,
        pending_bytes,
        taken,
    };
    (sender, Body::new_streaming(reader, None))
}

struct ChunkReader {
    receiver: Pin<Box<Receiver<Chunk>>>,
    pending_bytes: Arc<AtomicUsize>,
    taken: Sender<()>,
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
                    self.pending_bytes.fetch_sub(chunk.len(), Ordering::SeqCst);
                    // A full channel reports a chunk already.
                    let _ = self.taken.try_send(());
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
