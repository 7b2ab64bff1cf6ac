//! Bodies of responses that are collected in memory.

use smol::lock::{Mutex, MutexGuard};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes of all bodies that a process collects at once, beside one that may go on beyond it and has up
/// to as many: together an eighth of the memory of a VM of 256 MB, as buffers that grow, and memory that the allocator keeps,
/// take several times as much.
const MAX_COLLECTED_BYTES: usize = 16 * 1024 * 1024;

/// Size up to which a body does not count, so that short responses wait for no others.
const MAX_SHORT_BYTES: usize = 16 * 1024;

/// Number of bytes of all bodies that this process is collecting.
static COLLECTED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Held by the body that may go on although the limit of the process is reached.
static OVERFLOW: Mutex<()> = Mutex::new(());

/// A body that is being collected.
///
/// Beyond its first [`MAX_SHORT_BYTES`] it counts against the limit of the process until it is complete or dropped.
#[derive(Debug, Default)]
pub(crate) struct CollectedBody {
    bytes: Vec<u8>,
    /// Number of bytes that count against the limit.
    counted: usize,
    overflow: Option<MutexGuard<'static, ()>>,
}

impl CollectedBody {
    /// Appends a part of the body; if the limit of the process is reached, it waits until all but one of the bodies beyond
    /// it are complete.
    pub(crate) async fn extend(&mut self, part: &[u8]) {
        if self.overflow.is_none() && !self.try_extend(part) {
            self.overflow = Some(OVERFLOW.lock().await);
        }
        if self.overflow.is_some() {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Appends a part of the body; returns whether the limit of the process permits it.
    pub(crate) fn try_extend(&mut self, part: &[u8]) -> bool {
        if self.bytes.len() + part.len() <= MAX_SHORT_BYTES {
            self.bytes.extend_from_slice(part);
            return true;
        }
        let before = COLLECTED_BYTES.fetch_add(part.len(), Ordering::SeqCst);
        let permitted = before + part.len() <= MAX_COLLECTED_BYTES;
        if permitted {
            self.bytes.extend_from_slice(part);
            self.counted += part.len();
        } else {
            COLLECTED_BYTES.fetch_sub(part.len(), Ordering::SeqCst);
        }
        permitted
    }

    pub(crate) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for CollectedBody {
    fn drop(&mut self) {
        COLLECTED_BYTES.fetch_sub(self.counted, Ordering::SeqCst);
    }
}
