//! Digests of the load between availability zones.
//!
//! In a large fleet, each VM sends snapshots of its own load only to the VMs of its zone, so that the
//! bytes between zones do not grow with the square of the fleet. In each zone, two VMs that all select
//! alike send the sums of their zone to one VM of each other zone, a different one each time, and that
//! VM passes them on within its zone.

use super::message::{Datagram, DigestMessage};
use super::{MAX_DATAGRAM_BYTES, merge_observations, send};
use crate::adapter::VmEntry;
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use almondcroft_core::ZoneId;
use rand::seq::IteratorRandom;
use smol::Async;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests of one VM; the delay between regions is a tenth of it.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Number of VMs that send the digests of a zone; more than one in case one is unreachable.
const SENDERS: usize = 2;

/// Returns whether a VM is in another zone, so that digests reach it.
pub(super) fn is_elsewhere(entry: &VmEntry, own: &ZoneId) -> bool {
    !entry.zone.is_empty() && entry.zone != *own
}

/// Sends the digest of the zone at each interval, if this VM is selected to do so.
pub(super) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let own = gateway.settings.vm.clone();
    loop {
        sleep(DIGEST_INTERVAL).await;
        let now = clock::now();
        let selected = lock(&gateway.fleet).select_in_zone(SENDERS, now);
        if !gateway.is_large_fleet() || !selected.contains(&own) {
            continue;
        }
        let local = gateway.local_snapshot(now);
        let digest = lock(&gateway.fleet).zone_digest(local, now);
        let crashes = lock(&gateway.quarantine).crash_counts(now);
        let parts = lock(&gateway.prompt_quarantine).evidence(now);
        let message = DigestMessage::new(own.clone(), &digest, crashes).with_parts(parts);
        let message = message.with_quarantine(&lock(&gateway.quarantine), now);
        let message = message.with_limits(lock(&gateway.fleet).stated_limits(now));
        let bytes = message.encode(MAX_DATAGRAM_BYTES);
        for address in one_per_zone(&gateway) {
            send(&socket, &bytes, address);
        }
    }
}

/// Chooses a random VM of each other zone.
fn one_per_zone(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = &gateway.settings.zone;
    let mut zones: BTreeMap<ZoneId, Vec<SocketAddr>> = BTreeMap::new();
    for entry in lock(&gateway.peers).values() {
        if is_elsewhere(entry, own) {
            let addresses = zones.entry(entry.zone.clone()).or_default();
            addresses.push(entry.address);
        }
    }
    let addresses = zones.into_values();
    addresses
        .filter_map(|addresses| addresses.into_iter().choose(&mut rand::rng()))
        .collect()
}

/// Applies a digest of another zone and passes it on within this zone, unless that was done.
pub(super) fn apply(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    mut message: DigestMessage,
    from: SocketAddr,
) {
    let own = &gateway.settings.zone;
    if message.sums.zone == *own {
        return;
    }
    if !message.forwarded {
        message.forwarded = true;
        let bytes = Datagram::Digest(message.clone()).encode();
        let peers: Vec<SocketAddr> = lock(&gateway.peers)
            .values()
            .filter(|entry| entry.zone == *own && entry.address != from)
            .map(|entry| entry.address)
            .collect();
        for address in peers {
            send(socket, &bytes, address);
        }
    }
    let now = clock::now();
    merge_observations(gateway, &message.sums, now);
    let zone = message.sums.zone.clone();
    lock(&gateway.fleet).apply_digest(zone, message.into_digest(now));
}
