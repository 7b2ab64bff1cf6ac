//! HTTP/1.1 framing without I/O: heads, bodies and server-sent events.
//!
//! The gateway's data path must pass content through unchanged and reject every message that two
//! parsers could frame differently (request smuggling). Framing is therefore implemented here, byte
//! by byte, and tested with input split at arbitrary positions.
//!
//! ```
//! use almondcroft_proto::http1::{BodyDecoder, BodyKind, parse_request};
//!
//! let bytes = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi";
//! let (head, used) = parse_request(bytes, 1024).unwrap().unwrap();
//! let mut body = BodyDecoder::new(head.body_kind().unwrap());
//! let mut out = Vec::new();
//! assert_eq!(body.feed(&bytes[used..], &mut out), Ok(2));
//! assert!(body.is_done());
//! ```

mod body;
mod events;
mod head;
mod headers;

pub use body::{BodyDecoder, BodyKind, write_chunk};
pub use events::{EventSplitter, StreamEvent};
pub use head::{FrameError, RequestHead, ResponseHead, parse_request, parse_response};
pub use headers::{Header, Headers};

#[cfg(test)]
mod tests;
