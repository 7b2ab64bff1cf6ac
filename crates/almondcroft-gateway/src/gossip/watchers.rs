//! Queries to the few VMs that watch the platform's store for the whole fleet.
//!
//! Every VM could watch the store itself, but calls are expensive and the contents are the same for
//! all. In a large fleet a few VMs, the watchers, watch it continuously. The others query one of
//! them twice a second, and call the store themselves only if no watcher can respond. In a fleet of hundreds
//! the watchers answer some relays in each availability zone, which answer the others. Changes that do not fit
//! into a datagram are read in pages.

use super::message::{CursorMessage, Datagram, EvacuationList, Query, Response, TargetPage};
use super::{MAX_DATAGRAM_BYTES, TargetUpdate, age_ms, send};
use crate::adapter::ObjectKind;
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use almondcroft_core::gateway::{ChangeCursor, EntryEvent, StorePosition};
use almondcroft_core::{Timestamp, VmId};
use rand::seq::IndexedRandom;
use smol::Async;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two queries; well below the time within which a leaving target must be known.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two queries of a relay.
const RELAY_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Number of times that a page is asked for again before the VM asks another one from the start.
const MAX_PAGE_RETRIES: u32 = 2;

/// Number of queries that may get no certain response before watchers' reports that the store is unavailable count.
const MAX_LOST_QUERIES: u32 = 2;

/// Queries a random watcher at each interval, unless this VM watches the store itself.
pub(super) async fn send_queries(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    loop {
        sleep(query_interval(&gateway)).await;
        if let Some((source, after)) = take_unfinished(&gateway) {
            send_query(&gateway, &socket, Some(after), source);
            continue;
        }
        let sources = gateway.query_sources(clock::now()).unwrap_or_default();
        let Some(source) = sources.choose(&mut rand::rng()) else {
            continue;
        };
        if let Some(address) = address_of(&gateway, source) {
            send_query(&gateway, &socket, None, address);
        }
    }
}

/// Pages of changes that this VM has not read to the end.
#[derive(Debug, Clone)]
pub(crate) struct UnfinishedPages {
    source: SocketAddr,
    since: StorePosition,
    after: CursorMessage,
    /// Number of times that the next page was asked for again.
    retries: u32,
}

/// Returns where the next page is to be asked for again, if the last one got no response.
fn take_unfinished(gateway: &Gateway) -> Option<(SocketAddr, CursorMessage)> {
    let position = gateway.targets_position();
    let mut unfinished = lock(&gateway.unfinished_pages);
    let mut pages = unfinished.take()?;
    if pages.since != position || pages.retries >= MAX_PAGE_RETRIES {
        return None;
    }
    pages.retries += 1;
    let next = (pages.source, pages.after.clone());
    *unfinished = Some(pages);
    Some(next)
}

/// Returns whether this VM has applied all pages that it asked a VM for.
fn is_continued(gateway: &Gateway, source: SocketAddr) -> bool {
    let position = gateway.targets_position();
    let unfinished = lock(&gateway.unfinished_pages);
    let pages = unfinished.as_ref();
    pages.is_some_and(|pages| pages.source == source && pages.since == position)
}

/// Returns the time between two queries; shorter for a relay, whose view others read.
fn query_interval(gateway: &Gateway) -> Duration {
    if gateway.is_relay(clock::now()) {
        RELAY_QUERY_INTERVAL
    } else {
        QUERY_INTERVAL
    }
}

/// Asks for the changes since this VM's position, or for the next page of them.
fn send_query(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    after: Option<CursorMessage>,
    to: SocketAddr,
) {
    let known = gateway.targets_position();
    let query = Query {
        nonce: lock(&gateway.pending_queries).start(clock::now(), &mut rand::rng()),
        era: known.era,
        targets: known.revision,
        paged: true,
        after,
    };
    send(socket, &Datagram::Query(query).encode(), to);
}

fn address_of(gateway: &Gateway, vm: &VmId) -> Option<SocketAddr> {
    lock(&gateway.peers).get(vm).map(|entry| entry.address)
}

