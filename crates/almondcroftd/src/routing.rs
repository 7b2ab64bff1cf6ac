//! The router, connected to the requests that wait for it.

mod pool;

use crate::recorder::Recorder;
use almondcroft_core::config::{Config, ServiceKind};
use almondcroft_core::router::{
    Decision, LoadReport, Policy, RefusalReason, RouteRequest, RouterOptions, TargetSpec,
};
use almondcroft_core::trace::{TraceEvent, TraceHeader};
use almondcroft_core::{RequestId, ServiceId, TargetId, Timestamp};
use async_channel::Receiver;
use pool::Pool;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Seed of the routers; their random choices need not be secret.
const SEED: u64 = 1;

/// Tells a waiting request what was decided.
pub(crate) type Placement = Result<TargetId, (RefusalReason, Duration)>;

/// Places requests. Services that share targets share a pool; each pool has its own lock.
pub(crate) struct Routing {
    options: RouterOptions,
    recorder: Option<Arc<Recorder>>,
    state: RwLock<State>,
}

#[derive(Default)]
struct State {
    pools: HashMap<ServiceId, Arc<Pool>>,
    addresses: HashMap<TargetId, Address>,
}

/// Tells where a target is.
#[derive(Debug, Clone)]
pub(crate) struct Address {
    pub(crate) url: SmolStr,
    pub(crate) region: SmolStr,
}

impl Routing {
    pub(crate) fn new(
        options: RouterOptions,
        record: Option<&std::path::Path>,
    ) -> std::io::Result<Self> {
        let header = TraceHeader {
            options,
            seed: SEED,
        };
        let recorder = match record {
            Some(path) => Some(Arc::new(Recorder::create(path, &header)?)),
            None => None,
        };
        Ok(Self {
            options,
            recorder,
            state: RwLock::default(),
        })
    }

