//! Wire messages and codecs of almondcroft.
//!
//! | module | contents |
//! |---|---|
//! | [`caller`] | messages between callers and entry VMs |
//! | [`engine`] | messages between entry VMs and model engines |
//! | [`http1`] | HTTP/1.1 framing without I/O |
//! | [`json_parts`] | texts of the parts of a JSON text |
//! | [`object`] | messages of the platform's object API |
//! | [`peer`] | messages between entry VMs |
//! | [`problem`] | error responses for callers |
//! | [`sheet`] | the configuration sheet that planners export |
//! | [`sse`] | encoding and decoding of server-sent events |
//! | [`vm_list`] | messages of the platform's VM list |
//!
//! ```
//! use almondcroft_proto::sse::{Decoder, Event};
//!
//! let mut decoder = Decoder::new(1024);
//! let events = decoder.feed(b"id: 1\ndata: hello\n\n")?;
//! assert_eq!(events, [Event { id: Some("1".into()), event: None, data: "hello".into() }]);
//! # Ok::<(), almondcroft_proto::sse::SseError>(())
//! ```

pub mod caller;
pub mod engine;
pub mod http1;
pub mod json_parts;
pub mod object;
pub mod peer;
pub mod problem;
pub mod sheet;
pub mod sse;
pub mod vm_list;

mod field;

pub use field::{FieldError, from_json};
pub use problem::Problem;
