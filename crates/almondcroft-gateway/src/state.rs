//! What a gateway knows, each part under its own lock.

mod word;

use crate::adapter::{Dialect, Registry};
use crate::clock;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::pool::ConnectionPool;
use crate::settings::{Bounds, GatewaySettings};
use almondcroft_core::gateway::{
    ConfigFreshness, Demand, Directory, Fleet, FleetOptions, FleetRetryBudget, FleetSends,
    GatewayConfig, PendingQueries, PlacedRequest, Placement, SendCounts, TargetChange,
};
use almondcroft_core::quarantine::Quarantine;
use almondcroft_core::{RequestId, ServiceId, TargetId, Timestamp, VmId};
use async_channel::{Receiver, Sender, bounded};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which the other VMs are told that a target leaves; well over a few rounds of news.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Names a target that leaves and the start of the incarnation that does.
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
    pub(crate) vms: Mutex<HashMap<VmId, SocketAddr>>,
    pub(crate) asks: Mutex<PendingQueries>,
    bounds: Mutex<Bounds>,
    config: Mutex<Option<Arc<GatewayConfig>>>,
    vouch: Mutex<ConfigFreshness>,
    directory: Mutex<Directory>,
    listed: AtomicBool,
    waiters: Mutex<HashMap<RequestId, Sender<Placement>>>,
    notices: Mutex<HashMap<RequestId, Sender<()>>>,
    retries: Mutex<HashMap<ServiceId, FleetRetryBudget>>,
    numbers: AtomicU64,
    urgent: (Sender<()>, Receiver<()>),
    departures: Mutex<VecDeque<(Timestamp, Departure)>>,
    /// Latest revision of the configuration of which another VM told.
    newer: AtomicU64,
    news_of_config: (Sender<()>, Receiver<()>),
    /// Changes at engines of which the other VMs are told or about to be.
    told_changes: AtomicU64,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        registry: Box<dyn Registry>,
    ) -> Arc<Self> {
        Arc::new(Self {
            dialect,
            registry,
            lifecycle: Arc::default(),
            metrics: Metrics::new(),
            pool: ConnectionPool::default(),
            fleet: Mutex::new(Fleet::new(settings.vm.clone(), FleetOptions::default())),
            quarantine: Mutex::default(),
            vms: Mutex::default(),
            asks: Mutex::default(),
            bounds: Mutex::new(settings.bounds),
            config: Mutex::default(),
            vouch: Mutex::new(ConfigFreshness::new(settings.bounds.revoke())),
            directory: Mutex::default(),
            listed: AtomicBool::new(false),
            waiters: Mutex::default(),
            notices: Mutex::default(),
            retries: Mutex::default(),
            numbers: AtomicU64::new(1),
            urgent: bounded(1),
            departures: Mutex::default(),
            newer: AtomicU64::new(0),
            news_of_config: bounded(1),
            told_changes: AtomicU64::new(0),
            settings,
        })
    }

    /// Returns the bounds in force.
    pub(crate) fn bounds(&self) -> Bounds {
        *lock(&self.bounds)
    }

    /// Puts other bounds in force; what is in flight goes on.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        *lock(&self.bounds) = bounds;
        lock(&self.vouch).set_max_age(bounds.revoke());
        for share in lock(&self.retries).values_mut() {
            share.set_budget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window(),
            );
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<GatewayConfig>> {
        lock(&self.config).clone()
    }

    /// Returns whether keys may be accepted.
    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        lock(&self.vouch).is_fresh(now)
    }

    /// Returns the time since the configuration was known to be the newest.
    pub(crate) fn config_age(&self, now: Timestamp) -> Option<Duration> {
        lock(&self.vouch)
            .confirmed_at()
            .map(|at| now.saturating_sub(at))
    }

    /// Notes that the configuration held was the newest one at a time.
    pub(crate) fn confirm_config(&self, at: Timestamp) {
        lock(&self.vouch).confirm(at);
    }

    /// Puts a configuration in force unless a later one is.
    pub(crate) fn offer_config(&self, config: GatewayConfig) -> bool {
        let mut current = lock(&self.config);
        let newer = current
            .as_ref()
            .is_none_or(|held| config.revision > held.revision);
        if newer {
            lock(&self.fleet).set_pools(config.pools.clone());
            *current = Some(Arc::new(config));
        }
        newer
    }

    /// Returns whether callers are better sent here than elsewhere.
    pub(crate) fn is_ready(&self, now: Timestamp) -> bool {
        let listed = self.listed.load(Ordering::Relaxed);
        !self.lifecycle.is_draining() && listed && self.config().is_some() && self.is_fresh(now)
    }

    /// Notes that the targets were listed once; before that every service seems to have none.
    pub(crate) fn note_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Returns a number that no other request of this process has.
    pub(crate) fn next_id(&self) -> RequestId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{number:x}"))
    }

    /// Changes what is known of the targets.
    pub(crate) fn change_targets(&self, change: impl FnOnce(&mut Directory) -> Vec<TargetChange>) {
        let changes = change(&mut lock(&self.directory));
        for change in changes {
            self.change_target(change);
        }
    }

    fn change_target(&self, change: TargetChange) {
        let now = clock::now();
        match change {
            TargetChange::Joined(entry) => {
                log::info!(event = "target-joined", target_id = entry.id.as_str(),
                    service = entry.service.as_str(), address:% = entry.address,
                    zone = entry.zone.as_str(); "");
                let works = lock(&self.fleet).upsert_target(entry, now);
                self.deliver(works);
            }
            TargetChange::Leaving(id) => {
                self.note_departure(&id, now);
                self.leave_target(&id, "store");
            }
            TargetChange::Gone(id) => {
                self.note_departure(&id, now);
                let mut fleet = lock(&self.fleet);
                if let Some(choice) = fleet.choice_for(&id) {
                    self.pool.close_idle(choice.address);
                }
                let running = fleet.remove_target(&id);
                drop(fleet);
                log::info!(event = "target-gone", target_id = id.as_str(), running = running.len(); "");
                self.notify(&running);
            }
        }
    }

    /// Takes no more work to a target, and has what runs there moved.
    pub(crate) fn leave_target(&self, target: &TargetId, source: &str) {
        let mut fleet = lock(&self.fleet);
        if fleet.is_leaving(target) {
            return;
        }
        let running = fleet.mark_leaving(target);
        drop(fleet);
        log::info!(event = "target-leaving", target_id = target.as_str(), source = source,
            running = running.len(); "");
        self.notify(&running);
    }

    /// Leaves a target that another VM saw leave, unless it has started anew since.
    pub(crate) fn hear_departure(&self, (target, born): &Departure, vm: &str) {
        if lock(&self.fleet).incarnation(target) == Some(*born) {
            self.leave_target(target, vm);
        }
    }

    fn note_departure(&self, target: &TargetId, now: Timestamp) {
        // Who has it from a scout need not tell it on.
        if self.scouts(now).is_some() {
            return;
        }
        if let Some(born) = lock(&self.fleet).incarnation(target) {
            lock(&self.departures).push_back((now, (target.clone(), born)));
            self.tell_news();
        }
    }

    /// Lists the targets that were seen to leave lately.
    pub(crate) fn departures(&self, now: Timestamp) -> Vec<Departure> {
        let mut departures = lock(&self.departures);
        while departures
            .front()
            .is_some_and(|(at, _)| *at + DEPARTURE_TIME < now)
        {
            departures.pop_front();
        }
        departures.iter().map(|(_, gone)| gone.clone()).collect()
    }

    /// Tells requests that their target is about to go.
    fn notify(&self, requests: &[RequestId]) {
        let notices = lock(&self.notices);
        for request in requests {
            if let Some(sender) = notices.get(request) {
                // A notice that was not taken yet says the same.
                let _ = sender.try_send(());
            }
        }
    }

    /// Returns a channel that tells when the request's target is about to go.
    pub(crate) fn watch_target(&self, request: &RequestId) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        lock(&self.notices).insert(request.clone(), sender);
        receiver
    }

    /// Hands the fleet's decisions to the requests that wait for them.
    pub(crate) fn deliver(&self, works: Vec<PlacedRequest>) {
        let changes = lock(&self.fleet).change_count();
        if self.told_changes.swap(changes, Ordering::Relaxed) != changes {
            self.tell_news();
        }
        for work in works {
            let waiter = lock(&self.waiters).remove(&work.request);
            let taken = waiter.is_some_and(|waiter| waiter.try_send(work.placement).is_ok());
            if !taken {
                let works = lock(&self.fleet).finish(&work.request, clock::now());
                self.deliver(works);
            }
        }
    }

    /// Waits for a place; the ticket frees it.
    pub(crate) async fn place(self: &Arc<Self>, demand: Demand) -> (Ticket, Placement) {
        let (sender, receiver) = bounded(1);
        let ticket = Ticket {
            gateway: Arc::clone(self),
            request: demand.id.clone(),
        };
        lock(&self.waiters).insert(demand.id.clone(), sender);
        let works = lock(&self.fleet).submit(demand, clock::now());
        self.deliver(works);
        let placed = receiver.recv().await.unwrap_or(Placement::Refused {
            reason: almondcroft_core::gateway::Refusal::Overload,
            retry_after: Duration::from_secs(1),
        });
        (ticket, placed)
    }

    /// Returns the idle connections that this VM may keep to one target of a service.
    ///
    /// A target takes connections up to a number over all VMs; half of this VM's part is left for
    /// those in use.
    pub(crate) fn idle_share(&self, service: &ServiceId) -> usize {
        let vms = lock(&self.vms).len() + 1;
        let connections = self.config().and_then(|config| {
            let pool = config.pools.get(service)?;
            usize::try_from(pool.connections).ok()
        });
        (connections.unwrap_or_default() / vms / 2).max(1)
    }

    /// Notes a caller's request in the retry budget.
    pub(crate) fn note_request(&self, service: &ServiceId, now: Timestamp) {
        self.retry_share(service, |share| share.record_request(now));
    }

    /// Takes an extra send of a request from the fleet's retry budget.
    pub(crate) fn take_retry(&self, service: &ServiceId, request: &str, now: Timestamp) -> bool {
        let fleet = lock(&self.fleet);
        let (vms, others) = (fleet.vm_count(now), fleet.peer_sends(service, now));
        drop(fleet);
        let known = lock(&self.vms).len() + 1;
        let expected = usize::try_from(self.bounds().vms).unwrap_or(usize::MAX);
        let heard = FleetSends {
            others,
            reachable_vms: u32::try_from(vms).unwrap_or(u32::MAX),
            total_vms: u32::try_from(known.max(expected)).unwrap_or(u32::MAX),
        };
        let (permitted, own) =
            self.retry_share(service, |share| (share.take(heard, now), share.counts(now)));
        if !permitted {
            log::info!(event = "retry-refused", request = request, service = service.as_str(),
                extra = own.extra, extra_of_others = others.extra,
                requests = own.requests + others.requests, vms_heard = vms, vms = heard.total_vms; "");
        }
        permitted
    }

    /// Returns this VM's requests and extra sends by service.
    pub(crate) fn sends(&self, now: Timestamp) -> HashMap<ServiceId, SendCounts> {
        let retries = lock(&self.retries);
        let counts = retries.iter();
        counts
            .map(|(service, share)| (service.clone(), share.counts(now)))
            .collect()
    }

    fn retry_share<T>(
        &self,
        service: &ServiceId,
        use_it: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let bounds = self.bounds();
        let mut retries = lock(&self.retries);
        let share = retries.entry(service.clone()).or_insert_with(|| {
            FleetRetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window(),
            )
        });
        use_it(share)
    }

    /// Has the other VMs told at once.
    pub(crate) fn tell_news(&self) {
        // A full channel says the same.
        let _ = self.urgent.0.try_send(());
    }

    /// Ends when the other VMs are to be told at once.
    pub(crate) async fn urgent_news(&self) {
        if self.urgent.1.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Does what is due as time passes.
    pub(crate) fn tick(&self, now: Timestamp) {
        self.change_targets(|directory| directory.remove_missing(now));
        let works = lock(&self.fleet).tick(now);
        self.deliver(works);
        self.pool.close_expired(now);
        let fleet = lock(&self.fleet);
        let metrics = &self.metrics;
        metrics.waiting.set(whole(fleet.waiting_count()));
        metrics.targets.set(whole(fleet.usable_count(now)));
        metrics.vms.set(whole(fleet.vm_count(now)));
        metrics.running.set(whole(self.lifecycle.requests()));
        metrics.connections.set(whole(self.lifecycle.connections()));
        let age = self.config_age(now).unwrap_or_default();
        metrics.config_age.set(whole(age.as_millis()));
    }
}

fn whole<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

/// Keeps a request's place, in the queue or at a target.
pub(crate) struct Ticket {
    gateway: Arc<Gateway>,
    pub(crate) request: RequestId,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.gateway.waiters).remove(&self.request);
        lock(&self.gateway.notices).remove(&self.request);
        let works = lock(&self.gateway.fleet).finish(&self.request, clock::now());
        self.gateway.deliver(works);
    }
}
