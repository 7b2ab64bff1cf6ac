//! Membership of the other VMs, from the delayed VM list, probes and the results of calls.

use crate::app::{App, lock};
use crate::runtime::sleep;
use almondcroft_core::membership::{Evidence, HealthTable, neighbours};
use almondcroft_core::{Incarnation, Timestamp, VmId};
use almondcroft_proto::object::{STATUS_PREFIX, VmStatus};
use almondcroft_proto::peer::{CONFIG_METHOD, ConfigResponse, GOSSIP_METHOD, GossipMessage};
use almondcroft_proto::vm_list::{VmList, VmState};
use std::collections::{BTreeMap, VecDeque};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trillium::Method;

/// Time between two probes of a neighbour.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a neighbour to respond to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two reads of a VM list of at most [`VMS_PER_INTERVAL`] VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Number of listed VMs for which the time between two reads grows by one [`LIST_INTERVAL`].
///
/// A longer list is read less often, so that the bytes read per second stay the same.
const VMS_PER_INTERVAL: usize = 10;

/// Number of reads of the list after which it shows each VM that exists.
const LISTS_UNTIL_SHOWN: u32 = 2;

/// Maximum number of VMs that are remembered although the list does not show them.
const MAX_UNLISTED: usize = 1_000;

/// Number of neighbours that each VM probes.
const NEIGHBOURS: usize = 2;

/// Largest VM list, in bytes.
const MAX_LIST_BYTES: usize = 1024 * 1024;

#[derive(Debug, Clone)]
struct Member {
    address: String,
    incarnation: Option<Incarnation>,
}

#[derive(Debug, Default)]
struct State {
    members: BTreeMap<VmId, Member>,
    health: HealthTable,
    /// VMs that were removed from the list, the newest last.
    removed: VecDeque<VmId>,
    /// Numbers of unreadable entries of the last list, with and without an id.
    unreadable: (usize, usize),
    /// VMs that the list has never shown, and when this VM first heard of them.
    unlisted: BTreeMap<VmId, Timestamp>,
}

impl State {
    /// Returns whether a VM that is not in the list has ended: it was removed from the list, or the list
    /// has had the time to show it.
    fn has_unlisted_ended(&mut self, vm: &VmId, now: Timestamp) -> bool {
        if self.removed.contains(vm) {
            return true;
        }
        let limit = list_interval(self.members.len()) * LISTS_UNTIL_SHOWN;
        if self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.clear();
        }
        let heard_at = *self.unlisted.entry(vm.clone()).or_insert(now);
        now >= heard_at + limit
    }

    fn record_removal(&mut self, vm: VmId) {
        self.removed.push_back(vm);
        if self.removed.len() > MAX_UNLISTED {
            self.removed.pop_front();
        }
    }
}

/// Holds the listed VMs and their health.
#[derive(Debug)]
pub(crate) struct Members {
    local_vm: VmId,
    state: Mutex<State>,
}

impl Members {
    pub(crate) fn new(local_vm: VmId) -> Self {
        Self {
            local_vm,
            state: Mutex::default(),
        }
    }

