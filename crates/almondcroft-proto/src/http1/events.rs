//! Server-sent events as whole byte ranges.

/// Holds one event as it was received, with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes to forward.
    pub bytes: Vec<u8>,
    /// The number in its `id` line.
    pub id: Option<u64>,
}

/// Cuts a stream of bytes into whole events.
///
/// A part of an event is kept back until its blank line arrives, so that a stream that breaks off
/// never reaches the caller in the middle of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        // The last blank line may have begun three bytes before the new ones.
        let mut from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = blank_line(&self.pending, from) {
            let event = self.pending[start..end].to_vec();
            events.push(StreamEvent {
                id: event_id(&event),
                bytes: event,
            });
            start = end;
            from = end;
        }
        self.pending.drain(..start);
        events
    }

    /// Returns the bytes of an event that is not whole yet.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// Returns the end of the first blank line at or after `from`.
fn blank_line(bytes: &[u8], from: usize) -> Option<usize> {
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

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
