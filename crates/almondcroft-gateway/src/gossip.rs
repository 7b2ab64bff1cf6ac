//! Gossip between the VMs of the fleet: the load that each puts on the targets, and which requests
//! crash targets.
//!
//! Load reports of targets arrive late, and two VMs that read the same report would choose the same
//! target. Each VM knows exactly what it sent, so it sends this load to its peers in small
//! datagrams. A lost datagram is made up for by the next one. VMs discover each other through a
//! list in the platform's store.

mod digests;
mod loans;
mod message;
mod stored_refusals;
mod watchers;

pub(crate) use loans::{Borrowed, LoanDesk, borrow};
pub(crate) use message::{AgeMs, TargetUpdate, age_ms};
pub(crate) use watchers::UnfinishedPages;

use crate::adapter::{ControlCall, Item, ObjectKind, VmEntry};
use crate::clock;
use crate::runtime::{sleep, spawn_forever};
use crate::state::{Departure, Gateway, lock};
use crate::store::{CALL_TIMEOUT, StoreClient, StoreError, StoreResponse};
use crate::unreadable_objects::UnreadableObjects;
use almondcroft_core::gateway::{EntryRemoval, GossipFanout};
use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::{Revision, Timestamp, VmId};
use futures_lite::future::or;
use message::{Datagram, SnapshotMessage};
use rand::Rng;
use rand::seq::index;
use smol::Async;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two gossip rounds; each sends the current state to a few peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(120);

/// Time for which changes are batched, so that requests that start together need only one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(8);

/// Time between two reads of the list of VMs at the start, when others start too, and while no peer is
/// known.
const ALONE_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time over which VMs spread their registrations after a restoration of the store.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(2);

/// Maximum size of a datagram, in bytes; targets beyond the few hundred that fit are left out.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Time between two checks whether a VM that stops has spent nothing of its share of the retry budget in the last window.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(250);

/// Status of the store's response to a registration if the object already exists.
const CONFLICT_STATUS: u16 = 409;

/// Starts gossip if the settings have an address for it.
pub(crate) fn start(gateway: &Arc<Gateway>) -> io::Result<()> {
    let Some(address) = gateway.settings.peers else {
        return Ok(());
    };
    let socket = Arc::new(Async::<UdpSocket>::bind(address)?);
    let shared = (Arc::clone(gateway), socket);
    run_forever(&shared, receive_datagrams);
    run_forever(&shared, send_snapshots);
    run_forever(&shared, digests::send_digests);
    run_forever(&shared, watchers::send_queries);
    run_forever(&shared, loans::send_messages);
    run_forever(&shared, move |gateway, _| discover_peers(gateway, address));
    run_forever(&shared, move |gateway, _| {
        stored_refusals::keep_stored(gateway, address)
    });
    Ok(())
}

/// Runs a task of gossip, and again if it panics.
fn run_forever<F: Future<Output = ()> + Send + 'static>(
    (gateway, socket): &(Arc<Gateway>, Arc<Async<UdpSocket>>),
    task: impl Fn(Arc<Gateway>, Arc<Async<UdpSocket>>) -> F + Send + Sync + 'static,
) {
    let (gateway, socket) = (Arc::clone(gateway), Arc::clone(socket));
    spawn_forever(move || task(Arc::clone(&gateway), Arc::clone(&socket)));
}

/// Removes this VM from the list, so that its peers stop sending to it.
///
/// The entry of a VM that has spent of its share of the retry budget stays for the rest of the window, or if the process
/// ends before, until it starts again.
pub(crate) async fn unregister(gateway: Arc<Gateway>) {
    if gateway.settings.peers.is_none() {
        return;
    }
    // Until then, a process that follows must see that one before it may have spent its share.
    while !gateway.give_up_budget_share(clock::now()) {
        sleep(GIVE_UP_INTERVAL).await;
    }
    let mut client = StoreClient::new(gateway.settings.store);
    let call = gateway.registry.unregister(&gateway.settings.vm);
    if let Err(error) = client.call(&gateway, &call, CALL_TIMEOUT).await {
        // The stale entry costs each peer one datagram per round.
        log::info!(event = "unregister-failed", error:% = error; "");
    }
}

async fn receive_datagrams(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (count, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(event = "news-failed", error:% = error; "");
                sleep(GOSSIP_INTERVAL).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..count]) {
            Ok(Datagram::Snapshot(message)) => apply_snapshot(&gateway, message, from),
            Ok(Datagram::Digest(message)) => digests::apply(&gateway, &socket, message, from),
            Ok(Datagram::Query(query)) => {
                send(&socket, &watchers::respond(&gateway, &query), from);
            }
            Ok(Datagram::Response(response)) => {
                watchers::apply_response(&gateway, &socket, response, from);
            }
            Ok(Datagram::LoanRequest(request)) => {
                send(&socket, &loans::respond(&gateway, &request), from);
            }
            Ok(Datagram::Loan(loan)) => gateway.loans.apply(loan),
            Ok(Datagram::LoanEnd(end)) => loans::apply_end(&gateway, end),
            Err(error) => log::warn!(event = "news-unreadable", from:% = from, error:% = error; ""),
        }
    }
}

