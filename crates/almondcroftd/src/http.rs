//! HTTP client, TLS and streamed response bodies.

mod body;
mod collected_body;
mod filtered_transport;
mod options;
mod outbound;
mod response_body;
mod response_filter;
mod tls;
mod write_limit;

pub use body::{BodySender, stream_body};
pub(crate) use collected_body::CollectedBody;
pub use options::{client_config, server_options};
pub use outbound::{CallError, CallErrorKind, Outbound};
pub use response_body::ResponseBody;
pub use tls::{TlsError, TlsFiles, client_tls, server_tls};
pub(crate) use write_limit::{SEND_BUFFER_BYTES, WriteLimitAcceptor};
