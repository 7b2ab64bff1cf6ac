//! State of a gateway; each part has its own lock.

mod hedges;
mod places;
mod retries;
mod store_view;
mod targets;

pub(crate) use retries::ExtraPermit;

use crate::adapter::{Dialect, Registry, VmEntry};
use crate::clock;
use crate::connection::Sender as SocketSender;
use crate::gossip::{LoanDesk, UnfinishedPages};
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::peer_view::ConfigDocument;
use crate::pool::ConnectionPool;
use crate::settings::{BackupRequests, Bounds, GatewaySettings};
use crate::write_queue::{SlowCallerRegistry, WriteQueue};
use almondcroft_core::gateway::{
    AllowedRegions, BudgetShare, ConfigFreshness, Demand, Directory, EntryRemoval, Evacuations,
    Fleet, FleetOptions, FleetRetryBudget, GatewayConfig, HedgePolicy, PeerSnapshot,
    PendingQueries, PlacedRequest, Placement, StoreEra, StoreEvidence, TargetPaths, TunnelPeer,
};
use almondcroft_core::quarantine::{PromptQuarantine, Quarantine};
use almondcroft_core::{RequestId, ServiceId, TargetId, Timestamp, VmId};
use async_channel::{Receiver, Sender, bounded};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A leaving target and its incarnation.
pub(crate) type Departure = (TargetId, u64);

