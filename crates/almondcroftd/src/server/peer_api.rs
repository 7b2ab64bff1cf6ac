//! JSON-RPC methods that peers call.

use super::request_body::{BodyError, HeldBytes, read_body};
use super::{MAX_PEER_BYTES, reply};
use crate::app::App;
use crate::members;
use crate::runtime::within;
use almondcroft_core::Revision;
use almondcroft_proto::peer::{
    AUTH_HEADER, CLAIM_METHOD, CONFIG_METHOD, ClaimParams, ConfigResponse, GOSSIP_METHOD,
    GossipMessage, RECORD_METHOD, RecordParams, verify_auth_code,
};
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use std::sync::Arc;
use trillium::Conn;

/// Returns the module with all methods.
pub(crate) fn module(app: &Arc<App>) -> RpcModule<Arc<App>> {
    let mut module = RpcModule::new(Arc::clone(app));
    let once = "each method is registered once";
    module
        .register_async_method(CLAIM_METHOD, |params, app, _| async move {
            let params: ClaimParams = params.one()?;
            let limit = crate::claims::forwarded_claim_timeout(&app);
            let answer = app.claims.claim_local(params.shard, params.claim, limit);
            Ok::<_, ErrorObjectOwned>(answer.await)
        })
        .expect(once);
    module
        .register_method(RECORD_METHOD, |params, app, _| {
            let params: RecordParams = params.one()?;
            app.claims.record_local(params.shard, params.entry);
            Ok::<_, ErrorObjectOwned>(true)
        })
        .expect(once);
    module
        .register_async_method(GOSSIP_METHOD, |params, app, _| async move {
            let message: GossipMessage = params.one()?;
            members::apply_gossip(&app, &message).await;
            Ok::<_, ErrorObjectOwned>(members::gossip_message(&app))
        })
        .expect(once);
    module
        .register_method(CONFIG_METHOD, |params, app, _| {
            let _known: Revision = params.one()?;
            let config = app.config().as_ref().clone();
            Ok::<_, ErrorObjectOwned>(ConfigResponse { config })
        })
        .expect(once);
    module
}

/// Handles a call of a peer if its authentication code is valid.
pub(crate) async fn handle(mut conn: Conn, app: &Arc<App>, rpc: &Arc<RpcModule<Arc<App>>>) -> Conn {
    let held_bytes = HeldBytes::default();
    let read = read_body(&mut conn, MAX_PEER_BYTES, &held_bytes);
    let body = match within(app.settings.limits.body_time, read).await {
        Some(Ok(body)) => body,
        Some(Err(BodyError::NoMemory)) => return conn.with_status(503).halt(),
        Some(Err(_)) | None => return conn.with_status(403).halt(),
    };
    let auth = conn
        .request_headers()
        .get_str(AUTH_HEADER)
        .unwrap_or_default();
    if !verify_auth_code(&app.settings.peer_secret, &body, auth) {
        return conn.with_status(403).halt();
    }
    let Ok(text) = std::str::from_utf8(&body) else {
        return conn.with_status(400).halt();
    };
    match rpc.raw_json_request(text, 1).await {
        Ok((response, _)) => reply::json(conn, 200, response.get().to_owned()),
        Err(_) => conn.with_status(400).halt(),
    }
}