    /// Applies the VM list and removes VMs that are no longer in it.
    ///
    /// A VM whose entry cannot be read stays as it was: one that was removed counts as ended, and its calls may be
    /// claimed by others.
    pub(crate) fn apply_list(&self, list: &VmList, now: Timestamp) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        for entry in &list.entries {
            let member = state.members.entry(entry.id.clone()).or_insert(Member {
                address: String::new(),
                incarnation: None,
            });
            member.address.clone_from(&entry.address);
            if entry.state == VmState::Leaving {
                state.health.observe(&entry.id, Evidence::Leaving, now);
            }
        }
        let listed = |id: &str| list.contains(id);
        // Any VM may be the one whose entry has no id.
        let may_be_listed = |id: &str| list.unknown > 0 || listed(id);
        let removed = state.members.extract_if(.., |id, _| !may_be_listed(id));
        let removed: Vec<VmId> = removed.map(|(id, _)| id).collect();
        state.removed.retain(|id| !listed(id));
        state.unlisted.retain(|id, _| !listed(id));
        for id in removed {
            state.record_removal(id);
        }
        state.health.retain(may_be_listed);
    }

    /// Records the numbers of unreadable entries, with and without an id; returns whether there are others than before.
    fn record_unreadable(&self, with_id: usize, without_id: usize) -> bool {
        let known = &mut lock(&self.state).unreadable;
        let is_new = *known != (with_id, without_id) && with_id + without_id > 0;
        *known = (with_id, without_id);
        is_new
    }

    /// Records evidence about another VM.
    pub(crate) fn observe(&self, vm: &VmId, evidence: Evidence, now: Timestamp) {
        if *vm != self.local_vm {
            lock(&self.state).health.observe(vm, evidence, now);
        }
    }

    /// Records the incarnation and the health of the VM that sent a gossip message.
    pub(crate) fn record_gossip(&self, message: &GossipMessage, now: Timestamp) {
        let mut state = lock(&self.state);
        if let Some(member) = state.members.get_mut(&message.vm) {
            member.incarnation = Some(message.incarnation);
        }
        let evidence = if message.leaving {
            Evidence::Leaving
        } else {
            Evidence::Answered
        };
        state.health.observe(&message.vm, evidence, now);
    }

    /// Returns the reachable VMs, including this one.
    pub(crate) fn reachable_vms(&self, now: Timestamp) -> Vec<VmId> {
        let state = lock(&self.state);
        let mut reachable: Vec<VmId> = state
            .members
            .keys()
            .filter(|id| **id == self.local_vm || state.health.usable(id, now))
            .cloned()
            .collect();
        if !reachable.contains(&self.local_vm) {
            reachable.push(self.local_vm.clone());
        }
        reachable
    }

    /// Returns all VMs of the list.
    pub(crate) fn listed(&self) -> Vec<VmId> {
        lock(&self.state).members.keys().cloned().collect()
    }

    pub(crate) fn address(&self, vm: &VmId) -> Option<String> {
        let state = lock(&self.state);
        state.members.get(vm).map(|member| member.address.clone())
    }

    /// Returns whether an incarnation of a VM counts as ended.
    ///
    /// It does if the VM was removed from the list, has restarted, is leaving or does not respond. A VM
    /// that the list does not show yet counts as ended once the list has had the time to show it.
    pub(crate) fn has_ended(&self, vm: &VmId, incarnation: Incarnation, now: Timestamp) -> bool {
        let mut state = lock(&self.state);
        let Some(member) = state.members.get(vm) else {
            return state.has_unlisted_ended(vm, now);
        };
        let restarted = member.incarnation.is_some_and(|known| known != incarnation);
        restarted || !state.health.usable(vm, now)
    }
}

/// Starts the tasks that keep the membership up to date.
pub(crate) fn start(app: &Arc<App>) {
    let probing = Arc::clone(app);
    crate::runtime::spawn(async move {
        while !probing.lifecycle.is_crashed() {
            probe_neighbours(&probing).await;
            sleep(PROBE_INTERVAL).await;
        }
    });
    let listing = Arc::clone(app);
    crate::runtime::spawn(async move {
        while !listing.lifecycle.is_crashed() {
            read_list(&listing).await;
            sleep(list_interval(listing.members.listed().len())).await;
        }
    });
}

/// Returns the time between two reads of a list of `count` VMs.
fn list_interval(count: usize) -> Duration {
    let intervals = count.div_ceil(VMS_PER_INTERVAL).max(1);
    LIST_INTERVAL * u32::try_from(intervals).unwrap_or(u32::MAX)
}

async fn read_list(app: &Arc<App>) {
    let Some(url) = &app.settings.vm_list else {
        return;
    };
    let call = app
        .outbound
        .call(Method::Get, url, &[], Vec::new(), LIST_INTERVAL);
    let Ok(conn) = call.await else {
        return;
    };
    let body = crate::http::Outbound::read_body(conn, MAX_LIST_BYTES, LIST_INTERVAL).await;
    let Ok(bytes) = body else {
        return;
    };
    let list = VmList::read(&bytes);
    let (unreadable, unknown) = list
        .as_ref()
        .map_or((0, 1), |list| (list.unreadable.len(), list.unknown));
    if app.members.record_unreadable(unreadable, unknown) {
        log::warn!(event = "vm-list-unreadable", entries = unreadable, without_id = unknown,
            is_list = list.is_some(); "");
    }
    if let Some(list) = list {
        let now = app.clock.now();
        app.members.apply_list(&list, now);
        let count = app.members.reachable_vms(now).len();
        app.routing
            .set_vm_count(u32::try_from(count).unwrap_or(u32::MAX), now);
    }
}

