//! Bodies of responses that are collected in memory.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes of all bodies that a process collects at once: an eighth of the memory of a VM of 256 MB, as
/// buffers that grow, and memory that the allocator keeps, take several times as much.
const MAX_COLLECTED_BYTES: usize = 32 * 1024 * 1024;

/// Number of bytes of all bodies that this process is collecting.
static COLLECTED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// A body that is being collected, and counts against the limit of the process until it is complete or dropped.
#[derive(Debug, Default)]
pub(crate) struct CollectedBody(Vec<u8>);

impl CollectedBody {
    /// Appends a part of the body; returns whether the limit of the process permits it.
    pub(crate) fn try_extend(&mut self, part: &[u8]) -> bool {
        let before = COLLECTED_BYTES.fetch_add(part.len(), Ordering::SeqCst);
        let permitted = before + part.len() <= MAX_COLLECTED_BYTES;
        if permitted {
            self.0.extend_from_slice(part);
        } else {
            COLLECTED_BYTES.fetch_sub(part.len(), Ordering::SeqCst);
        }
        permitted
    }

    pub(crate) const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        COLLECTED_BYTES.fetch_sub(self.0.len(), Ordering::SeqCst);
        std::mem::take(&mut self.0)
    }
}

impl Drop for CollectedBody {
    fn drop(&mut self) {
        COLLECTED_BYTES.fetch_sub(self.0.len(), Ordering::SeqCst);
    }
}
