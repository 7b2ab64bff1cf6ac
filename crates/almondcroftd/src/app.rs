//! What all parts of the daemon share.

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

/// Times that news of a target is passed on.
pub(crate) const NEWS_HOPS: u8 = 3;

/// Most news that wait to be passed on.
const MAX_NEWS: usize = 64;

/// Number of locks over the customers' counts.
const CUSTOMER_SHARDS: usize = 16;

/// Holds the state of one daemon; each part is under its own lock.
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
    retries: Mutex<RetryBudget>,
    customers: Vec<Mutex<ConcurrencyLimiter>>,
    news: Mutex<Vec<TargetObservation>>,
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
            retries: Mutex::new(RetryBudget::default()),
            customers: (0..CUSTOMER_SHARDS)
                .map(|_| Mutex::new(ConcurrencyLimiter::default()))
                .collect(),
            news: Mutex::new(Vec::new()),
            settings,
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        let gate = self.gate.read().unwrap_or_else(PoisonError::into_inner);
        gate.current()
    }

    /// Puts a configuration in force unless it is not newer; returns whether it was.
    pub(crate) fn offer_config(&self, config: Config) -> bool {
        let mut gate = self.gate.write().unwrap_or_else(PoisonError::into_inner);
        let newer = gate.offer(config);
        if newer {
            let current = gate.current();
            drop(gate);
            self.routing.configure(&current, self.clock.now());
            log::info!(event = "config", revision = current.revision; "in force");
        }
        newer
    }

    /// Returns the base URL at which the daemon listens.
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

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retries)
    }

    /// Returns the counts of the shard that a customer belongs to.
    pub(crate) fn customer_counts(&self, customer: &str) -> MutexGuard<'_, ConcurrencyLimiter> {
        let hash = almondcroft_core::membership::score(customer, 0);
        let shard = usize::try_from(hash % CUSTOMER_SHARDS as u64).unwrap_or(0);
        lock(&self.customers[shard])
    }

    /// Takes in evidence about a target and tells the router and the peers what follows from it.
    pub(crate) fn observe_target(&self, target: &TargetId, evidence: Evidence) {
        self.spread_evidence(target, evidence, NEWS_HOPS);
    }

    pub(crate) fn spread_evidence(&self, target: &TargetId, evidence: Evidence, hops: u8) {
        let now = self.clock.now();
        let Some(health) = self.health().observe(target, evidence, now) else {
            return;
        };
        log::info!(event = "target-health", target = target.as_str(), health:? = health; "");
        self.routing
            .set_usable(target, health == Health::Alive, now);
        let news = match evidence {
            Evidence::Leaving => Evidence::Leaving,
            Evidence::Answered => return,
            Evidence::TimedOut | Evidence::Refused | Evidence::PeerSuspicion => {
                Evidence::PeerSuspicion
            }
        };
        let mut waiting = lock(&self.news);
        if hops > 0 && waiting.len() < MAX_NEWS {
            waiting.push(TargetObservation {
                target: target.clone(),
                evidence: news,
                hops: hops - 1,
            });
        }
    }

    /// Takes the news that wait to be passed on.
    pub(crate) fn take_news(&self) -> Vec<TargetObservation> {
        std::mem::take(&mut *lock(&self.news))
    }
}

/// Locks a mutex; a panic under the lock does not poison the state, which is always consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
