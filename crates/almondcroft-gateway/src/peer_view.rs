//! Copies of the platform's store between VMs: the configuration and the list of targets.
//!
//! Each call to the store is expensive and its responses are the same for all VMs. In a large fleet, a
//! few VMs of each availability zone, the copy sources, therefore read a new configuration from the VMs
//! that watch the store, and the other VMs of the zone read it from a copy source, over TCP. A VM that
//! starts also reads the list of targets in this way. Each copy carries its age, so it is never taken
//! for newer than it is; a VM that gets none in time calls the store itself.

mod message;

use crate::adapter::{Batch, ControlCall, ObjectKind};
use crate::caller::Page;
use crate::clock;
use crate::connection::Connection;
use crate::exchange::round_trip;
use crate::gossip::TargetUpdate;
use crate::runtime::{sleep, within};
use crate::state::{Gateway, lock};
use almondcroft_core::gateway::lowest_hashes;
use almondcroft_core::{Revision, Timestamp, VmId};
use message::{ConfigView, TargetsView};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Minimum number of VMs of a zone that the others read from; more than one in case one is
/// unreachable.
const MIN_SOURCES: usize = 2;

/// Number of VMs of a zone for each copy source. When the fleet restarts, all read at once.
const VMS_PER_SOURCE: usize = 12;

/// Number of copy sources that a VM asks in turn.
const TRIED_SOURCES: usize = 2;

/// Time within which a copy must arrive; the VM calls the store after it.
const COPY_TIME: Duration = Duration::from_millis(800);

/// Time within which the first copy must arrive at a VM that starts, whose callers may be waiting.
const FIRST_COPY_TIME: Duration = Duration::from_millis(150);

/// Time within which a copy must arrive while the whole fleet starts and the copy sources read the
/// store.
const BOOTSTRAP_COPY_TIME: Duration = Duration::from_secs(3);

/// Time for the VMs of a fleet that starts to learn of each other.
const BOOTSTRAP_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Time for the list of VMs to be read at the start.
const DISCOVERY_TIME: Duration = Duration::from_millis(300);

/// Time between two checks whether the list of VMs was read.
const DISCOVERY_POLL: Duration = Duration::from_millis(5);

/// Delay before a peer that has no newer copy yet is asked again.
const POLL_DELAY: Duration = Duration::from_millis(30);

/// Delay before a peer is asked again while the whole fleet starts.
const BOOTSTRAP_POLL_DELAY: Duration = Duration::from_millis(200);

/// Timeout for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for one copy.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a copy, in bytes; the store holds values up to a megabyte.
const MAX_COPY_BYTES: usize = 4 * 1024 * 1024;

/// The store's response that contains the active configuration.
#[derive(Debug, Clone)]
pub(crate) struct ConfigDocument {
    pub(crate) revision: Revision,
    /// Whether the response is a list; otherwise it is the response to a watch.
    pub(crate) is_list: bool,
    pub(crate) body: Arc<Vec<u8>>,
}

/// Returns a copy that a peer asks for.
pub(crate) fn page(gateway: &Gateway, path: &str) -> Page {
    let now = clock::now();
    let body = match path.split_once("/config/") {
        Some(("", after)) => after
            .parse()
            .ok()
            .and_then(|after| ConfigView::of(gateway, after, now))
            .and_then(|view| view.encode()),
        _ if path == "/targets" => {
            TargetsView::of(gateway, now).and_then(|view| serde_json::to_vec(&view).ok())
        }
        _ => None,
    };
    match body {
        Some(body) => (200, "application/json", body),
        None => (404, "application/json", Vec::new()),
    }
}

/// Reads a copy of the configuration or of the targets, and returns it with the time at which it was
/// requested; `None` if the VM has to call the store itself.
pub(crate) async fn read(gateway: &Gateway, kind: ObjectKind) -> Option<(StoreCopy, Timestamp)> {
    let started_at = clock::now();
    gateway.settings.peers?;
    let bootstrap = gateway.settings.bootstrap && !gateway.has_read(kind);
    wait_for_peers(gateway, bootstrap).await;
    let (limit, delay) = if bootstrap {
        (BOOTSTRAP_COPY_TIME, BOOTSTRAP_POLL_DELAY)
    } else if !gateway.has_read(kind) {
        (FIRST_COPY_TIME, POLL_DELAY)
    } else if gateway.is_newer_expected(kind) {
        (COPY_TIME, POLL_DELAY)
    } else {
        // Without a reason to expect one soon, polling would only add load during an outage.
        (Duration::ZERO, POLL_DELAY)
    };
    loop {
        let sources = sources(gateway, clock::now())?;
        for source in sources {
            let sent_at = clock::now();
            if let Some(copy) = read_from(gateway, kind, source, sent_at).await {
                return Some((copy, sent_at));
            }
        }
        if clock::now() + delay > started_at + limit {
            log::info!(event = "copy-late", kind = kind.as_str(); "");
            return None;
        }
        sleep(delay).await;
    }
}

