//! Checks the framing of responses before the client library reads them.

use almondcroft_proto::http1::{BodyDecoder, BodyKind, ResponseHead, parse_response, write_chunk};
use std::io;
use trillium::Status;

/// Maximum size of the heads of one response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The interim response that a request with a body waits for.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Filters the bytes that a connection receives, so that the client library sees only whole and valid
/// heads and chunks.
///
/// The library takes each interim response but `100 Continue` for the final one, panics on a status that
/// it does not know, ends a body at an empty chunk size and does not wait for the trailer fields. Chunks
/// are therefore decoded here and encoded again, and the last one is passed on once the trailer fields
/// are complete.
#[derive(Debug)]
pub(super) struct ResponseFilter {
    state: State,
    /// Received bytes that are not yet filtered.
    input: Vec<u8>,
    /// Bytes of heads that may still arrive for this response.
    head_bytes: usize,
    /// Whether the connection must not carry another request.
    is_spent: bool,
}

#[derive(Debug)]
enum State {
    /// No request is without its response.
    Idle,
    /// The head of a response is expected.
    Head {
        method: &'static str,
        /// Whether the request's body is sent after `100 Continue`.
        expects_continue: bool,
    },
    /// The body of a response is expected.
    Body {
        decoder: BodyDecoder,
        is_chunked: bool,
    },
}

impl ResponseFilter {
    pub(super) const fn new() -> Self {
        Self {
            state: State::Idle,
            input: Vec::new(),
            head_bytes: MAX_HEAD_BYTES,
            is_spent: false,
        }
    }

    /// Records that bytes are sent, which start with the whole head of a request if none is open.
    pub(super) fn observe_request(&mut self, bytes: &[u8]) {
        if !matches!(self.state, State::Idle) {
            return;
        }
        let mut lines = bytes.split(|byte| *byte == b'\n');
        self.state = State::Head {
            // Only the response to this method is framed in another way.
            method: if bytes.starts_with(b"HEAD ") {
                "HEAD"
            } else {
                "GET"
            },
            expects_continue: lines.any(|line| {
                line.trim_ascii()
                    .eq_ignore_ascii_case(b"expect: 100-continue")
            }),
        };
        self.head_bytes = MAX_HEAD_BYTES;
    }

    /// Filters received bytes and appends those for the library to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::InvalidData`] if the bytes are no valid response to an open request.
    pub(super) fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> io::Result<()> {
        self.input.extend_from_slice(bytes);
        let mut used = 0;
        while let Some(count) = self.step(used, out)? {
            used += count;
        }
        self.input.drain(..used);
        if matches!(self.state, State::Idle) {
            // The library does not see bytes after a response until it uses the connection again.
            self.is_spent |= !self.input.is_empty();
        }
        Ok(())
    }

    /// Returns whether the connection is idle and must not carry another request.
    pub(super) const fn is_spent(&self) -> bool {
        matches!(self.state, State::Idle) && self.is_spent
    }

    /// Filters the next head or part of a body, and returns its length; `None` if more bytes are needed.
    fn step(&mut self, from: usize, out: &mut Vec<u8>) -> io::Result<Option<usize>> {
        let input = &self.input[from..];
        if input.is_empty() {
            return Ok(None);
        }
        match &mut self.state {
            State::Idle => Ok(None),
            State::Head {
                method,
                expects_continue,
            } => {
                let parsed = parse_response(input, self.head_bytes).map_err(invalid)?;
                let Some((head, length)) = parsed else {
                    return Ok(None);
                };
                self.head_bytes -= length;
                if head.status < 200 {
                    if head.status == 100 && std::mem::take(expects_continue) {
                        out.extend_from_slice(CONTINUE);
                    }
                    return Ok(Some(length));
                }
                Status::try_from(head.status).map_err(invalid)?;
                // The library does not send a body that it was not asked for, which the other end may await.
                self.is_spent |= *expects_continue;
                out.extend_from_slice(&input[..length]);
                self.state = body_state(&head, method)?;
                Ok(Some(length))
            }
            State::Body {
                decoder,
                is_chunked,
            } => {
                let mut body = Vec::new();
                let length = decoder.feed(input, &mut body).map_err(invalid)?;
                if *is_chunked {
                    write_chunk(&body, out);
                } else {
                    out.extend_from_slice(&body);
                }
                if decoder.is_done() {
                    if *is_chunked {
                        out.extend_from_slice(b"0\r\n\r\n");
                    }
                    self.state = State::Idle;
                }
                Ok(Some(length))
            }
        }
    }
}

fn body_state(head: &ResponseHead, method: &str) -> io::Result<State> {
    let kind = head.body_kind(method).map_err(invalid)?;
    let decoder = BodyDecoder::new(kind);
    Ok(if decoder.is_done() {
        State::Idle
    } else {
        State::Body {
            decoder,
            is_chunked: kind == BodyKind::Chunked,
        }
    })
}

fn invalid(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
