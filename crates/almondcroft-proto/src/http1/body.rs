//! Bodies, by length, in chunks or up to the end of the connection.

use super::FrameError;

/// Longest line that gives a chunk's size, with its extensions.
const MAX_SIZE_LINE: usize = 256;

/// Most bytes of trailer fields.
const MAX_TRAILER: usize = 8 * 1024;

/// States how a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// A known number of bytes.
    Length(u64),
    /// Chunks with a size each.
    Chunked,
    /// Everything up to the end of the connection.
    ToEnd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Bytes(u64),
    ToEnd,
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Takes a body out of its framing, in pieces of any size.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    line: Vec<u8>,
    trailer: usize,
}

impl BodyDecoder {
    /// Creates a decoder for one body.
    #[must_use]
    pub const fn new(kind: BodyKind) -> Self {
        let state = match kind {
            BodyKind::Length(0) => State::Done,
            BodyKind::Length(length) => State::Bytes(length),
            BodyKind::Chunked => State::Size,
            BodyKind::ToEnd => State::ToEnd,
        };
        Self {
            state,
            line: Vec::new(),
            trailer: 0,
        }
    }

    /// Returns whether the whole body was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the end of the connection ends this body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::ToEnd
    }

    /// Appends the body's bytes to `out` and returns how many bytes of `input` were used.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] if a chunk breaks the grammar.
    pub fn feed(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FrameError> {
        let mut used = 0;
        while used < input.len() && self.state != State::Done {
            used += self.step(&input[used..], out)?;
        }
        Ok(used)
    }

    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FrameError> {
        match self.state {
            State::ToEnd => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
            State::Bytes(left) => {
                let (taken, left) = take(input, left, out);
                self.state = if left == 0 {
                    State::Done
                } else {
                    State::Bytes(left)
                };
                Ok(taken)
            }
            State::Chunk(left) => {
                let (taken, left) = take(input, left, out);
                self.state = if left == 0 {
                    State::ChunkEnd
                } else {
                    State::Chunk(left)
                };
                Ok(taken)
            }
            State::Size | State::ChunkEnd | State::Trailer => self.line_byte(input[0]),
            State::Done => Ok(0),
        }
    }

    fn line_byte(&mut self, byte: u8) -> Result<usize, FrameError> {
        if byte != b'\n' {
            self.line.push(byte);
            if self.line.len() > MAX_SIZE_LINE.max(MAX_TRAILER) {
                return Err(FrameError::Malformed);
            }
            return Ok(1);
        }
        if self.line.pop() != Some(b'\r') || self.line.contains(&b'\r') {
            return Err(FrameError::Malformed);
        }
        let line = std::mem::take(&mut self.line);
        self.state = match self.state {
            State::Size => match chunk_size(&line)? {
                0 => State::Trailer,
                size => State::Chunk(size),
            },
            State::ChunkEnd if line.is_empty() => State::Size,
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer += line.len();
                if self.trailer > MAX_TRAILER {
                    return Err(FrameError::Malformed);
                }
                State::Trailer
            }
            _ => return Err(FrameError::Malformed),
        };
        Ok(1)
    }
}

fn take(input: &[u8], left: u64, out: &mut Vec<u8>) -> (usize, u64) {
    let taken = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    out.extend_from_slice(&input[..taken]);
    (taken, left - taken as u64)
}

fn chunk_size(line: &[u8]) -> Result<u64, FrameError> {
    if line.len() > MAX_SIZE_LINE {
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

/// Writes bytes as one chunk; nothing for no bytes, as an empty chunk would end the body.
pub fn write_chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
