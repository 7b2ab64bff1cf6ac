//! Splitting of an event stream into the bytes of whole server-sent events.

use super::FrameError;

/// Maximum size of one event with the comments before it, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// One event as received, including its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes to forward.
    pub bytes: Vec<u8>,
    /// The value of its `id` line, if that is a number.
    pub id: Option<u64>,
}

/// Splits a byte stream into whole events.
///
/// An incomplete event is buffered until its blank line arrives, so that a caller never receives
/// part of an event from a stream that breaks off.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Buffers `bytes` and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] once an event exceeds its maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, FrameError> {
        // The terminator may start up to three bytes before the new input.
        let mut search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, search_from) {
            let event = self.pending[start..end].to_vec();
            events.push(StreamEvent {
                id: parse_event_id(&event),
                bytes: event,
            });
            start = end;
            search_from = end;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(FrameError::TooLarge);
        }
        Ok(events)
    }

    /// Returns the buffered bytes after the last whole event.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Returns whether a stream that ends here ends inside an event.
    ///
    /// Blank lines and whole comment lines may follow the last event.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        let ends_inside_line = !self.pending.is_empty() && !self.pending.ends_with(b"\n");
        let mut lines = self.pending.split(|byte| *byte == b'\n');
        ends_inside_line || lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Returns the index after the first blank line that starts at or after `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
        } else {
            None
        }
    })
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
