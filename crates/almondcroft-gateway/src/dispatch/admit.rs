//! Finds the route and the customer of a request, or the reason to turn it away.

use super::expected;
use crate::call::{Call, fingerprint};
use crate::caller::Received;
use crate::clock;
use crate::reply::Reply;
use crate::state::{Gateway, lock};
use almondcroft_core::Revision;
use almondcroft_core::gateway::{CustomerSpec, GatewayConfig, RouteSpec, admits_during_shutdown};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a VM that does not know the newest configuration is worth asking again; another
/// VM may be asked at once.
const CONFIG_RETRY: Duration = Duration::from_millis(300);

/// Time after which a caller of a VM that stops may come back, to another VM.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Longest time after which a caller of a request that crashes targets may come back.
const QUARANTINE_RETRY: Duration = Duration::from_secs(10);

/// Holds the answer to a request that is turned away.
pub(super) struct Rejection {
    pub(super) reply: Reply,
    pub(super) id: Option<SmolStr>,
    pub(super) revision: Revision,
}

/// Turns a request as received into a call, or tells why not.
pub(super) fn admit(gateway: &Gateway, received: Received) -> Result<Call, Rejection> {
    let config = gateway.config();
    let revision = config.as_ref().map_or(0, |config| config.revision);
    let meta = gateway.dialect.read_call(&received.head);
    let id = meta.as_ref().ok().and_then(|meta| meta.id.clone());
    let reject = |reply| Rejection {
        reply,
        id: id.clone(),
        revision,
    };
    let meta = meta.map_err(|reason| reject(Reply::rejected(400, reason)))?;
    if meta.id.is_none() {
        return Err(reject(Reply::rejected(400, "no-request-id")));
    }
    let config = config.ok_or_else(|| reject(Reply::refused("no-config", CONFIG_RETRY)))?;
    let fresh = gateway.is_fresh(clock::now());
    let route = find_route(&config, &received, fresh).map_err(reject)?;
    let customer = find_customer(&config, &route, meta.key.as_deref(), fresh).map_err(reject)?;
    let number = xxh3_64(meta.id.as_deref().unwrap_or_default().as_bytes());
    let service = route.pick_service(number).cloned();
    let service = service.ok_or_else(|| reject(Reply::refused("no-service", CONFIG_RETRY)))?;
    let name = customer
        .as_ref()
        .map_or("", |customer| customer.id.as_str());
    let fingerprint = fingerprint(&received.head.uri, name, &received.body);
    if let Some(left) = lock(&gateway.quarantine).remaining(fingerprint, clock::now()) {
        let reply = Reply::refused("quarantined", left.min(QUARANTINE_RETRY));
        return Err(reject(reply));
    }
    let call = Call {
        id: gateway.next_id(),
        head: received.head,
        meta,
        body: received.body,
        route,
        service,
        customer,
        arrived: received.arrived,
        fingerprint,
        _held: received.held,
    };
    if let Some(passed) = gateway.lifecycle.draining_for(clock::now()) {
        let most = call.meta.generation.as_ref().map_or(0, |g| g.most);
        let grace = gateway.bounds().grace();
        if !admits_during_shutdown(expected(&call), most, passed, grace) {
            return Err(reject(Reply::refused("stopping", STOPPING_RETRY)));
        }
    }
    Ok(call)
}

fn find_route(
    config: &GatewayConfig,
    received: &Received,
    fresh: bool,
) -> Result<Arc<RouteSpec>, Reply> {
    let host = received.head.headers.text("host").unwrap_or_default();
    match config.routes.find(host, received.head.path()) {
        Some(route) => Ok(Arc::clone(route)),
        None if fresh => Err(Reply::rejected(404, "no-route")),
        // A route that was added since would be denied.
        None => Err(Reply::refused("config-stale", CONFIG_RETRY)),
    }
}

fn find_customer(
    config: &GatewayConfig,
    route: &RouteSpec,
    key: Option<&str>,
    fresh: bool,
) -> Result<Option<Arc<CustomerSpec>>, Reply> {
    if !config.requires_key() || route.public {
        return Ok(None);
    }
    // A key may have been taken away or added since the configuration was last known to be new.
    if !fresh {
        return Err(Reply::refused("config-stale", CONFIG_RETRY));
    }
    let customer = key.and_then(|key| config.customer(key));
    let customer = customer.ok_or_else(|| Reply::rejected(401, "unknown-key"))?;
    Ok(Some(Arc::clone(customer)))
}
