//! The side of a tunnel that connects to the target.

use super::TunnelRequest;
use super::relay::relay;
use crate::caller::ResponseWriter;
use crate::clock;
use crate::connection::Connection;
use crate::exchange::CONNECT_TIMEOUT;
use crate::logging::millis;
use crate::reply::Reply;
use crate::runtime::within;
use crate::state::{Gateway, lock};
use crate::write_queue::WriteQueue;
use almondcroft_core::Timestamp;
use almondcroft_core::gateway::Choice;
use almondcroft_proto::http1::{BodyDecoder, RequestHead};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of open tunnels; each holds two connections and what was read from one and not yet
/// sent to the other.
const MAX_TUNNELS: usize = 256;

/// Maximum size of a request for a tunnel, in bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// Maximum time for which a tunnel is open.
const MAX_TUNNEL_TIME: Duration = Duration::from_mins(10);

/// Time for the rest of a request for a tunnel to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a VM may ask again for a tunnel that was refused.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a request for a tunnel, and the tunnel until it ends.
pub(crate) async fn serve(gateway: &Arc<Gateway>, mut connection: Connection, head: &RequestHead) {
    let Some(request) = read_request(&mut connection, head).await else {
        log::warn!(event = "tunnel-refused", reason = "unreadable"; "");
        return;
    };
    let opened_at = clock::now();
    let _guard = gateway.lifecycle.enter_request();
    let _tunnel_guard = gateway.lifecycle.enter_tunnel();
    let opened = open(gateway, &connection, &request, opened_at).await;
    let (choice, target) = match opened {
        Ok(opened) => opened,
        Err(reason) => {
            log::info!(event = "tunnel-refused", request = request.request.as_str(),
                vm = request.vm.as_str(), target_id = request.target.as_str(), reason = reason; "");
            let reply = Reply::refused(reason, RETRY_AFTER);
            let queue = Arc::new(WriteQueue::uncounted(connection.sender()));
            let mut writer = ResponseWriter::new(&queue, None, true);
            // The VM that asked tries another one also without the reason.
            let _ = queue.drive(writer.send_reply(gateway, &reply, None)).await;
            return;
        }
    };
    let accepted = connection.sender().send(b"HTTP/1.1 200 OK\r\n\r\n").await;
    let time = Duration::from_millis(request.timeout_ms).min(MAX_TUNNEL_TIME);
    let outcome = match accepted {
        Ok(()) => {
            let relayed = relay(gateway, &choice.target, connection, target);
            within(time, relayed).await.unwrap_or("timeout")
        }
        Err(_) => "vm-gone",
    };
    let elapsed = clock::now().saturating_sub(opened_at);
    log::info!(event = "tunnel-served", request = request.request.as_str(),
        vm = request.vm.as_str(), target_id = request.target.as_str(), outcome = outcome,
        took_ms = millis(elapsed); "");
}

async fn read_request(connection: &mut Connection, head: &RequestHead) -> Option<TunnelRequest> {
    let mut decoder = BodyDecoder::new(head.body_kind().ok()?);
    let mut body = Vec::new();
    let read = async {
        while connection.read_body(&mut decoder, &mut body).await.ok()? {
            if body.len() > MAX_REQUEST_BYTES {
                return None;
            }
        }
        serde_json::from_slice(&body).ok()
    };
    within(READ_TIMEOUT, read).await.flatten()
}

/// Connects to the target, or returns why there is no tunnel.
async fn open(
    gateway: &Gateway,
    connection: &Connection,
    request: &TunnelRequest,
    now: Timestamp,
) -> Result<(Choice, Connection), &'static str> {
    // A tunnel may be silent for a long time, so a VM that is gone must not keep it open.
    connection.watch_peer().map_err(|_| "vm-gone")?;
    if !connection.peer_ip().is_some_and(|ip| is_peer(gateway, ip)) {
        return Err("unknown-vm");
    }
    if gateway.lifecycle.is_draining() {
        return Err("stopping");
    }
    if gateway.lifecycle.tunnels() > MAX_TUNNELS {
        return Err("tunnel-limit");
    }
    if lock(&gateway.target_paths).is_cut_off(now) {
        return Err("cut-off");
    }
    let choice = {
        let fleet = lock(&gateway.fleet);
        if fleet.is_leaving(&request.target) {
            return Err("target-leaving");
        }
        if fleet.is_evacuated(&request.target) {
            return Err("evacuated");
        }
        if fleet.is_backing_off(&request.target, now) {
            return Err("target-backoff");
        }
        fleet.choice_for(&request.target).ok_or("no-target")?
    };
    let target = Connection::connect_to_target(choice.address, CONNECT_TIMEOUT).await;
    let target = target.map_err(|_| "connect")?;
    lock(&gateway.target_paths).record_direct(&request.target, clock::now());
    Ok((choice, target))
}

/// Returns whether an address is that of a VM of the system.
fn is_peer(gateway: &Gateway, ip: IpAddr) -> bool {
    // VMs that share a machine are not told apart by their addresses.
    let own = gateway.settings.peers.map(|address| address.ip());
    (ip.is_loopback() && own.is_some_and(|own| own.is_loopback()))
        || lock(&gateway.peers)
            .values()
            .any(|entry| entry.address.ip() == ip)
}
