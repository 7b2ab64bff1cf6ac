//! Opens connections to targets: directly, or through a peer that reaches them.

use crate::clock;
use crate::connection::{Connection, ConnectionError};
use crate::exchange::CONNECT_TIMEOUT;
use crate::logging::millis;
use crate::runtime::within;
use crate::state::{Gateway, lock};
use crate::tunnel::{self, TunnelRequest};
use almondcroft_core::gateway::{AllowedRegions, Choice, PEER_DELAY};
use almondcroft_core::{TargetId, Timestamp, VmId};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// Time for which a connection to a target that runs stays open without a request.
const OPEN_TIME: Duration = Duration::from_millis(150);

/// What a connection to a target is for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Destination<'a> {
    pub(crate) target: &'a TargetId,
    pub(crate) address: SocketAddr,
    /// The caller's id of the request, for logs.
    pub(crate) request: &'a str,
    /// Time for which the connection may be needed.
    pub(crate) time_left: Duration,
    /// Regions of the VMs through which it may lead.
    pub(crate) regions: &'a AllowedRegions,
}

impl<'a> Destination<'a> {
    /// Describes a connection that carries no request, so that it may lead through any VM.
    const fn of_probe(
        choice: &'a Choice,
        request: &'a str,
        timeout: Duration,
        any_region: &'a AllowedRegions,
    ) -> Self {
        Self {
            target: &choice.target,
            address: choice.address,
            request,
            time_left: timeout,
            regions: any_region,
        }
    }
}

/// One way that is being tried: through a peer, or directly.
struct Outcome {
    via: Option<VmId>,
    result: Result<Connection, ConnectionError>,
}

type Attempt<'a> = Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>;

/// Opens a new connection to a target, by the way that opens first.
///
/// # Errors
///
/// Returns the error of the direct way, or [`ConnectionError::Timeout`].
pub(crate) async fn connect(
    gateway: &Gateway,
    destination: Destination<'_>,
    timeout: Duration,
) -> Result<Connection, ConnectionError> {
    let started_at = clock::now();
    let timeout = timeout.min(CONNECT_TIMEOUT);
    let end = started_at + timeout;
    let tunnel_delay =
        lock(&gateway.target_paths).tunnel_delay(destination.target, timeout, started_at);
    let mut attempts = vec![direct(destination.address, timeout)];
    let mut next_at = Some(started_at + tunnel_delay);
    // Most connections open directly, so the peers are not listed before one is needed.
    let mut peers = None;
    let mut direct_error = None;
    loop {
        let now = clock::now();
        if next_at.is_some_and(|at| at <= now) {
            let peers = peers
                .get_or_insert_with(|| order_peers(gateway, destination.regions, now).into_iter());
            next_at = match peers.next() {
                Some(vm) => {
                    attempts.extend(through(gateway, vm, destination, end.saturating_sub(now)));
                    Some(now + PEER_DELAY)
                }
                None => None,
            };
            continue;
        }
        if attempts.is_empty() || now >= end {
            return Err(direct_error.unwrap_or(ConnectionError::Timeout));
        }
        let wait = next_at.unwrap_or(end).min(end).saturating_sub(now);
        let Some(outcome) = within(wait, next_outcome(&mut attempts)).await else {
            continue;
        };
        match outcome {
            Outcome {
                via,
                result: Ok(connection),
            } => {
                record_opened(gateway, destination, via, started_at);
                return Ok(connection);
            }
            Outcome {
                via,
                result: Err(error),
            } => {
                match via {
                    Some(vm) => {
                        lock(&gateway.target_paths).record_peer_failure(&vm, clock::now());
                    }
                    None => direct_error = Some(error),
                }
                next_at = next_at.map(|at| at.min(clock::now()));
            }
        }
    }
}

/// Returns whether a target accepts connections, directly or through a peer.
pub(crate) async fn is_reached(
    gateway: &Gateway,
    choice: &Choice,
    request: &str,
    timeout: Duration,
) -> bool {
    let regions = AllowedRegions::default();
    let destination = Destination::of_probe(choice, request, timeout, &regions);
    connect(gateway, destination, timeout).await.is_ok()
}

/// Returns whether a target still runs: whether a connection to it, direct or through a peer, stays open.
///
/// The operating system closes the sockets of a process that ended one after the other, so a connection may
/// open and be closed at once. It is then tried again, because a target with too many connections closes new
/// ones too.
pub(crate) async fn is_running(
    gateway: &Gateway,
    choice: &Choice,
    request: &str,
    timeout: Duration,
) -> bool {
    let regions = AllowedRegions::default();
    let destination = Destination::of_probe(choice, request, timeout, &regions);
    let end = clock::now() + timeout;
    while clock::now() < end {
        match connect(gateway, destination, timeout).await {
            Ok(mut connection) => {
                if !connection.closes_within(OPEN_TIME).await {
                    return true;
                }
            }
            Err(_) => return false,
        }
    }
    true
}

/// Lists the peers to ask for a tunnel.
fn order_peers(gateway: &Gateway, regions: &AllowedRegions, now: Timestamp) -> Vec<VmId> {
    let peers = gateway.tunnel_peers(regions, now);
    lock(&gateway.target_paths).order_peers(peers, now)
}

fn direct<'a>(address: SocketAddr, timeout: Duration) -> Attempt<'a> {
    Box::pin(async move {
        Outcome {
            via: None,
            result: Connection::connect_to_target(address, timeout).await,
        }
    })
}

/// Tries a tunnel through a peer; returns `None` if the peer's address is not known any more.
fn through<'a>(
    gateway: &'a Gateway,
    vm: VmId,
    destination: Destination<'a>,
    timeout: Duration,
) -> Option<Attempt<'a>> {
    let address = lock(&gateway.peers).get(&vm)?.address;
    let request = TunnelRequest {
        vm: gateway.settings.vm.clone(),
        target: destination.target.clone(),
        request: destination.request.into(),
        timeout_ms: u64::try_from(destination.time_left.as_millis()).unwrap_or(u64::MAX),
    };
    Some(Box::pin(async move {
        let result = tunnel::open(address, &request, timeout).await;
        Outcome {
            via: Some(vm),
            result,
        }
    }))
}

/// Waits for the next attempt to end, and removes it.
async fn next_outcome(attempts: &mut Vec<Attempt<'_>>) -> Outcome {
    poll_fn(|context| {
        for index in 0..attempts.len() {
            if let Poll::Ready(outcome) = attempts[index].as_mut().poll(context) {
                drop(attempts.swap_remove(index));
                return Poll::Ready(outcome);
            }
        }
        Poll::Pending
    })
    .await
}

fn record_opened(
    gateway: &Gateway,
    destination: Destination<'_>,
    via: Option<VmId>,
    started_at: Timestamp,
) {
    let now = clock::now();
    let mut paths = lock(&gateway.target_paths);
    let was_cut_off = paths.is_cut_off(now);
    match &via {
        None => paths.record_direct(destination.target, now),
        Some(_) => paths.record_tunneled(destination.target, now),
    }
    let is_cut_off = paths.is_cut_off(now);
    drop(paths);
    if let Some(vm) = via {
        log::info!(event = "tunnel", request = destination.request,
            target_id = destination.target.as_str(), vm = vm.as_str(),
            took_ms = millis(now.saturating_sub(started_at)); "");
    }
    if is_cut_off != was_cut_off {
        log::warn!(event = "cut-off", from_all_targets = is_cut_off; "");
        gateway.request_gossip();
    }
}
