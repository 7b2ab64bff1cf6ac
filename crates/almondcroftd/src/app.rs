//! State shared by all parts of the daemon.

use crate::claims::Claims;
use crate::clock::Clock;
use crate::http::Outbound;
use crate::lifecycle::Lifecycle;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peer_client::PeerClient;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::store::HttpStore;
use almondcroft_core::config::{Config, RevisionGate};
use almondcroft_core::limits::{ConcurrencyLimiter, RetryBudget};
use almondcroft_core::membership::{Evidence, Health, HealthTable};
use almondcroft_core::quarantine::Quarantine;
use almondcroft_core::{HandleKey, Incarnation, Revision, TargetId};
use almondcroft_proto::peer::TargetObservation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

/// Number of hops over which an observation of a target is forwarded between VMs.
pub(crate) const GOSSIP_HOPS: u8 = 3;

/// Largest number of observations waiting for the next gossip message.
const MAX_PENDING_OBSERVATIONS: usize = 64;

/// Number of shards of the customers' concurrency limiters, each under its own lock.
const CUSTOMER_SHARDS: usize = 16;

/// Holds the state of one daemon; parts that change are each under their own locks.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) outbound: Outbound,
    pub(crate) store: HttpStore,
    pub(crate) handle_key: HandleKey,
    pub(crate) metrics: Metrics,
    pub(crate) routing: Routing,
    pub(crate) claims: Claims,
    pub(crate) members: Members,
    pub(crate) peers: PeerClient,
    gate: RwLock<RevisionGate>,
    health: Mutex<HealthTable>,
    quarantine: Mutex<Quarantine>,
    retry_budget: Mutex<RetryBudget>,
    customer_limiters: Vec<Mutex<ConcurrencyLimiter>>,
    observations: Mutex<Vec<TargetObservation>>,
}

impl App {
    pub(crate) fn new(settings: Settings, routing: Routing, outbound: Outbound) -> Arc<Self> {
        let incarnation = rand::random();
        let peers = PeerClient::new(outbound.clone(), &settings.peer_secret);
        Arc::new(Self {
            incarnation,
            clock: Clock::new(),
            lifecycle: Lifecycle::new(),
            store: HttpStore::new(&settings.store, outbound.clone()),
            handle_key: HandleKey::new(settings.handle_secret.as_bytes()),
            metrics: Metrics::new(),
            routing,
            claims: Claims::new(settings.shards),
            members: Members::new(settings.vm.clone()),
            peers,
            outbound,
            gate: RwLock::new(RevisionGate::default()),
            health: Mutex::new(HealthTable::default()),
            quarantine: Mutex::new(Quarantine::default()),
            retry_budget: Mutex::new(RetryBudget::default()),
            customer_limiters: (0..CUSTOMER_SHARDS)
                .map(|_| Mutex::new(ConcurrencyLimiter::default()))
                .collect(),
            observations: Mutex::new(Vec::new()),
            settings,
        })
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Arc<Config> {
        let gate = self.gate.read().unwrap_or_else(PoisonError::into_inner);
        gate.current()
    }

    /// Activates a configuration if its revision is higher; returns whether it was activated.
    pub(crate) fn offer_config(&self, config: Config) -> bool {
        let mut gate = self.gate.write().unwrap_or_else(PoisonError::into_inner);
        let newer = gate.offer(config);
        if newer {
            let current = gate.current();
            drop(gate);
            self.routing.apply_config(&current, self.clock.now());
            log::info!(event = "config", revision = current.revision; "configuration activated");
        }
        newer
    }

    /// Returns the base URL of the daemon.
    pub(crate) fn url(&self) -> String {
        let scheme = if self.settings.tls.is_some() {
            "https"
        } else {
            "http"
        };
        format!("{scheme}://{}", self.settings.listen)
    }

    pub(crate) fn revision(&self) -> Revision {
        self.config().revision
    }

    pub(crate) fn health(&self) -> MutexGuard<'_, HealthTable> {
        lock(&self.health)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Returns the concurrency limiter of the shard that a customer belongs to.
    pub(crate) fn customer_limiter(&self, customer: &str) -> MutexGuard<'_, ConcurrencyLimiter> {
        let hash = almondcroft_core::membership::score(customer, 0);
        let shard = usize::try_from(hash % CUSTOMER_SHARDS as u64).unwrap_or(0);
        lock(&self.customer_limiters[shard])
    }

    /// Records evidence about a target.
    ///
    /// If its health changes, updates the router and queues an observation for the peers.
    pub(crate) fn observe_target(&self, target: &TargetId, evidence: Evidence) {
        self.apply_evidence(target, evidence, GOSSIP_HOPS);
    }

    /// Records evidence about a target, which may be forwarded over `hops` more hops.
    pub(crate) fn apply_evidence(&self, target: &TargetId, evidence: Evidence, hops: u8) {
        let now = self.clock.now();
        let Some(health) = self.health().observe(target, evidence, now) else {
            return;
        };
        log::info!(event = "target-health", target = target.as_str(), health:? = health; "");
        self.routing
            .set_usable(target, health == Health::Alive, now);
        let forwarded = match evidence {
            Evidence::Leaving => Evidence::Leaving,
            Evidence::Answered => return,
            Evidence::TimedOut | Evidence::Refused | Evidence::PeerSuspicion => {
                Evidence::PeerSuspicion
            }
        };
        let mut pending = lock(&self.observations);
        if hops > 0 && pending.len() < MAX_PENDING_OBSERVATIONS {
            pending.push(TargetObservation {
                target: target.clone(),
                evidence: forwarded,
                hops: hops - 1,
            });
        }
    }

    /// Removes and returns the observations waiting to be forwarded.
    pub(crate) fn take_observations(&self) -> Vec<TargetObservation> {
        std::mem::take(&mut *lock(&self.observations))
    }
}

/// Locks a mutex and ignores poisoning, since a panic under the lock leaves the state consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
