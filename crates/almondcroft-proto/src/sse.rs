//! Server-sent events.
//!
//! Source: the HTML standard, section "Server-sent events".

use snafu::Snafu;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// The event's id.
    pub id: Option<String>,
    /// The event's type, if it is not the default `message`.
    pub event: Option<String>,
    /// The event's data; multiple data lines are joined by line feeds.
    pub data: String,
}

impl Event {
    /// Appends the encoded event to a buffer.
    pub fn encode_into(&self, buffer: &mut Vec<u8>) {
        if let Some(event) = &self.event {
            push_line(buffer, "event", event);
        }
        if let Some(id) = &self.id {
            push_line(buffer, "id", id);
        }
        for line in self.data.split('\n') {
            push_line(buffer, "data", line);
        }
        buffer.push(b'\n');
    }
}

fn push_line(buffer: &mut Vec<u8>, field: &str, value: &str) {
    buffer.extend_from_slice(field.as_bytes());
    buffer.extend_from_slice(b": ");
    buffer.extend_from_slice(value.as_bytes());
    buffer.push(b'\n');
}

/// The reason why a stream cannot be decoded further.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum SseError {
    /// A line or an event is too long.
    #[snafu(display("an event is longer than {limit} bytes"))]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// A line is not UTF-8.
    #[snafu(display("a line is not UTF-8"))]
    NotUtf8,
}

/// Decodes a stream of events from pieces of any size.
#[derive(Debug)]
pub struct Decoder {
    limit: usize,
    line: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Decoder {
    /// Creates a decoder for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            line: Vec::new(),
            event: Event::default(),
            has_data: false,
        }
    }

    /// Decodes `bytes` and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an [`SseError`] for an event that is too long or not UTF-8.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, SseError> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.push_line_bytes(&rest[..end])?;
            rest = &rest[end + 1..];
            events.extend(self.end_line()?);
        }
        self.push_line_bytes(rest)?;
        Ok(events)
    }

    fn push_line_bytes(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        let limit = self.limit;
        let size = self.line.len() + self.event.data.len() + bytes.len();
        snafu::ensure!(size <= limit, TooLongSnafu { limit });
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn end_line(&mut self) -> Result<Option<Event>, SseError> {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            let has_data = std::mem::take(&mut self.has_data);
            let event = std::mem::take(&mut self.event);
            return Ok(has_data.then_some(event));
        }
        let text = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.event = Some(value.to_owned()),
            "data" => self.push_data(value),
            _ => {}
        }
        Ok(None)
    }

    fn push_data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
        self.has_data = true;
    }
}

#[cfg(test)]
mod tests;