    /// Takes over services and targets; pools that stay keep their state.
    pub(crate) fn configure(&self, config: &Config, now: Timestamp) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let old = std::mem::take(&mut state.pools);
        for target in config.targets.values() {
            let address = Address {
                url: target.address.clone(),
                region: target.region.clone(),
            };
            // Addresses of removed targets stay known, so that their streams can be resumed.
            state.addresses.insert(target.id.clone(), address);
        }
        for services in groups(config) {
            let pool = services
                .iter()
                .find_map(|service| old.get(service).cloned())
                .unwrap_or_else(|| self.new_pool(config, &services));
            let objective = config.objective;
            pool.apply(TraceEvent::Objective { objective }, now);
            pool.apply(
                TraceEvent::Targets {
                    targets: specs(config, &services),
                },
                now,
            );
            for service in services {
                state.pools.insert(service, Arc::clone(&pool));
            }
        }
    }

    fn new_pool(&self, config: &Config, services: &[ServiceId]) -> Arc<Pool> {
        let plain = services
            .iter()
            .filter_map(|service| config.services.get(service))
            .all(|service| service.kind == ServiceKind::Plain);
        let mut options = self.options;
        if plain {
            options.policy = Policy::LeastInFlight;
        }
        let recorder = if plain { None } else { self.recorder.clone() };
        Arc::new(Pool::new(options, SEED, recorder))
    }

    fn pool(&self, service: &str) -> Option<Arc<Pool>> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.pools.get(service).cloned()
    }

    fn pools(&self) -> Vec<Arc<Pool>> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let mut pools: Vec<Arc<Pool>> = Vec::new();
        for pool in state.pools.values() {
            if !pools.iter().any(|known| Arc::ptr_eq(known, pool)) {
                pools.push(Arc::clone(pool));
            }
        }
        pools
    }

    /// Returns where a target is.
    pub(crate) fn address(&self, target: &str) -> Option<Address> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.addresses.get(target).cloned()
    }

    /// Takes a request; the receiver yields its placement.
    pub(crate) fn submit(&self, request: RouteRequest, now: Timestamp) -> Receiver<Placement> {
        self.enqueue(request, None, now)
    }

    /// Takes a request again that failed at a target before it began.
    pub(crate) fn resubmit(
        &self,
        request: RouteRequest,
        failed: &TargetId,
        now: Timestamp,
    ) -> Receiver<Placement> {
        self.enqueue(request, Some(failed.clone()), now)
    }

    fn enqueue(
        &self,
        request: RouteRequest,
        failed: Option<TargetId>,
        now: Timestamp,
    ) -> Receiver<Placement> {
        let Some(pool) = self.pool(&request.service) else {
            let (sender, receiver) = async_channel::bounded(1);
            let refusal = Err((RefusalReason::NoTarget, Duration::from_secs(1)));
            let _ = sender.try_send(refusal);
            return receiver;
        };
        let receiver = pool.wait_for(&request.id);
        let event = match failed {
            Some(failed) => TraceEvent::Resubmit { request, failed },
            None => TraceEvent::Submit { request },
        };
        pool.apply(event, now);
        receiver
    }

    pub(crate) fn progress(
        &self,
        service: &str,
        request: &RequestId,
        produced: u32,
        now: Timestamp,
    ) {
        if let Some(pool) = self.pool(service) {
            let event = TraceEvent::Progress {
                request: request.clone(),
                produced,
            };
            pool.apply(event, now);
        }
    }

    pub(crate) fn finished(
        &self,
        service: &str,
        request: &RequestId,
        complete: bool,
        now: Timestamp,
    ) {
        if let Some(pool) = self.pool(service) {
            pool.forget(request);
            let event = TraceEvent::Finished {
                request: request.clone(),
                complete,
            };
            pool.apply(event, now);
        }
    }

    pub(crate) fn report(&self, target: &TargetId, report: LoadReport, now: Timestamp) {
        self.tell_all(now, || TraceEvent::Report {
            target: target.clone(),
            report,
        });
    }

    pub(crate) fn set_usable(&self, target: &TargetId, usable: bool, now: Timestamp) {
        self.tell_all(now, || TraceEvent::Usable {
            target: target.clone(),
            usable,
        });
    }

    pub(crate) fn set_vms(&self, vms: u32, now: Timestamp) {
        self.tell_all(now, || TraceEvent::Vms { vms });
    }

    pub(crate) fn tick(&self, now: Timestamp) {
        for pool in self.pools() {
            if pool.queued() > 0 {
                pool.apply(TraceEvent::Tick, now);
            }
        }
    }

    fn tell_all(&self, now: Timestamp, event: impl Fn() -> TraceEvent) {
        for pool in self.pools() {
            pool.apply(event(), now);
        }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn queued(&self) -> usize {
        self.pools().iter().map(|pool| pool.queued()).sum()
    }
}

fn specs(config: &Config, services: &[ServiceId]) -> Vec<TargetSpec> {
    config
        .targets
        .values()
        .filter(|target| !config.drained.contains(&target.id))
        .filter(|target| target.services.iter().any(|id| services.contains(id)))
        .map(|target| TargetSpec {
            id: target.id.clone(),
            services: target.services.clone(),
            region: target.region.clone(),
        })
        .collect()
}

/// Groups services that share targets.
fn groups(config: &Config) -> Vec<Vec<ServiceId>> {
    let mut groups: Vec<Vec<ServiceId>> = config
        .services
        .keys()
        .map(|service| vec![service.clone()])
        .collect();
    for target in config.targets.values() {
        let touches = |group: &Vec<ServiceId>| group.iter().any(|id| target.services.contains(id));
        let (joined, apart): (Vec<_>, Vec<_>) = groups.into_iter().partition(touches);
        groups = apart;
        if !joined.is_empty() {
            groups.push(joined.concat());
        }
    }
    groups
}

/// Splits a decision into the request and its placement.
pub(crate) fn placement(decision: Decision) -> (RequestId, Placement) {
    match decision {
        Decision::Dispatch { request, target } => (request, Ok(target)),
        Decision::Refuse {
            request,
            reason,
            retry_after,
        } => (request, Err((reason, retry_after))),
    }
}