/// Locks a part of the state.
pub(crate) fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Holds the state of one gateway.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) registry: Box<dyn Registry>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) metrics: Metrics,
    pub(crate) pool: ConnectionPool,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) prompt_quarantine: Mutex<PromptQuarantine>,
    pub(crate) target_paths: Mutex<TargetPaths>,
    pub(crate) store_evidence: Mutex<StoreEvidence>,
    pub(crate) peers: Mutex<HashMap<VmId, VmEntry>>,
    /// How this VM is registered, as far as it is known.
    pub(crate) registration: Mutex<Option<VmEntry>>,
    pub(crate) pending_queries: Mutex<PendingQueries>,
    pub(crate) unfinished_pages: Mutex<Option<UnfinishedPages>>,
    bounds: Mutex<Bounds>,
    config: Mutex<Option<Arc<GatewayConfig>>>,
    config_document: Mutex<Option<ConfigDocument>>,
    config_freshness: Mutex<ConfigFreshness>,
    directory: Mutex<Directory>,
    evacuations: Mutex<Evacuations>,
    store_era: Mutex<StoreEra>,
    restoration_signal: (Sender<()>, Receiver<()>),
    targets_listed: AtomicBool,
    peers_listed: AtomicBool,
    waiters: Mutex<HashMap<RequestId, Sender<Placement>>>,
    leave_notices: Mutex<HashMap<RequestId, Sender<()>>>,
    backup_requests: Mutex<Option<BackupRequests>>,
    hedge_policies: Mutex<HashMap<ServiceId, HedgePolicy>>,
    retry_budgets: Mutex<HashMap<ServiceId, FleetRetryBudget>>,
    pub(crate) budget_share: Mutex<BudgetShare>,
    pub(crate) loans: LoanDesk,
    next_request_id: AtomicU64,
    slow_callers: Arc<SlowCallerRegistry>,
    gossip_signal: (Sender<()>, Receiver<()>),
    departures: Mutex<VecDeque<(Timestamp, Departure)>>,
    removals: Mutex<VecDeque<(Timestamp, EntryRemoval)>>,
    /// Latest revision of the configuration that a peer announced.
    newest_revision: AtomicU64,
    config_signal: (Sender<()>, Receiver<()>),
    /// Value of the fleet's change counter at the last gossip request.
    announced_changes: AtomicU64,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        registry: Box<dyn Registry>,
    ) -> Arc<Self> {
        let fleet = Fleet::new(settings.vm.clone(), FleetOptions::default());
        let mut fleet = fleet.zone(settings.zone.clone());
        fleet.set_cold_bounds(settings.bounds.cold());
        let started_at = clock::now();
        let mut budget_share = BudgetShare::new(settings.bounds.vms, started_at);
        if settings.peers.is_none() {
            budget_share.record_registration(true, started_at);
        }
        Arc::new(Self {
            dialect,
            registry,
            lifecycle: Arc::default(),
            metrics: Metrics::new(),
            pool: ConnectionPool::default(),
            fleet: Mutex::new(fleet),
            quarantine: Mutex::default(),
            prompt_quarantine: Mutex::default(),
            target_paths: Mutex::default(),
            store_evidence: Mutex::new(StoreEvidence::new(settings.bounds.store_timing())),
            peers: Mutex::default(),
            registration: Mutex::default(),
            pending_queries: Mutex::default(),
            unfinished_pages: Mutex::default(),
            bounds: Mutex::new(settings.bounds),
            config: Mutex::default(),
            config_document: Mutex::default(),
            config_freshness: Mutex::new(ConfigFreshness::new(settings.bounds.revoke())),
            directory: Mutex::default(),
            evacuations: Mutex::default(),
            store_era: Mutex::default(),
            restoration_signal: bounded(1),
            targets_listed: AtomicBool::new(false),
            peers_listed: AtomicBool::new(false),
            waiters: Mutex::default(),
            leave_notices: Mutex::default(),
            backup_requests: Mutex::new(settings.backup_requests.clone()),
            hedge_policies: Mutex::default(),
            retry_budgets: Mutex::default(),
            budget_share: Mutex::new(budget_share),
            loans: LoanDesk::default(),
            next_request_id: AtomicU64::new(1),
            slow_callers: Arc::new(SlowCallerRegistry::new(settings.slow_caller_budget())),
            gossip_signal: bounded(1),
            departures: Mutex::default(),
            removals: Mutex::default(),
            newest_revision: AtomicU64::new(0),
            config_signal: bounded(1),
            announced_changes: AtomicU64::new(0),
            settings,
        })
    }

    /// Creates the queue of responses on a caller's connection.
    pub(crate) fn open_write_queue(&self, sender: SocketSender) -> WriteQueue {
        WriteQueue::new(sender, &self.slow_callers)
    }

    /// Returns the active bounds.
    pub(crate) fn bounds(&self) -> Bounds {
        *lock(&self.bounds)
    }

    /// Replaces the active bounds; requests in flight continue.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        *lock(&self.bounds) = bounds;
        lock(&self.config_freshness).set_max_age(bounds.revoke());
        lock(&self.fleet).set_cold_bounds(bounds.cold());
        lock(&self.budget_share).set_assumed(bounds.vms);
        for budget in lock(&self.retry_budgets).values_mut() {
            budget.set_budget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window(),
            );
        }
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Option<Arc<GatewayConfig>> {
        lock(&self.config).clone()
    }

    /// Returns whether keys may be accepted.
    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        lock(&self.config_freshness).is_fresh(now)
    }

    /// Returns the time since the configuration was last confirmed as the newest.
    pub(crate) fn config_age(&self, now: Timestamp) -> Option<Duration> {
        lock(&self.config_freshness)
            .confirmed_at()
            .map(|at| now.saturating_sub(at))
    }

    /// Records that the active configuration was the newest at a time, unless a peer has a later one.
    pub(crate) fn confirm_config(&self, at: Timestamp) {
        if !self.is_config_announced() {
            lock(&self.config_freshness).confirm(at);
        }
    }

    /// Activates a configuration unless a later one is already active; returns whether it did.
    pub(crate) fn offer_config(&self, config: GatewayConfig) -> bool {
        let mut current = lock(&self.config);
        let newer = current
            .as_ref()
            .is_none_or(|held| config.revision > held.revision);
        if newer {
            lock(&self.fleet).set_pools(config.pools.clone(), clock::now());
            *current = Some(Arc::new(config));
        }
        newer
    }

    /// Returns whether the load balancer should send callers to this VM.
    pub(crate) fn is_ready(&self, now: Timestamp) -> bool {
        let listed = self.targets_listed.load(Ordering::Relaxed);
        !self.lifecycle.is_draining() && listed && self.config().is_some() && self.is_fresh(now)
    }

    /// Records that the targets were listed once; before that every service appears to have none.
    pub(crate) fn mark_targets_listed(&self) {
        self.targets_listed.store(true, Ordering::Relaxed);
    }

    /// Records that the list of VMs was read, or could not be read.
    pub(crate) fn mark_peers_listed(&self) {
        self.peers_listed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the list of VMs was read, or could not be read.
    pub(crate) fn are_peers_listed(&self) -> bool {
        self.peers_listed.load(Ordering::Relaxed)
    }

    /// Returns a request id that is unique within this process.
    pub(crate) fn next_id(&self) -> RequestId {
        let number = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{number:x}"))
    }

    /// Delivers the fleet's placements to the requests that wait for them; requests gossip if the
    /// fleet has changed.
    pub(crate) fn deliver(&self, placements: Vec<PlacedRequest>) {
        let changes = lock(&self.fleet).change_count();
        if self.announced_changes.swap(changes, Ordering::Relaxed) != changes {
            self.request_gossip();
        }
        for placed in placements {
            let waiter = lock(&self.waiters).remove(&placed.request);
            let delivered = waiter.is_some_and(|waiter| waiter.try_send(placed.placement).is_ok());
            if !delivered {
                let placements = lock(&self.fleet).finish(&placed.request, clock::now());
                self.deliver(placements);
            }
        }
    }

    /// Waits for a placement; dropping the guard releases it.
    pub(crate) async fn place(self: &Arc<Self>, demand: Demand) -> (PlacementGuard, Placement) {
        let (sender, receiver) = bounded(1);
        let placement_guard = self.guard(demand.id.clone());
        lock(&self.waiters).insert(demand.id.clone(), sender);
        let placements = lock(&self.fleet).submit(demand, clock::now());
        self.deliver(placements);
        let placement = receiver.recv().await.unwrap_or(Placement::Refused {
            reason: almondcroft_core::gateway::RefusalReason::Overload,
            retry_after: Duration::from_secs(1),
        });
        (placement_guard, placement)
    }

    /// Returns a guard that releases a placement when it is dropped.
    pub(crate) fn guard(self: &Arc<Self>, request: RequestId) -> PlacementGuard {
        PlacementGuard {
            gateway: Arc::clone(self),
            request,
        }
    }

    /// Returns the idle connections that this VM may keep to one target of a service.
    ///
    /// The connection limit of a target applies across all VMs; half of this VM's share is reserved for
    /// connections in use.
    pub(crate) fn idle_share(&self, service: &ServiceId) -> usize {
        let vms = lock(&self.peers).len() + 1;
        let connections = self.config().and_then(|config| {
            let pool = config.pools.get(service)?;
            usize::try_from(pool.connections).ok()
        });
        (connections.unwrap_or_default() / vms / 2).max(1)
    }

    /// Lists the VMs in some regions through which targets may be reached: those that are not known to shut down
    /// or to be cut off themselves.
    pub(crate) fn tunnel_peers(&self, regions: &AllowedRegions, now: Timestamp) -> Vec<TunnelPeer> {
        let peers = lock(&self.peers);
        let fleet = lock(&self.fleet);
        let usable = peers
            .iter()
            .filter(|(vm, _)| fleet.may_open_tunnels(vm, now))
            .filter(|(_, entry)| regions.permits(&self.settings.region_of(&entry.zone)));
        let peer = |(vm, entry): (&VmId, &VmEntry)| TunnelPeer {
            vm: vm.clone(),
            is_near: entry.zone == self.settings.zone,
        };
        usable.map(peer).collect()
    }

    /// Returns the time after which a caller that this VM refuses may retry, so long after the start of its shutdown.
    pub(crate) fn shutdown_retry(&self, elapsed: Duration) -> Duration {
        let grace = self.bounds().grace();
        lock(&self.fleet).shutdown_retry(elapsed, grace, clock::now())
    }

    /// Returns the load that this VM puts on the targets.
    pub(crate) fn local_snapshot(&self, now: Timestamp) -> PeerSnapshot {
        PeerSnapshot {
            draining_since: self.lifecycle.draining_since(),
            is_cut_off: lock(&self.target_paths).is_cut_off(now),
            sends: self.sends(now),
            spare_sends: Some(self.spare_sends(now)),
            ..lock(&self.fleet).local_snapshot(now)
        }
    }

    /// Requests a gossip round without waiting for the next interval.
    pub(crate) fn request_gossip(&self) {
        // If the channel is full, a request is already pending.
        let _ = self.gossip_signal.0.try_send(());
    }

    /// Waits until a gossip round is requested.
    pub(crate) async fn gossip_requested(&self) {
        if self.gossip_signal.1.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Runs the periodic tasks and updates the gauges.
    pub(crate) fn tick(&self, now: Timestamp) {
        self.change_targets(|directory| {
            let mut changes = directory.remove_missing(now);
            changes.extend(directory.release_held(now));
            changes
        });
        lock(&self.prompt_quarantine).tick(now);
        lock(&self.target_paths).tick(now);
        let placements = lock(&self.fleet).tick(now);
        self.deliver(placements);
        self.pool.close_expired(now);
        let fleet = lock(&self.fleet);
        let metrics = &self.metrics;
        metrics.waiting.set(gauge_value(fleet.waiting_count()));
        metrics.targets.set(gauge_value(fleet.usable_count(now)));
        metrics.cold.set(gauge_value(fleet.cold_count(now)));
        metrics.vms.set(gauge_value(fleet.vm_count(now)));
        metrics.running.set(gauge_value(self.lifecycle.requests()));
        metrics
            .connections
            .set(gauge_value(self.lifecycle.connections()));
        let age = self.config_age(now).unwrap_or_default();
        metrics.config_age.set(gauge_value(age.as_millis()));
    }
}

fn gauge_value<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

/// Holds a request's placement, in the queue or at a target, until it is dropped.
pub(crate) struct PlacementGuard {
    gateway: Arc<Gateway>,
    pub(crate) request: RequestId,
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        lock(&self.gateway.waiters).remove(&self.request);
        lock(&self.gateway.leave_notices).remove(&self.request);
        let placements = lock(&self.gateway.fleet).finish(&self.request, clock::now());
        self.gateway.deliver(placements);
    }
}
