//! Settings of the HTTP libraries.

use trillium_http::HttpConfig;
use trillium_smol::ClientConfig;

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Returns server settings with which each piece of a streamed body leaves at once.
#[must_use]
pub fn server_options() -> HttpConfig {
    HttpConfig::default()
        .with_response_buffer_len(0)
        .with_head_max_len(MAX_HEAD_BYTES)
}

/// Returns settings for connections to targets, peers and the platform.
#[must_use]
pub fn client_config() -> ClientConfig {
    ClientConfig {
        nodelay: Some(true),
        ..ClientConfig::default()
    }
}
