//! Digests of the load between regions.
//!
//! In a large fleet, each VM sends snapshots of its own load only to the VMs of its region, so that
//! the bytes between regions do not grow with the square of the fleet. In each region, two VMs that all
//! select alike send the sums of their region to one VM of each availability zone elsewhere, a different
//! one each time, and that VM passes them on within its zone.

use super::message::{Datagram, DigestMessage};
use super::{MAX_DATAGRAM_BYTES, send};
use crate::adapter::VmEntry;
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use almondcroft_core::{RegionId, ZoneId};
use rand::seq::IteratorRandom;
use smol::Async;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests of one VM; the delay between regions is a tenth of it.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Number of VMs that send the digests of a region; more than one in case one is unreachable.
const RELAYS: usize = 2;

/// Minimum number of peers with which digests are used; with fewer, single snapshots are smaller.
const MIN_PEERS: usize = 17;

/// Returns whether the load is sent to other regions in digests only.
pub(super) fn in_use(gateway: &Gateway) -> bool {
    lock(&gateway.peers).len() >= MIN_PEERS
}

/// Returns whether a VM is in another region, so that digests reach it.
pub(super) fn is_elsewhere(entry: &VmEntry, own: &RegionId) -> bool {
    !entry.region.is_empty() && entry.region != *own
}

/// Sends the digest of the region at each interval, if this VM is selected to do so.
pub(super) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let own = gateway.settings.vm.clone();
    loop {
        sleep(DIGEST_INTERVAL).await;
        let now = clock::now();
        let selected = lock(&gateway.fleet).select_relays(RELAYS, now);
        if !in_use(&gateway) || !selected.contains(&own) {
            continue;
        }
        let local = gateway.local_snapshot(now);
        let digest = lock(&gateway.fleet).region_digest(local, now);
        let crashes = lock(&gateway.quarantine).crash_counts(now);
        let bytes = DigestMessage::new(own.clone(), &digest, crashes).encode(MAX_DATAGRAM_BYTES);
        for address in one_per_zone(&gateway) {
            send(&socket, &bytes, address);
        }
    }
}

/// Chooses a random VM of each availability zone in other regions.
fn one_per_zone(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = &gateway.settings.region;
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

/// Applies a digest of another region and passes it on within this zone, unless that was done.
pub(super) fn apply(
    gateway: &Gateway,
    socket: &Async<UdpSocket>,
    mut message: DigestMessage,
    from: SocketAddr,
) {
    let own = &gateway.settings.region;
    if message.sums.region == *own {
        return;
    }
    if !message.forwarded {
        message.forwarded = true;
        let bytes = Datagram::Digest(message.clone()).encode();
        let peers: Vec<SocketAddr> = lock(&gateway.peers)
            .values()
            .filter(|entry| entry.zone == gateway.settings.zone && entry.address != from)
            .map(|entry| entry.address)
            .collect();
        for address in peers {
            send(socket, &bytes, address);
        }
    }
    let now = clock::now();
    let mut quarantine = lock(&gateway.quarantine);
    for (fingerprint, count) in &message.sums.crashes {
        quarantine.merge(*fingerprint, *count, now);
    }
    drop(quarantine);
    let region = message.sums.region.clone();
    lock(&gateway.fleet).apply_digest(region, message.into_digest(now));
}