/// Returns the encoded response to a query.
pub(super) fn respond(gateway: &Gateway, query: &Query) -> Vec<u8> {
    let now = clock::now();
    let since = StorePosition {
        era: query.era,
        revision: query.targets,
    };
    let after = query.after.clone().map(ChangeCursor::from);
    let (update, targets_uncertain) = gateway.target_updates_since(since, after.as_ref(), now);
    let mut response = Response {
        nonce: query.nonce,
        era: gateway.store_era(),
        config: gateway
            .config_confirmation()
            .map(|(revision, at)| (revision, age_ms(at, now))),
        targets: None,
        targets_uncertain,
        continues: after.is_some(),
        page: None,
        evacuations: evacuation_list(gateway, now),
    };
    let Some((position, at, mut changes)) = update else {
        return Datagram::Response(response).encode();
    };
    let age = age_ms(at, now);
    let events = |changes: &[(ChangeCursor, EntryEvent)]| {
        let events = changes.iter().map(|(_, event)| event.clone());
        events.collect()
    };
    response.targets = Some(TargetUpdate::new(position, age, events(&changes), now));
    loop {
        let bytes = Datagram::Response(response.clone()).encode();
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return bytes;
        }
        if changes.is_empty() {
            // Without any change it does not get smaller; the peer drops it and calls the store itself.
            return bytes;
        }
        response.targets = None;
        // The changes are of about the same size.
        let fitting = changes.len() * MAX_DATAGRAM_BYTES / bytes.len();
        changes.truncate(fitting.min(changes.len() - 1) * 9 / 10);
        let last = changes.last().filter(|_| query.paged);
        // Without a page, the peer calls the store itself.
        response.page = last.map(|(cursor, _)| TargetPage {
            changes: TargetUpdate::new(since, age, events(&changes), now),
            next: cursor.clone().into(),
        });
    }
}

/// Returns the evacuated zones for a peer; `None` if they are not known.
fn evacuation_list(gateway: &Gateway, now: Timestamp) -> Option<EvacuationList> {
    let (position, at, zones) = gateway.evacuation_view()?;
    Some(EvacuationList {
        era: position.era,
        revision: position.revision,
        age: age_ms(at, now),
        zones,
    })
}

/// Applies a watcher's response.
pub(super) fn apply_response(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    response: Response,
    from: SocketAddr,
) {
    let Some(query) = lock(&gateway.pending_queries).complete(response.nonce) else {
        return;
    };
    if !gateway.observe_peer_era(response.era) {
        return;
    }
    let now = clock::now();
    let observed_at = |age| query.observed_at(Duration::from_millis(age));
    if let Some((revision, age)) = response.config {
        gateway.record_peer_confirmation(revision, observed_at(age));
    }
    if let Some(list) = response.evacuations {
        let position = StorePosition {
            era: list.era,
            revision: list.revision,
        };
        let at = observed_at(list.age);
        gateway.change_evacuations("vm", |evacuations| {
            evacuations.apply_list(list.zones, position, at)
        });
    }
    // Without the pages before it, a later one is of no use: its changes are not all since this VM's position.
    let is_next = !response.continues || is_continued(gateway, from);
    if !is_next {
        return;
    }
    if let Some(page) = response.page {
        let since = page.changes.position();
        let events = page.changes.into_events(now);
        if since != gateway.targets_position() || !gateway.has_read(ObjectKind::Targets) {
            return;
        }
        gateway.change_targets(|directory| {
            directory.record_certain_view(from, now);
            directory.apply_part(events, since, now)
        });
        if gateway.targets_position() == since {
            *lock(&gateway.unfinished_pages) = Some(UnfinishedPages {
                source: from,
                since,
                after: page.next.clone(),
                retries: 0,
            });
            send_query(gateway, socket, Some(page.next), from);
        }
    } else if let Some(update) = response.targets {
        *lock(&gateway.unfinished_pages) = None;
        let (position, at) = (update.position(), observed_at(update.age));
        lock(&gateway.store_evidence).record_response(at, at);
        let events = update.into_events(now);
        gateway.change_targets(|directory| {
            directory.record_certain_view(from, now);
            directory.apply_changes(events, (position, at), now)
        });
    } else if response.targets_uncertain {
        gateway.change_targets(|directory| {
            let complete_at = directory.complete_at();
            if complete_at.is_none_or(|at| at + QUERY_INTERVAL * MAX_LOST_QUERIES < now) {
                directory.record_uncertain_view(from);
            }
            Vec::new()
        });
    }
}
