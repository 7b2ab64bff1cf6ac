//! The other VMs: the lagging list, probes and what calls reveal.

use crate::app::{App, lock};
use crate::runtime::sleep;
use almondcroft_core::membership::{Evidence, HealthTable, neighbours};
use almondcroft_core::{Incarnation, Timestamp, VmId};
use almondcroft_proto::object::{STATUS_PREFIX, VmStatus};
use almondcroft_proto::peer::{CONFIG_METHOD, ConfigResponse, GOSSIP_METHOD, GossipMessage};
use almondcroft_proto::vm_list::{VmEntry, VmState};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trillium::Method;

/// Time between two probes of a neighbour.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a neighbour to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two reads of a short VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// VMs for each of which the list is read more rarely, so that its bytes a second stay the same.
const LIST_STEP: usize = 10;

/// Neighbours that each VM probes.
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
}

/// Knows the VMs and their health.
#[derive(Debug)]
pub(crate) struct Members {
    me: VmId,
    state: Mutex<State>,
}

impl Members {
    pub(crate) fn new(me: VmId) -> Self {
        Self {
            me,
            state: Mutex::default(),
        }
    }

    /// Takes over the VM list; VMs that it does not name any longer are forgotten.
    pub(crate) fn set_list(&self, entries: &[VmEntry], now: Timestamp) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        for entry in entries {
            let member = state.members.entry(entry.id.clone()).or_insert(Member {
                address: String::new(),
                incarnation: None,
            });
            member.address.clone_from(&entry.address);
            if entry.state == VmState::Leaving {
                state.health.observe(&entry.id, Evidence::Leaving, now);
            }
        }
        let listed = |id: &str| entries.iter().any(|entry| entry.id == id);
        state.members.retain(|id, _| listed(id));
        state.health.retain(listed);
    }

    /// Takes in evidence about a VM.
    pub(crate) fn observe(&self, vm: &VmId, evidence: Evidence, now: Timestamp) {
        if *vm != self.me {
            lock(&self.state).health.observe(vm, evidence, now);
        }
    }

    /// Notes which run of a VM's process spoke.
    pub(crate) fn note_hello(&self, hello: &GossipMessage, now: Timestamp) {
        let mut state = lock(&self.state);
        if let Some(member) = state.members.get_mut(&hello.vm) {
            member.incarnation = Some(hello.incarnation);
        }
        let evidence = if hello.leaving {
            Evidence::Leaving
        } else {
            Evidence::Answered
        };
        state.health.observe(&hello.vm, evidence, now);
    }

    /// Returns the VMs that take part, this one included.
    pub(crate) fn alive(&self, now: Timestamp) -> Vec<VmId> {
        let state = lock(&self.state);
        let mut alive: Vec<VmId> = state
            .members
            .keys()
            .filter(|id| **id == self.me || state.health.usable(id, now))
            .cloned()
            .collect();
        if !alive.contains(&self.me) {
            alive.push(self.me.clone());
        }
        alive
    }

    /// Returns all VMs of the list.
    pub(crate) fn listed(&self) -> Vec<VmId> {
        lock(&self.state).members.keys().cloned().collect()
    }

    pub(crate) fn address(&self, vm: &VmId) -> Option<String> {
        let state = lock(&self.state);
        state.members.get(vm).map(|member| member.address.clone())
    }

    /// Returns whether a run of a VM's process is known to have ended.
    pub(crate) fn is_gone(&self, vm: &VmId, incarnation: Incarnation, now: Timestamp) -> bool {
        let state = lock(&self.state);
        let Some(member) = state.members.get(vm) else {
            return true;
        };
        let other = member.incarnation.is_some_and(|known| known != incarnation);
        other || !state.health.usable(vm, now)
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
            let steps = listing.members.listed().len().div_ceil(LIST_STEP).max(1);
            sleep(LIST_INTERVAL * u32::try_from(steps).unwrap_or(u32::MAX)).await;
        }
    });
}

async fn read_list(app: &Arc<App>) {
    let Some(url) = &app.settings.vm_list else {
        return;
    };
    let call = app
        .outbound
        .call(Method::Get, url, &[], Vec::new(), LIST_INTERVAL);
    let Ok(mut conn) = call.await else {
        return;
    };
    let body = crate::http::Outbound::read_body(&mut conn, MAX_LIST_BYTES, LIST_INTERVAL).await;
    conn.recycle().await;
    let entries = body
        .ok()
        .and_then(|bytes| serde_json::from_slice::<Vec<VmEntry>>(&bytes).ok());
    if let Some(entries) = entries {
        let now = app.clock.now();
        app.members.set_list(&entries, now);
        let count = app.members.alive(now).len();
        app.routing
            .set_vms(u32::try_from(count).unwrap_or(u32::MAX), now);
    }
}

/// Says what this VM knows.
pub(crate) fn hello(app: &App) -> GossipMessage {
    GossipMessage {
        vm: app.settings.vm.clone(),
        incarnation: app.incarnation,
        leaving: app.lifecycle.is_draining(),
        revision: app.revision(),
        observations: Vec::new(),
        crashes: app.quarantine().crash_counts(app.clock.now()),
    }
}

/// Tells the neighbours at once what is new.
pub(crate) async fn probe_neighbours(app: &Arc<App>) {
    let listed = app.members.listed();
    let chosen = neighbours(&app.settings.vm, &listed, NEIGHBOURS);
    let mut message = hello(app);
    message.observations = app.take_news();
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
        Ok(answer) => take_hello(app, &answer).await,
        Err(_) => app.members.observe(vm, Evidence::TimedOut, app.clock.now()),
    }
}

/// Takes in what a peer said; fetches its configuration if that is newer.
pub(crate) async fn take_hello(app: &Arc<App>, hello: &GossipMessage) {
    let now = app.clock.now();
    app.members.note_hello(hello, now);
    for item in &hello.observations {
        app.spread_evidence(&item.target, item.evidence, item.hops);
    }
    for (fingerprint, count) in &hello.crashes {
        app.quarantine().merge(*fingerprint, *count, now);
    }
    if hello.revision > app.revision() {
        fetch_config(app, &hello.vm).await;
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
    if let Ok(answer) = call.await
        && app.offer_config(answer.config)
    {
        announce(app).await;
    }
}

/// Tells the neighbours and the store that a new configuration is in force.
///
/// The neighbours hear of it at once, so that it passes round the ring hop by hop within the time
/// of a few calls even when the store is away.
pub(crate) async fn announce(app: &Arc<App>) {
    crate::runtime::spawn(tell_neighbours(Arc::clone(app)));
    confirm(app).await;
}

/// Probes the neighbours once; boxed, since a probe can lead to an announcement.
fn tell_neighbours(app: Arc<App>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { probe_neighbours(&app).await })
}

/// Writes to the store which revision this VM has in force.
async fn confirm(app: &Arc<App>) {
    let status = VmStatus {
        vm: app.settings.vm.to_string(),
        incarnation: app.incarnation,
        address: app.url(),
        revision: app.revision(),
        at_ms: app.clock.now_ms(),
    };
    let key = format!("{STATUS_PREFIX}{}", app.settings.vm);
    let bytes = serde_json::to_vec(&status).expect("a status serializes");
    if app.store.put_any(&key, bytes).await.is_err() {
        log::warn!(event = "confirm-failed", revision = status.revision; "");
    }
}