fn apply_snapshot(gateway: &Gateway, message: SnapshotMessage, from: SocketAddr) {
    let now = clock::now();
    if message.vm == gateway.settings.vm {
        return;
    }
    let entry = VmEntry::new(from, message.zone.clone());
    let previous = lock(&gateway.peers).insert(message.vm.clone(), entry);
    if previous.is_none() {
        let peers = lock(&gateway.peers);
        lock(&gateway.fleet).set_registered_vms(peers.keys());
        lock(&gateway.budget_share).record_vms(vm_count(peers.len()), now);
        log::info!(event = "vm-heard", vm = message.vm.as_str(), address:% = from; "");
    }
    merge_observations(gateway, &message, now);
    for departure in &message.departures {
        gateway.apply_departure(departure, &message.vm);
    }
    for removal in message.entry_removals() {
        gateway.apply_removal(&removal, now);
    }
    gateway.record_config_revision(message.config);
    let vm = message.vm.clone();
    lock(&gateway.fleet).apply_snapshot(vm, message.into_snapshot(now));
}

/// Records what a peer or a zone knows of crashes of targets and of the limits that they state.
fn merge_observations(gateway: &Gateway, message: &SnapshotMessage, now: Timestamp) {
    let mut quarantine = lock(&gateway.quarantine);
    message.merge_into(&mut quarantine, now);
    drop(quarantine);
    lock(&gateway.prompt_quarantine).merge(&message.part_evidence(), now);
    lock(&gateway.fleet).merge_stated_limits(&message.stated_limits(), now);
}

async fn send_snapshots(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let mut sender = SnapshotSender {
        gateway,
        fanout: GossipFanout::default(),
        crashes: Vec::new(),
        part_changes: 0,
        part_trials: 0,
        departures: Vec::new(),
        removals: Vec::new(),
        config_revision: 0,
    };
    loop {
        let elapsed = async {
            sleep(GOSSIP_INTERVAL).await;
            false
        };
        let changed = async {
            sender.gateway.gossip_requested().await;
            sleep(BATCH_DELAY).await;
            true
        };
        let changed = or(changed, elapsed).await;
        let (bytes, peers) = sender.next_datagram(changed, clock::now());
        for peer in peers {
            send(&socket, &bytes, peer);
        }
    }
}

/// Sends this VM's state to its peers and remembers what it sent last.
struct SnapshotSender {
    gateway: Arc<Gateway>,
    fanout: GossipFanout,
    crashes: Vec<(Fingerprint, u32)>,
    part_changes: u64,
    part_trials: u64,
    departures: Vec<Departure>,
    removals: Vec<EntryRemoval>,
    config_revision: Revision,
}

impl SnapshotSender {
    /// Returns the next datagram and its recipients.
    fn next_datagram(&mut self, changed: bool, now: Timestamp) -> (Vec<u8>, Vec<SocketAddr>) {
        let gateway = &self.gateway;
        let snapshot = gateway.local_snapshot(now);
        let crashes = lock(&gateway.quarantine).crash_counts(now);
        let quarantine = lock(&gateway.prompt_quarantine);
        let parts = quarantine.evidence(now);
        let (part_changes, part_trials) = (quarantine.change_count(), quarantine.trial_count());
        drop(quarantine);
        let (departures, removals) = (gateway.departures(now), gateway.removals(now));
        let config_revision = gateway
            .config_confirmation()
            .map_or(0, |(revision, _)| revision);
        let config_changed =
            config_revision != self.config_revision && gateway.queried_watchers(now).is_none();
        let departed = departures
            .iter()
            .any(|departure| !self.departures.contains(departure))
            || removals
                .iter()
                .any(|removal| !self.removals.contains(removal));
        let vm = gateway.settings.vm.clone();
        let message = SnapshotMessage::new(vm, &snapshot, crashes.clone(), departures.clone())
            .with_removals(&removals)
            .with_config(config_revision)
            .with_quarantine(&lock(&gateway.quarantine), now)
            .with_parts(parts)
            .with_limits(lock(&gateway.fleet).stated_limits(now));
        let urgent = config_changed || departed || part_trials != self.part_trials;
        let peers = self.peer_addresses(urgent || !gateway.is_large_fleet());
        let indices = if urgent {
            (0..peers.len()).collect()
        } else if changed || crashes != self.crashes || part_changes != self.part_changes {
            let count = self.fanout.take(peers.len(), now);
            index::sample(&mut rand::rng(), peers.len(), count).into_vec()
        } else {
            self.fanout.refresh_peers(peers.len(), GOSSIP_INTERVAL)
        };
        self.crashes = crashes;
        (self.part_changes, self.part_trials) = (part_changes, part_trials);
        (self.departures, self.removals) = (departures, removals);
        self.config_revision = config_revision;
        let recipients = indices.into_iter().map(|index| peers[index]).collect();
        (message.encode(MAX_DATAGRAM_BYTES), recipients)
    }

