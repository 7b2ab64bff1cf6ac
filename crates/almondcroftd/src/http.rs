//! Helpers around the HTTP libraries.

mod body;
mod options;
mod outbound;

pub use body::{BodySender, stream_body};
pub use options::{client_config, server_options};
pub use outbound::{CallError, CallErrorKind, Outbound};
