//! Bodies of requests, which count against the memory of the process before they are read.

use futures_lite::AsyncReadExt;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use trillium::{Conn, KnownHeaderName};

/// Maximum number of bytes of all bodies that a process holds at once: an eighth of the memory of a VM of 256 MB, as a
/// body is decoded, and encoded again for its target.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// The part of it that is kept for small bodies.
const SMALL_SHARE: usize = MAX_HELD_BYTES / 8;

/// Largest small body, in bytes.
const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Number of bytes of all bodies that this process holds.
static HELD_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Why a body is not read to its end.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is longer than permitted.
    TooLarge,
    /// The process holds too many bytes of other bodies.
    NoMemory,
    /// The connection broke, or the framing is wrong.
    Unreadable,
}

impl From<io::Error> for BodyError {
    fn from(_: io::Error) -> Self {
        Self::Unreadable
    }
}

/// The bytes of a body that count as held until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes(AtomicUsize);

impl HeldBytes {
    /// Counts a body of a length; returns whether the process has room for it.
    fn try_grow_to(&self, length: usize) -> bool {
        let more = length.saturating_sub(self.0.load(Ordering::SeqCst));
        let limit = if length > MAX_SMALL_BYTES {
            MAX_HELD_BYTES - SMALL_SHARE
        } else {
            MAX_HELD_BYTES
        };
        let before = HELD_BYTES.fetch_add(more, Ordering::SeqCst);
        let permitted = before + more <= limit;
        if permitted {
            self.0.fetch_add(more, Ordering::SeqCst);
        } else {
            HELD_BYTES.fetch_sub(more, Ordering::SeqCst);
        }
        permitted
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        HELD_BYTES.fetch_sub(*self.0.get_mut(), Ordering::SeqCst);
    }
}

/// Reads the body of a request, whose bytes are counted in `held`.
///
/// A stated length is counted before the body is read, so that one that has begun is not given up for a later one.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is too long, breaks off, or has no room beside the others.
pub(crate) async fn read_body(
    conn: &mut Conn,
    max_bytes: usize,
    held: &HeldBytes,
) -> Result<Vec<u8>, BodyError> {
    let length = conn
        .request_headers()
        .get_str(KnownHeaderName::ContentLength);
    let length: usize = length.map_or(Ok(0), str::parse).unwrap_or(usize::MAX);
    if length > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if !held.try_grow_to(length) {
        return Err(BodyError::NoMemory);
    }
    let mut bytes = Vec::with_capacity(length);
    let mut reader = conn.request_body().await;
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(bytes);
        }
        if bytes.len() + count > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !held.try_grow_to(bytes.len() + count) {
            return Err(BodyError::NoMemory);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}
