//! One connection to an engine's stream.

use crate::http::ResponseBody;
use almondcroft_proto::sse::{Decoder, Event};
use std::collections::VecDeque;
use trillium_client::Conn;

/// Longest event of an engine, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Reasons why a connection yields no more events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceError {
    /// No event arrived in time.
    TimedOut,
    /// The engine closed the connection.
    Ended,
    /// The connection broke or carried a malformed event stream.
    Broken,
}

/// Reads events from one connection.
pub(crate) struct Source {
    body: ResponseBody,
    decoder: Decoder,
    events: VecDeque<Event>,
    buffer: Box<[u8]>,
}

impl Source {
    pub(crate) fn new(conn: Conn) -> Self {
        Self {
            body: ResponseBody::new(conn),
            decoder: Decoder::new(MAX_EVENT_BYTES),
            events: VecDeque::new(),
            buffer: vec![0; READ_BYTES].into_boxed_slice(),
        }
    }

    /// Returns the next event that has already been read.
    pub(crate) fn next_buffered(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next event.
    ///
    /// The future is cancellation safe: no event is lost when it is dropped.
    pub(crate) async fn next(&mut self) -> Result<Event, SourceError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let read = self.body.read(&mut self.buffer).await;
            match read {
                Ok(0) => return Err(SourceError::Ended),
                Ok(count) => {
                    let events = self.decoder.feed(&self.buffer[..count]);
                    self.events.extend(events.map_err(|_| SourceError::Broken)?);
                }
                Err(_) => return Err(SourceError::Broken),
            }
        }
    }
}
