//! Endpoints for operators and the load balancer.

use super::reply;
use crate::app::App;
use std::sync::Arc;
use trillium::Conn;

/// Responds to a liveness check.
pub(crate) fn healthz(conn: Conn) -> Conn {
    conn.ok("ok\n")
}

/// Responds to a readiness check of the load balancer.
pub(crate) fn readyz(conn: Conn, app: &Arc<App>) -> Conn {
    if app.lifecycle.is_draining() {
        return conn.with_status(503).with_body("draining\n").halt();
    }
    if app.revision() == 0 {
        return conn.with_status(503).with_body("no configuration\n").halt();
    }
    conn.ok("ready\n")
}

/// Responds with the metrics in the Prometheus text format.
pub(crate) fn metrics(mut conn: Conn, app: &Arc<App>) -> Conn {
    conn.response_headers_mut()
        .insert("content-type", "text/plain; version=0.0.4");
    conn.ok(app.metrics.encode())
}

/// Responds with the state of the VM.
pub(crate) fn status(conn: Conn, app: &Arc<App>) -> Conn {
    let body = serde_json::json!({
        "vm": app.settings.vm,
        "incarnation": app.incarnation,
        "region": app.settings.region,
        "zone": app.settings.zone,
        "revision": app.revision(),
        "in_flight": app.lifecycle.in_flight(),
        "queued": app.routing.queued(),
        "draining": app.lifecycle.is_draining(),
        "vms": app.members.reachable_vms(app.clock.now()),
    });
    reply::json(conn, 200, body.to_string())
}
