//! Reading requests.

use almondcroftd::http::stream_body;
use futures_lite::AsyncReadExt;
use serde::de::DeserializeOwned;
use trillium::Conn;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Reads the whole body; an unreadable one counts as empty.
pub(crate) async fn body(conn: &mut Conn) -> Vec<u8> {
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

/// Returns a parameter of the query.
pub(crate) fn query<T: std::str::FromStr>(conn: &Conn, name: &str) -> Option<T> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Ends a connection without a whole answer, as a process that dies does.
pub(crate) fn broken(conn: Conn) -> Conn {
    let (sender, body) = stream_body();
    let _ = sender.try_send(Err(std::io::ErrorKind::ConnectionReset.into()));
    conn.with_status(500).with_body(body).halt()
}

/// Answers with JSON.
pub(crate) fn json(mut conn: Conn, value: &impl serde::Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.response_headers_mut()
        .insert("content-type", "application/json");
    conn.with_status(200).with_body(text).halt()
}

/// Replaces a value by the JSON that a request carries; answers 400 if it does not fit.
pub(crate) async fn replace<T: DeserializeOwned>(mut conn: Conn, store: impl FnOnce(T)) -> Conn {
    let bytes = body(&mut conn).await;
    match serde_json::from_slice(&bytes) {
        Ok(value) => {
            store(value);
            conn.with_status(204).halt()
        }
        Err(error) => conn.with_status(400).with_body(format!("{error}\n")).halt(),
    }
}