/// Waits until the list of VMs was read once and, if the whole fleet starts, until it is large; for a
/// limited time.
async fn wait_for_peers(gateway: &Gateway, bootstrap: bool) {
    let is_known = || gateway.are_peers_listed() && (!bootstrap || gateway.is_large_fleet());
    let time = if bootstrap {
        BOOTSTRAP_DISCOVERY_TIME
    } else {
        DISCOVERY_TIME
    };
    let limit = clock::now() + time;
    while !is_known() && clock::now() < limit {
        sleep(DISCOVERY_POLL).await;
    }
}

/// Lists the addresses to read from, in the order to try them; `None` if this VM calls the store.
fn sources(gateway: &Gateway, now: Timestamp) -> Option<Vec<SocketAddr>> {
    let own = &gateway.settings;
    if !gateway.is_large_fleet() {
        return None;
    }
    let queried = gateway.queried_watchers(now);
    let peers = lock(&gateway.peers);
    let in_zone = peers.iter().filter(|(_, entry)| entry.zone == own.zone);
    let names: Vec<&VmId> = in_zone.map(|(vm, _)| vm).chain([&own.vm]).collect();
    let count = (names.len() / VMS_PER_SOURCE).max(MIN_SOURCES);
    let sources = lowest_hashes(names.into_iter(), count);
    let names: Vec<VmId> = if sources.contains(&own.vm) {
        queried?
    } else {
        sources
    };
    let addresses = names.iter().filter_map(|vm| peers.get(vm));
    let addresses = addresses.map(|entry| entry.address);
    Some(addresses.choose_multiple(&mut rand::rng(), TRIED_SOURCES))
}

/// A copy that a peer sent, with its age at that time.
pub(crate) enum StoreCopy {
    /// The configuration.
    Config(Batch, ConfigDocument, Duration),
    /// The revision of the active configuration, which is the newest.
    ConfigUnchanged(Revision, Duration),
    /// All targets.
    Targets(TargetUpdate),
}

impl StoreCopy {
    /// Returns the time since the peer knew it to be the newest, when it was sent.
    pub(crate) const fn age(&self) -> Duration {
        match self {
            Self::Config(_, _, age) | Self::ConfigUnchanged(_, age) => *age,
            Self::Targets(update) => Duration::from_millis(update.age),
        }
    }
}

async fn read_from(
    gateway: &Gateway,
    kind: ObjectKind,
    source: SocketAddr,
    sent_at: Timestamp,
) -> Option<StoreCopy> {
    match kind {
        ObjectKind::Config => {
            let after = gateway.config().map_or(0, |config| config.revision);
            let body = get(source, format!("/config/{after}")).await?;
            let view = readable(ConfigView::decode(&body), source)?;
            let is_current = gateway.observe_peer_era(view.era());
            if !is_current || view.revision() < gateway.newest_revision() {
                return None;
            }
            view.into_copy(gateway, sent_at)
        }
        ObjectKind::Targets => {
            let body = get(source, "/targets".to_owned()).await?;
            let view: TargetsView = readable(serde_json::from_slice(&body), source)?;
            let is_current = gateway.observe_peer_era(view.update.position().era);
            is_current.then_some(StoreCopy::Targets(view.update))
        }
        ObjectKind::Evacuations | ObjectKind::Vms => None,
    }
}

/// Reads one page of a peer.
async fn get(source: SocketAddr, path: String) -> Option<Vec<u8>> {
    let call = ControlCall {
        method: "GET",
        path,
        body: Vec::new(),
    };
    let mut connection = Connection::connect(source, CONNECT_TIMEOUT).await.ok()?;
    let response = round_trip(&mut connection, source, &call, MAX_COPY_BYTES);
    let (head, body) = within(READ_TIMEOUT, response).await?.ok()?;
    (head.status == 200).then_some(body)
}

/// Returns what a peer sent, or logs that it is unreadable.
fn readable<T>(decoded: serde_json::Result<T>, source: SocketAddr) -> Option<T> {
    decoded
        .inspect_err(|error| {
            log::warn!(event = "copy-unreadable", from:% = source, error:% = error; "");
        })
        .ok()
}
