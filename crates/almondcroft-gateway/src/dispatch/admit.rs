//! Admission of requests: finds the route and the customer, or the reason for a refusal.

use super::expected_need;
use crate::call::{Call, Order, fingerprint};
use crate::caller::ReceivedRequest;
use crate::clock;
use crate::reply::Reply;
use crate::state::{Gateway, lock};
use crate::target_run::shared_parts;
use almondcroft_core::Revision;
use almondcroft_core::gateway::{CustomerSpec, GatewayConfig, RouteSpec, admits_during_shutdown};
use almondcroft_core::quarantine::Fingerprint;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a caller may retry at a VM that does not know the newest configuration.
///
/// The caller can retry at another VM at once.
const CONFIG_RETRY: Duration = Duration::from_millis(300);

/// Time after which a caller may retry a request that may be served in no region; only another configuration
/// changes that.
const REGIONS_RETRY: Duration = Duration::from_secs(5);

/// Maximum time after which a caller may retry a request that crashes targets.
const QUARANTINE_RETRY: Duration = Duration::from_secs(10);

/// The reply to a request that is not admitted.
pub(super) struct Rejection {
    pub(super) reply: Reply,
    pub(super) id: Option<SmolStr>,
    /// Name of the route; `-` if it is unknown.
    pub(super) class: SmolStr,
    pub(super) order: Order,
    pub(super) revision: Revision,
}

/// Creates a call from a received request, or returns why the request is not admitted.
pub(super) fn admit(gateway: &Gateway, received: ReceivedRequest) -> Result<Call, Rejection> {
    let config = gateway.config();
    let revision = config.as_ref().map_or(0, |config| config.revision);
    let meta = gateway.dialect.read_call(&received.head);
    let id = meta.as_ref().ok().and_then(|meta| meta.id.clone());
    let generation = meta.as_ref().ok().and_then(|meta| meta.generation.as_ref());
    let order = Order::new(&received.head.uri, &received.body, generation);
    let reject_as = |class: &str, reply| Rejection {
        reply,
        id: id.clone(),
        class: class.into(),
        order,
        revision,
    };
    let reject = |reply| reject_as("-", reply);
    let meta = meta.map_err(|reason| reject(Reply::rejected(400, reason)))?;
    if meta.id.is_none() {
        return Err(reject(Reply::rejected(400, "no-request-id")));
    }
    let config = config.ok_or_else(|| reject(Reply::refused("no-config", CONFIG_RETRY)))?;
    let fresh = gateway.is_fresh(clock::now());
    let route = find_route(&config, &received, fresh).map_err(reject)?;
    let class = route.name.clone();
    let reject = |reply| reject_as(&class, reply);
    let customer = find_customer(&config, &route, meta.key.as_deref(), fresh).map_err(reject)?;
    let hash = xxh3_64(meta.id.as_deref().unwrap_or_default().as_bytes());
    let service = route.pick_service(hash).cloned();
    let service = service.ok_or_else(|| reject(Reply::refused("no-service", CONFIG_RETRY)))?;
    if let Some(customer) = &customer
        && route.regions.intersection(&customer.regions).is_empty()
    {
        log::info!(event = "regions-disjoint", request = id.as_deref().unwrap_or("-"),
            route_regions:% = route.regions, customer_regions:% = customer.regions; "");
        return Err(reject(Reply::refused("regions", REGIONS_RETRY)));
    }
    let customer_id = customer
        .as_ref()
        .map_or("", |customer| customer.id.as_str());
    let fingerprint = fingerprint(&received.head.uri, customer_id, &received.body);
    if let Some(retry_after) = refused_for(gateway, fingerprint, id.as_deref()) {
        let reply = Reply::refused("quarantined", retry_after.min(QUARANTINE_RETRY));
        return Err(reject(reply));
    }
    let request = gateway.next_id();
    let generation = meta.generation.as_ref();
    let parts = generation.map_or(Vec::new(), |generation| shared_parts(&generation.parts));
    let remaining = lock(&gateway.prompt_quarantine).remaining(&request, &parts, clock::now());
    if let Some(remaining) = remaining {
        return Err(reject(part_refusal(remaining)));
    }
    let call = Call {
        id: request,
        head: received.head,
        meta,
        body: received.body,
        route,
        service,
        customer,
        received_at: received.received_at,
        fingerprint,
        parts,
        order,
        _body_guard: received.body_guard,
    };
    match shutdown_refusal(gateway, &call) {
        Some(retry_after) => Err(reject(Reply::refused("stopping", retry_after))),
        None => Ok(call),
    }
}

/// Returns the time after which a caller may retry if the VM shuts down and cannot complete the request any more.
pub(super) fn shutdown_refusal(gateway: &Gateway, call: &Call) -> Option<Duration> {
    let now = clock::now();
    let elapsed = gateway.lifecycle.draining_for(now)?;
    let max_output = call.meta.generation.as_ref().map_or(0, |g| g.max_output);
    let grace = gateway.bounds().grace();
    let token_time = lock(&gateway.fleet).token_time(&call.service);
    let stream_left = call.is_stream().then(|| call.time_left(now));
    let need = expected_need(call);
    let admits = admits_during_shutdown(need, max_output, token_time, stream_left, elapsed, grace);
    (!admits).then(|| gateway.shutdown_retry(elapsed))
}

/// Returns for how long a request is refused because it crashed targets; `None` if it may run, also as a
/// trial.
fn refused_for(gateway: &Gateway, fingerprint: Fingerprint, id: Option<&str>) -> Option<Duration> {
    let now = clock::now();
    let mut quarantine = lock(&gateway.quarantine);
    let retry_after = quarantine.retry_after(fingerprint, now)?;
    if !quarantine.begin_trial(fingerprint, now) {
        return Some(retry_after);
    }
    drop(quarantine);
    log::info!(event = "request-trial", request = id.unwrap_or("-"); "");
    gateway.request_gossip();
    None
}

/// Returns the refusal of a request because of a part of its prompt.
pub(super) fn part_refusal(remaining: Duration) -> Reply {
    Reply::refused("part-quarantined", remaining.min(QUARANTINE_RETRY))
}

fn find_route(
    config: &GatewayConfig,
    received: &ReceivedRequest,
    fresh: bool,
) -> Result<Arc<RouteSpec>, Reply> {
    let host = received.head.headers.text("host").unwrap_or_default();
    match config.routes.find(host, received.head.path()) {
        Some(route) => Ok(Arc::clone(route)),
        None if fresh => Err(Reply::rejected(404, "no-route")),
        // The route may have been added to a newer configuration.
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
    // A key may have been revoked or added since the configuration was last confirmed.
    if !fresh {
        return Err(Reply::refused("config-stale", CONFIG_RETRY));
    }
    let customer = key.and_then(|key| config.customer(key));
    let customer = customer.ok_or_else(|| Reply::rejected(401, "unknown-key"))?;
    Ok(Some(Arc::clone(customer)))
}