    /// Lists the addresses of the peers in a stable order: of all, or of those that no digest reaches.
    fn peer_addresses(&self, all: bool) -> Vec<SocketAddr> {
        let own = &self.gateway.settings.zone;
        let peers = lock(&self.gateway.peers);
        let peers = peers
            .values()
            .filter(|entry| all || !digests::is_elsewhere(entry, own));
        let mut addresses: Vec<SocketAddr> = peers.map(|entry| entry.address).collect();
        addresses.sort_unstable();
        addresses
    }
}

fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: SocketAddr) {
    // The next datagram makes up for a lost one.
    if let Err(error) = socket.get_ref().send_to(bytes, to) {
        log::debug!(event = "news-lost", to:% = to, error:% = error; "");
    }
}

/// Reads the list of VMs in the store and registers this VM there.
async fn discover_peers(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut client = StoreClient::new(gateway.settings.store);
    let mut unreadable = UnreadableObjects::default();
    let (own, zone) = (gateway.settings.vm.clone(), &gateway.settings.zone);
    let (mut registered, mut listed_before) = (false, false);
    let started_at = clock::now();
    let mut was_listed = false;
    loop {
        let starting = clock::now() < started_at + ALONE_LIST_INTERVAL * 2;
        let call = gateway.registry.list(ObjectKind::Vms, None);
        let asked_at = clock::now();
        match list_peers(&gateway, &mut client, &mut unreadable, &call).await {
            Ok(entries) => {
                was_listed |= !registered && entries.contains_key(&own);
                let vms = vm_count(entries.keys().filter(|vm| **vm != own).count());
                lock(&gateway.budget_share).record_list(vms, asked_at);
                if !std::mem::replace(&mut listed_before, true) {
                    *lock(&gateway.registration) = entries.get(&own).cloned();
                    stored_refusals::restore(&gateway, entries.values());
                }
                // An entry of this VM's last process is as good as a new one.
                let listed = entries.get(&own);
                let is_listed =
                    listed.is_some_and(|own| (own.address, &own.zone) == (address, zone));
                // The list may be older than a registration at the start.
                registered = is_listed || (registered && starting);
            }
            Err(error) => log::info!(event = "vms-unknown", error:% = error; ""),
        }
        gateway.mark_peers_listed();
        if !registered && !gateway.lifecycle.is_draining() {
            let entry = stored_refusals::entry(&gateway, address);
            let call = gateway.registry.register(&own, &entry);
            registered = match client.call(&gateway, &call, CALL_TIMEOUT).await {
                Ok(_) => {
                    *lock(&gateway.registration) = Some(entry);
                    true
                }
                Err(StoreError::Status(CONFLICT_STATUS)) => {
                    let mut registration = lock(&gateway.registration);
                    registration.get_or_insert(VmEntry::new(address, zone.clone()));
                    was_listed = true;
                    true
                }
                Err(error) => {
                    // It may have been done, so a conflict of the next one would tell nothing.
                    was_listed = true;
                    log::info!(event = "register-failed", error:% = error; "");
                    false
                }
            };
        }
        if registered {
            lock(&gateway.budget_share).record_registration(!was_listed, clock::now());
        }
        let first = clock::now() < started_at + ALONE_LIST_INTERVAL;
        let alone = lock(&gateway.peers).is_empty();
        let interval = sleep(if alone || first {
            ALONE_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        });
        let restored = async {
            gateway.store_restored().await;
            let spread = rand::rng().random_range(0.0..1.0);
            sleep(REGISTRATION_SPREAD.mul_f64(spread)).await;
        };
        or(restored, interval).await;
    }
}

/// Returns the number of VMs that a VM with so many peers knows, itself included.
fn vm_count(peers: usize) -> u32 {
    u32::try_from(peers + 1).unwrap_or(u32::MAX)
}

/// Replaces the peers by those listed in the store; returns the entries of all VMs.
async fn list_peers(
    gateway: &Gateway,
    client: &mut StoreClient,
    unreadable: &mut UnreadableObjects,
    call: &ControlCall,
) -> Result<HashMap<VmId, VmEntry>, StoreError> {
    let StoreResponse { body, .. } = client.call(gateway, call, CALL_TIMEOUT).await?;
    let batch = gateway
        .registry
        .read_list(ObjectKind::Vms, &body, clock::now())
        .map_err(StoreError::Unreadable)?;
    unreadable.log(ObjectKind::Vms, &batch.items);
    let entries = batch.items.into_iter().filter_map(|item| match item {
        Item::Vm(name, entry) => Some((name, entry?)),
        _ => None,
    });
    let entries: HashMap<VmId, VmEntry> = entries.collect();
    let mut peers = entries.clone();
    peers.remove(&gateway.settings.vm);
    lock(&gateway.fleet).set_registered_vms(peers.keys());
    *lock(&gateway.peers) = peers;
    Ok(entries)
}
