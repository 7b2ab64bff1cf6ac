//! Helpers that read requests and write responses.

use almondcroftd::http::stream_body;
use futures_lite::AsyncReadExt;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Reads the whole body; returns an empty one if it cannot be read.
pub(crate) async fn read_body(conn: &mut Conn) -> Vec<u8> {
    let mut bytes = Vec::new();
    let reader = conn.request_body().await;
    if reader
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut bytes)
        .await
        .is_err()
    {
        bytes.clear();
    }
    bytes
}

/// Returns a parameter of the query string, if it is present and valid.
pub(crate) fn query_param<T: std::str::FromStr>(conn: &Conn, name: &str) -> Option<T> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Resets a connection without a complete response, as a process that crashes does.
pub(crate) fn reset_connection(conn: Conn) -> Conn {
    let (sender, body) = stream_body();
    sender.reset(std::io::ErrorKind::ConnectionReset.into());
    conn.with_status(500).with_body(body).halt()
}

/// Responds with JSON.
pub(crate) fn json_response(mut conn: Conn, value: &impl serde::Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.response_headers_mut()
        .insert("content-type", "application/json");
    conn.with_status(200).with_body(text).halt()
}

/// Passes the value in the request's JSON body to `store`; responds with 400 if it is invalid.
pub(crate) async fn replace_from_body<T: DeserializeOwned>(
    mut conn: Conn,
    store: impl FnOnce(T),
) -> Conn {
    let bytes = read_body(&mut conn).await;
    match serde_json::from_slice(&bytes) {
        Ok(value) => {
            store(value);
            conn.with_status(204).halt()
        }
        Err(error) => conn.with_status(400).with_body(format!("{error}\n")).halt(),
    }
}
