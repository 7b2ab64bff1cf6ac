//! Wire messages and codecs of almondcroft.
//!
//! | module | messages between |
//! |---|---|
//! | [`caller`] | callers and entry VMs |
//! | [`engine`] | entry VMs and model engines |
//! | [`http1`] | anybody who speaks HTTP/1.1, as framing without I/O |
//! | [`object`] | entry VMs and the platform's object API |
//! | [`peer`] | entry VMs |
//! | [`sheet`] | planners and operators |
//! | [`sse`] | anybody who streams |
//! | [`vm_list`] | entry VMs and the platform's VM list |
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
pub mod object;
pub mod peer;
pub mod problem;
pub mod sheet;
pub mod sse;
pub mod vm_list;

mod field;

pub use field::{FieldError, from_json};
pub use problem::Problem;