/// Returns this VM's gossip message, without observations.
pub(crate) fn gossip_message(app: &App) -> GossipMessage {
    GossipMessage {
        vm: app.settings.vm.clone(),
        incarnation: app.incarnation,
        leaving: app.lifecycle.is_draining(),
        revision: app.revision(),
        observations: Vec::new(),
        crashes: app.quarantine().crash_counts(app.clock.now()),
    }
}

/// Probes the neighbours with a gossip message that carries the pending observations.
pub(crate) async fn probe_neighbours(app: &Arc<App>) {
    let listed = app.members.listed();
    let chosen = neighbours(&app.settings.vm, &listed, NEIGHBOURS);
    let mut message = gossip_message(app);
    message.observations = app.take_observations();
    let probes: Vec<_> = chosen
        .into_iter()
        .map(|vm| {
            let (app, message) = (Arc::clone(app), message.clone());
            async_global_executor::spawn(async move { probe(&app, &vm, &message).await })
        })
        .collect();
    for probe in probes {
        probe.await;
    }
}

async fn probe(app: &Arc<App>, vm: &VmId, message: &GossipMessage) {
    let Some(address) = app.members.address(vm) else {
        return;
    };
    let call = app
        .peers
        .call::<GossipMessage>(&address, GOSSIP_METHOD, message, PROBE_TIMEOUT);
    match call.await {
        Ok(response) => apply_gossip(app, &response).await,
        Err(_) => app.members.observe(vm, Evidence::TimedOut, app.clock.now()),
    }
}

/// Applies a peer's gossip message and fetches its configuration if that is newer.
pub(crate) async fn apply_gossip(app: &Arc<App>, message: &GossipMessage) {
    let now = app.clock.now();
    app.members.record_gossip(message, now);
    for item in &message.observations {
        app.apply_evidence(&item.target, item.evidence, item.hops);
    }
    for (fingerprint, count) in &message.crashes {
        app.quarantine().merge(*fingerprint, *count, now);
    }
    if message.revision > app.revision() {
        fetch_config(app, &message.vm).await;
    }
}

async fn fetch_config(app: &Arc<App>, vm: &VmId) {
    let Some(address) = app.members.address(vm) else {
        return;
    };
    let limit = Duration::from_secs(1);
    let known = app.revision();
    let call = app
        .peers
        .call::<ConfigResponse>(&address, CONFIG_METHOD, &known, limit);
    if let Ok(response) = call.await
        && app.offer_config(response.config)
    {
        announce_config(app).await;
    }
}

/// Announces a newly activated configuration to the neighbours and to the store.
///
/// The neighbours are probed at once, so that the revision spreads around the ring hop by hop,
/// within the time of a few calls, even when the store is unavailable.
pub(crate) async fn announce_config(app: &Arc<App>) {
    crate::runtime::spawn(probe_neighbours_boxed(Arc::clone(app)));
    write_status(app).await;
}

/// Probes the neighbours once; boxed because a probe can lead to another announcement.
fn probe_neighbours_boxed(app: Arc<App>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { probe_neighbours(&app).await })
}

/// Writes this VM's status with its current revision to the store.
async fn write_status(app: &Arc<App>) {
    let status = VmStatus {
        vm: app.settings.vm.to_string(),
        incarnation: app.incarnation,
        address: app.url(),
        revision: app.revision(),
        at_ms: app.clock.now_ms(),
    };
    let key = format!("{STATUS_PREFIX}{}", app.settings.vm);
    let bytes = serde_json::to_vec(&status).expect("a status serializes");
    if app.store.put_unconditional(&key, bytes).await.is_err() {
        log::warn!(event = "confirm-failed", revision = status.revision; "");
    }
}

#[cfg(test)]
mod tests;
