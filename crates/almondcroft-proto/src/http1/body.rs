//! Message bodies: sized, chunked or delimited by the end of the connection.

use super::FrameError;

/// Maximum length of a chunk-size line with its extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum size of the trailer fields, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// Exactly this number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Everything until the connection closes.
    CloseDelimited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    CloseDelimited,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Removes the framing from a body that arrives in pieces of any size.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    line: Vec<u8>,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for one body.
    #[must_use]
    pub const fn new(kind: BodyKind) -> Self {
        let state = match kind {
            BodyKind::Length(0) => State::Done,
            BodyKind::Length(length) => State::Length(length),
            BodyKind::Chunked => State::ChunkSize,
            BodyKind::CloseDelimited => State::CloseDelimited,
        };
        Self {
            state,
            line: Vec::new(),
            trailer_bytes: 0,
        }
    }

    /// Returns whether the whole body has been decoded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the body ends when the connection closes.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.state == State::CloseDelimited
    }

    /// Appends decoded bytes to `out` and returns how many bytes of `input` were consumed.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] if a chunk violates the HTTP/1.1 grammar.
    pub fn feed(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FrameError> {
        let mut used = 0;
        while used < input.len() && self.state != State::Done {
            used += self.step(&input[used..], out)?;
        }
        Ok(used)
    }

    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FrameError> {
        match self.state {
            State::CloseDelimited => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
            State::Length(left) => {
                let (taken, left) = copy_limited(input, left, out);
                self.state = if left == 0 {
                    State::Done
                } else {
                    State::Length(left)
                };
                Ok(taken)
            }
            State::ChunkData(left) => {
                let (taken, left) = copy_limited(input, left, out);
                self.state = if left == 0 {
                    State::ChunkEnd
                } else {
                    State::ChunkData(left)
                };
                Ok(taken)
            }
            State::ChunkSize | State::ChunkEnd | State::Trailer => self.push_line_byte(input[0]),
            State::Done => Ok(0),
        }
    }

    fn push_line_byte(&mut self, byte: u8) -> Result<usize, FrameError> {
        if byte != b'\n' {
            self.line.push(byte);
            if self.line.len() > MAX_SIZE_LINE_BYTES.max(MAX_TRAILER_BYTES) {
                return Err(FrameError::Malformed);
            }
            return Ok(1);
        }
        if self.line.pop() != Some(b'\r') || self.line.contains(&b'\r') {
            return Err(FrameError::Malformed);
        }
        let line = std::mem::take(&mut self.line);
        self.state = match self.state {
            State::ChunkSize => match parse_chunk_size(&line)? {
                0 => State::Trailer,
                size => State::ChunkData(size),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(FrameError::Malformed);
                }
                State::Trailer
            }
            _ => return Err(FrameError::Malformed),
        };
        Ok(1)
    }
}

fn copy_limited(input: &[u8], left: u64, out: &mut Vec<u8>) -> (usize, u64) {
    let taken = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    out.extend_from_slice(&input[..taken]);
    (taken, left - taken as u64)
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, FrameError> {
    if line.len() > MAX_SIZE_LINE_BYTES {
        return Err(FrameError::Malformed);
    }
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let valid = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| FrameError::Malformed)?;
    if !valid {
        return Err(FrameError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| FrameError::Malformed)
}

/// Writes bytes as one chunk, or nothing if `bytes` is empty, as an empty chunk would end the body.
pub fn write_chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
