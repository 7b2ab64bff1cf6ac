//! One connection to an engine's stream.

use almondcroft_proto::sse::{Decoder, Event};
use futures_lite::AsyncReadExt;
use std::collections::VecDeque;
use trillium_client::Conn;

/// Longest event of an engine, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

/// Tells why a connection yields no more events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceError {
    /// Nothing came in time.
    Silent,
    /// The engine closed the connection.
    Ended,
    /// The connection broke or carried nonsense.
    Broken,
}

/// Reads events from one connection.
pub(crate) struct Source {
    conn: Conn,
    decoder: Decoder,
    ready: VecDeque<Event>,
    buffer: Box<[u8]>,
}

impl Source {
    pub(crate) fn new(conn: Conn) -> Self {
        Self {
            conn,
            decoder: Decoder::new(MAX_EVENT_BYTES),
            ready: VecDeque::new(),
            buffer: vec![0; READ_BYTES].into_boxed_slice(),
        }
    }

    /// Returns the next event that has been read already.
    pub(crate) fn ready(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }

    /// Returns the next event. The future may be dropped: no event is lost.
    pub(crate) async fn next(&mut self) -> Result<Event, SourceError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let read = self.conn.response_body().read(&mut self.buffer).await;
            match read {
                Ok(0) => return Err(SourceError::Ended),
                Ok(count) => {
                    let events = self.decoder.feed(&self.buffer[..count]);
                    self.ready.extend(events.map_err(|_| SourceError::Broken)?);
                }
                Err(_) => return Err(SourceError::Broken),
            }
        }
    }
}
