//! The daemon's HTTP interface.

mod admin;
mod admission;
mod auth;
mod completions;
mod peer_api;
mod polls;
mod reply;
mod request_body;
mod services;

use crate::app::App;
use crate::http::stream_body;
use jsonrpsee::RpcModule;
use std::io;
use std::sync::Arc;
use trillium::{Conn, Handler};

pub(crate) use polls::start as start_polls;

/// Largest request body of a peer, in bytes.
const MAX_PEER_BYTES: usize = 4 * 1024 * 1024;

/// Start of the paths of callers' requests.
const CALLER_PREFIX: &str = "/v1/";

/// Returns the handler of all requests.
pub(crate) fn handler(app: &Arc<App>) -> impl Handler + use<> {
    let app = Arc::clone(app);
    let rpc = Arc::new(peer_api::module(&app));
    move |conn: Conn| {
        let (app, rpc) = (Arc::clone(&app), Arc::clone(&rpc));
        async move { route(conn, app, rpc).await }
    }
}

async fn route(mut conn: Conn, app: Arc<App>, rpc: Arc<RpcModule<Arc<App>>>) -> Conn {
    if app.lifecycle.is_crashed() {
        return reset_connection(conn);
    }
    if conn.path().starts_with(CALLER_PREFIX) {
        // A stop waits until the caller has been sent the whole response.
        let guard = app.lifecycle.track();
        conn.inner_mut().after_send(move |_| drop(guard));
    }
    let mut conn = dispatch(conn, &app, &rpc).await;
    if app.lifecycle.is_draining() {
        conn.response_headers_mut().insert("connection", "close");
    }
    conn
}

async fn dispatch(conn: Conn, app: &Arc<App>, rpc: &Arc<RpcModule<Arc<App>>>) -> Conn {
    let path = conn.path().to_owned();
    match path.as_str() {
        "/healthz" => admin::healthz(conn),
        "/readyz" => admin::readyz(conn, app),
        "/metrics" => admin::metrics(conn, app),
        "/status" => admin::status(conn, app),
        almondcroft_proto::peer::RPC_PATH => peer_api::handle(conn, app, rpc).await,
        "/v1/chat/completions" => completions::handle(conn, app, true).await,
        "/v1/completions" => completions::handle(conn, app, false).await,
        _ => match path.strip_prefix("/v1/services/") {
            Some(rest) => services::handle(conn, app, rest).await,
            None => reply::unknown_path(conn),
        },
    }
}

/// Resets the connection without a complete response.
fn reset_connection(conn: Conn) -> Conn {
    let (sender, body) = stream_body();
    sender.reset(io::ErrorKind::ConnectionReset.into());
    conn.with_status(503).with_body(body).halt()
}
