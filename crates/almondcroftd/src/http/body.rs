//! Response bodies that are written piece by piece.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use trillium::Body;

/// Pieces that wait for a slow reader.
const MAX_PIECES: usize = 32;

/// Sends pieces of a response body.
///
/// Sending waits while the reader is slow and fails once the reader is gone. An error ends the
/// connection abruptly; dropping the sender ends the body in order.
pub type BodySender = Sender<io::Result<Vec<u8>>>;

/// Creates a response body and the sender of its pieces.
#[must_use]
pub fn stream_body() -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(MAX_PIECES);
    let reader = PieceReader {
        receiver: Box::pin(receiver),
        piece: Vec::new(),
        taken: 0,
    };
    (sender, Body::new_streaming(reader, None))
}

struct PieceReader {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    piece: Vec<u8>,
    taken: usize,
}

impl AsyncRead for PieceReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.taken == self.piece.len() {
            match self.receiver.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(Some(Ok(piece))) => {
                    self.piece = piece;
                    self.taken = 0;
                }
            }
        }
        let left = &self.piece[self.taken..];
        let count = left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&left[..count]);
        self.taken += count;
        Poll::Ready(Ok(count))
    }
}
