//! Placement of requests by the routers of all pools.

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

/// The chosen target, or the reason of the refusal and the time after which to retry.
pub(crate) type Placement = Result<TargetId, (RefusalReason, Duration)>;

/// Places requests on targets.
///
/// Services that share targets share a pool, and each pool has its own lock.
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

/// Holds the base URL and the region of a target.
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

    /// Applies the services and targets of a configuration; pools that remain keep their state.
    pub(crate) fn apply_config(&self, config: &Config, now: Timestamp) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let old_pools = std::mem::take(&mut state.pools);
        for target in config.targets.values() {
            let address = Address {
                url: target.address.clone(),
                region: target.region.clone(),
            };
            // Addresses of removed targets are kept, so that their streams can be resumed.
            state.addresses.insert(target.id.clone(), address);
        }
        for services in group_services(config) {
            let pool = services
                .iter()
                .find_map(|service| old_pools.get(service).cloned())
                .unwrap_or_else(|| self.new_pool(config, &services));
            let objective = config.objective;
            pool.apply(TraceEvent::Objective { objective }, now);
            pool.apply(
                TraceEvent::Targets {
                    targets: target_specs(config, &services),
                },
                now,
            );
            for service in services {
                state.pools.insert(service, Arc::clone(&pool));
            }
        }
    }

    fn new_pool(&self, config: &Config, services: &[ServiceId]) -> Arc<Pool> {
        let is_plain = services
            .iter()
            .filter_map(|service| config.services.get(service))
            .all(|service| service.kind == ServiceKind::Plain);
        let mut options = self.options;
        if is_plain {
            options.policy = Policy::LeastInFlight;
        }
        let recorder = if is_plain {
            None
        } else {
            self.recorder.clone()
        };
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

    /// Returns the address of a target.
    pub(crate) fn address(&self, target: &str) -> Option<Address> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.addresses.get(target).cloned()
    }

    /// Submits a request; the receiver yields its placement.
    pub(crate) fn submit(&self, request: RouteRequest, now: Timestamp) -> Receiver<Placement> {
        self.enqueue(request, None, now)
    }

    /// Submits a request again after it failed at a target, which is not chosen at once.
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
        let receiver = pool.register(&request.id);
        let event = match failed {
            Some(failed) => TraceEvent::Resubmit { request, failed },
            None => TraceEvent::Submit { request },
        };
        pool.apply(event, now);
        receiver
    }

    pub(crate) fn record_progress(
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

    pub(crate) fn finish(
        &self,
        service: &str,
        request: &RequestId,
        complete: bool,
        now: Timestamp,
    ) {
        if let Some(pool) = self.pool(service) {
            pool.unregister(request);
            let event = TraceEvent::Finished {
                request: request.clone(),
                complete,
            };
            pool.apply(event, now);
        }
    }

    pub(crate) fn record_reported_load(
        &self,
        target: &TargetId,
        report: LoadReport,
        now: Timestamp,
    ) {
        self.apply_all(now, || TraceEvent::Report {
            target: target.clone(),
            report,
        });
    }

    pub(crate) fn set_usable(&self, target: &TargetId, usable: bool, now: Timestamp) {
        self.apply_all(now, || TraceEvent::Usable {
            target: target.clone(),
            usable,
        });
    }

    pub(crate) fn set_vm_count(&self, vms: u32, now: Timestamp) {
        self.apply_all(now, || TraceEvent::Vms { vms });
    }

    pub(crate) fn tick(&self, now: Timestamp) {
        for pool in self.pools() {
            if pool.queued() > 0 {
                pool.apply(TraceEvent::Tick, now);
            }
        }
    }

    fn apply_all(&self, now: Timestamp, event: impl Fn() -> TraceEvent) {
        for pool in self.pools() {
            pool.apply(event(), now);
        }
    }

    /// Returns the number of queued requests.
    pub(crate) fn queued(&self) -> usize {
        self.pools().iter().map(|pool| pool.queued()).sum()
    }
}

fn target_specs(config: &Config, services: &[ServiceId]) -> Vec<TargetSpec> {
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
fn group_services(config: &Config) -> Vec<Vec<ServiceId>> {
    let mut groups: Vec<Vec<ServiceId>> = config
        .services
        .keys()
        .map(|service| vec![service.clone()])
        .collect();
    for target in config.targets.values() {
        let shares_target =
            |group: &Vec<ServiceId>| group.iter().any(|id| target.services.contains(id));
        let (joined, separate): (Vec<_>, Vec<_>) = groups.into_iter().partition(shares_target);
        groups = separate;
        if !joined.is_empty() {
            groups.push(joined.concat());
        }
    }
    groups
}

/// Splits a decision into the request and its placement.
pub(crate) fn split_decision(decision: Decision) -> (RequestId, Placement) {
    match decision {
        Decision::Dispatch { request, target } => (request, Ok(target)),
        Decision::Refuse {
            request,
            reason,
            retry_after,
        } => (request, Err((reason, retry_after))),
    }
}
