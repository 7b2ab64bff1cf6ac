//! Options of the HTTP server and client.

use trillium_http::HttpConfig;
use trillium_smol::ClientConfig;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Returns server options that send each chunk of a streamed body without buffering.
#[must_use]
pub fn server_options() -> HttpConfig {
    HttpConfig::default()
        .with_response_buffer_len(0)
        .with_head_max_len(MAX_HEAD_BYTES)
}

/// Returns options for connections to targets, peers and the platform.
#[must_use]
pub fn client_config() -> ClientConfig {
    ClientConfig {
        nodelay: Some(true),
        ..ClientConfig::default()
    }
}
