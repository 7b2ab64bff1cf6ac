//! Discrete-event simulation of routers and engines in virtual time.

use super::metrics::{Metrics, MetricsRecorder};
use super::workload::{Arrival, Class, prefix_tokens};
use super::{PolicyName, Setup, capacity};
use crate::engine::{Engine, EngineSpec, Generation, Step};
use almondcroft_core::router::{
    Decision, LoadReport, Policy, RouteRequest, Router, RouterOptions, TargetSpec,
};
use almondcroft_core::trace::{Replayer, TraceEvent, TraceHeader, TraceLine};
use almondcroft_core::{RegionId, Timestamp};
use smol_str::{SmolStr, format_smolstr};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::time::Duration;

/// Time between two load reports of an engine to a VM.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two ticks of a VM's router.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two snapshots of an engine's load; load reports are taken from them.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Time between the notice and the reclaim of an engine.
const RECLAIM_NOTICE: Duration = Duration::from_secs(10);

/// One-way delay between regions.
const LINK_DELAY: Duration = Duration::from_millis(20);

/// Size of the event of one token, in bytes.
const EVENT_BYTES: u64 = 180;

/// Size of one prompt token, in bytes.
const PROMPT_TOKEN_BYTES: u64 = 4;

/// Number of regions.
const REGIONS: usize = 3;

/// Number of tokens between two progress events to the router.
const PROGRESS_INTERVAL: u64 = 16;

/// Number of customers.
const CUSTOMERS: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    StepEnd(usize),
    Report(usize, usize),
    Tick(usize),
    Snapshot(usize),
    Deadline(usize),
    ReclaimNotice(usize),
    Reclaim(usize),
}

struct Request {
    arrival: Arrival,
    vm: usize,
    engine: Option<usize>,
    produced: u64,
    last_event: Timestamp,
    stall: Duration,
    ended: bool,
}

struct SimulatedEngine {
    engine: Engine,
    step: Option<Step>,
    history: VecDeque<LoadReport>,
    reclaimed: bool,
    leaving: bool,
}

pub(super) struct Simulation<'a> {
    setup: &'a Setup,
    capacity: f64,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    routers: Vec<Router>,
    engines: Vec<SimulatedEngine>,
    requests: Vec<Request>,
    unfinished: usize,
    request_indices: HashMap<SmolStr, usize>,
    metrics: MetricsRecorder,
    trace: Option<BufWriter<File>>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(setup: &'a Setup) -> Self {
        let capacity = capacity::requests_per_second(setup.workload);
        let count = if setup.policy == PolicyName::Oracle {
            1
        } else {
            setup.vms
        };
        let options = RouterOptions {
            policy: match setup.policy {
                PolicyName::Router(policy) => policy,
                PolicyName::Oracle => Policy::Almondcroft,
            },
            vms: count,
            ..setup.options
        };
        let routers = (0..count)
            .map(|index| Router::new(options, setup.seed + u64::from(index)))
            .collect();
        let engines = (0..setup.workload.engines()).map(|_| SimulatedEngine {
            engine: Engine::new(EngineSpec::default()),
            step: None,
            history: VecDeque::new(),
            reclaimed: false,
            leaving: false,
        });
        let mut simulation = Self {
            setup,
            capacity,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            routers,
            engines: engines.collect(),
            requests: Vec::new(),
            unfinished: 0,
            request_indices: HashMap::new(),
            metrics: MetricsRecorder::new(CUSTOMERS),
            trace: None,
        };
        simulation.open_trace(options);
        simulation.schedule_initial_events();
        simulation
    }

    fn open_trace(&mut self, options: RouterOptions) {
        let Some(path) = &self.setup.trace_file else {
            return;
        };
        let header = TraceHeader {
            options,
            seed: self.setup.seed,
        };
        self.trace = File::create(path).ok().map(BufWriter::new);
        self.write_trace(&header);
    }

    fn write_trace(&mut self, value: &impl serde::Serialize) {
        if let Some(file) = &mut self.trace {
            let text = serde_json::to_string(value).unwrap_or_default();
            if let Err(error) = writeln!(file, "{text}") {
                eprintln!("cannot write the trace: {error}");
            }
        }
    }

    fn schedule_initial_events(&mut self) {
        let rate = self.capacity * self.setup.load;
        let arrivals =
            self.setup
                .workload
                .draw_arrivals(rate, self.setup.duration, self.setup.seed);
        for (index, arrival) in arrivals.into_iter().enumerate() {
            self.schedule(arrival.at, Event::Arrive(index));
            let vm = index % self.routers.len();
            self.requests.push(Request {
                last_event: arrival.at,
                arrival,
                vm,
                engine: None,
                produced: 0,
                stall: Duration::ZERO,
                ended: false,
            });
        }
        self.unfinished = self.requests.len();
        let targets = self.target_specs();
        for vm in 0..self.routers.len() {
            self.apply_event(
                vm,
                TraceEvent::Targets {
                    targets: targets.clone(),
                },
            );
            self.schedule(TICK_INTERVAL, Event::Tick(vm));
            for engine in 0..self.engines.len() {
                // Spreads the reports of different engines to different VMs over the interval.
                let slot = u32::try_from((vm * 13 + engine * 7) % 25).unwrap_or(0);
                self.schedule(REPORT_INTERVAL / 25 * slot, Event::Report(vm, engine));
            }
        }
        for engine in 0..self.engines.len() {
            self.schedule(Duration::ZERO, Event::Snapshot(engine));
        }
        let reclaim = self.setup.duration / 2;
        let last = self.engines.len() - 1;
        self.schedule(reclaim, Event::ReclaimNotice(last));
        self.schedule(reclaim + RECLAIM_NOTICE, Event::Reclaim(last));
    }

    fn target_specs(&self) -> Vec<TargetSpec> {
        let services = self.setup.workload.classes();
        let services: Vec<SmolStr> = services.iter().map(|class| class.service.into()).collect();
        (0..self.engines.len())
            .map(|engine| TargetSpec {
                id: engine_name(engine),
                services: services.clone(),
                region: region(engine),
            })
            .collect()
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    pub(super) fn run(mut self) -> Metrics {
        while self.unfinished > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.metrics.preemptions = self
            .engines
            .iter()
            .map(|simulated| simulated.engine.preemptions())
            .sum();
        self.metrics.finish(self.setup, self.capacity)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.handle_arrival(index),
            Event::StepEnd(engine) => self.finish_step(engine),
            Event::Report(vm, engine) => self.deliver_report(vm, engine),
            Event::Tick(vm) => {
                self.apply_event(vm, TraceEvent::Tick);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(vm));
            }
            Event::Snapshot(engine) => self.take_snapshot(engine),
            Event::Deadline(index) => self.cancel_at_deadline(index),
            Event::ReclaimNotice(engine) => self.engines[engine].leaving = true,
            Event::Reclaim(engine) => self.reclaim_engine(engine),
        }
    }

    fn class_of(&self, index: usize) -> &'static Class {
        &self.setup.workload.classes()[self.requests[index].arrival.class]
    }

    fn handle_arrival(&mut self, index: usize) {
        self.metrics
            .record_offered(self.requests[index].arrival.customer);
        let deadline = self.now + self.class_of(index).deadline;
        self.schedule(deadline, Event::Deadline(index));
        let request = self.route_request(index);
        self.request_indices.insert(request.id.clone(), index);
        let vm = self.requests[index].vm;
        self.apply_event(vm, TraceEvent::Submit { request });
    }

    fn route_request(&self, index: usize) -> RouteRequest {
        let arrival = &self.requests[index].arrival;
        let class = self.class_of(index);
        let oracle = self.setup.policy == PolicyName::Oracle;
        RouteRequest {
            id: format_smolstr!("r{index}"),
            customer: format_smolstr!("c{}", arrival.customer),
            service: class.service.into(),
            priority: class.priority,
            worth: class.worth,
            deadline: arrival.at + class.deadline,
            prompt: arrival.prompt,
            prefix: arrival.prefix,
            region: region(index % self.setup.vms as usize),
            max_tokens: None,
            known_length: oracle.then_some(arrival.length),
        }
    }

    /// Applies an event to a VM's router and carries out its decisions.
    fn apply_event(&mut self, vm: usize, event: TraceEvent) {
        let is_traced = vm == 0 && self.trace.is_some() && self.now <= self.setup.duration;
        let traced = is_traced.then(|| event.clone());
        let decisions = Replayer::apply(&mut self.routers[vm], event, self.now);
        if let Some(event) = traced {
            self.write_trace(&TraceLine {
                at: self.now,
                event,
                decisions: decisions.clone(),
            });
        }
        for decision in decisions {
            match decision {
                Decision::Dispatch { request, target } => self.dispatch(&request, &target),
                Decision::Refuse { request, .. } => {
                    let index = self.request_indices[&request];
                    self.requests[index].ended = true;
                    self.unfinished -= 1;
                    self.metrics.refused += 1;
                }
            }
        }
    }

    fn dispatch(&mut self, request: &SmolStr, target: &SmolStr) {
        let index = self.request_indices[request];
        let engine = engine_index(target);
        let class = self.class_of(index);
        let arrival = &self.requests[index].arrival;
        let mut generation = Generation::new(
            request.clone(),
            u64::from(arrival.prompt),
            u64::from(arrival.length),
            self.now,
        )
        .priority(class.priority);
        if let Some(prefix) = arrival.prefix {
            generation = generation.prefix(prefix, prefix_tokens());
        }
        if self.is_remote(index, engine) {
            self.metrics.link_bytes += PROMPT_TOKEN_BYTES * u64::from(arrival.prompt);
        }
        self.metrics.started += 1;
        self.requests[index].engine = Some(engine);
        if self.engines[engine].reclaimed {
            self.handle_engine_loss(index);
            return;
        }
        self.engines[engine].engine.submit(generation);
        self.start_step(engine);
    }

    fn is_remote(&self, index: usize, engine: usize) -> bool {
        region(index % self.setup.vms as usize) != region(engine)
    }

    fn start_step(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        if simulated.reclaimed || simulated.step.is_some() || simulated.engine.is_idle() {
            return;
        }
        let step = simulated.engine.step();
        let end = self.now + step.time;
        simulated.step = Some(step);
        self.schedule(end, Event::StepEnd(engine));
    }

    fn finish_step(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].step.take() else {
            return;
        };
        for (id, offset, last) in step.tokens {
            let index = self.request_indices[&id];
            if !self.requests[index].ended {
                self.record_token(index, engine, offset, last);
            }
        }
        self.start_step(engine);
    }

    fn record_token(&mut self, index: usize, engine: usize, offset: u64, last: bool) {
        let class = self.class_of(index);
        let urgent = class.priority == 0;
        let remote = self.is_remote(index, engine);
        let delay =
            self.setup.workload.caller_delay() + if remote { LINK_DELAY } else { Duration::ZERO };
        if remote {
            self.metrics.link_bytes += EVENT_BYTES;
        }
        let received_at = self.now + delay;
        let request = &mut self.requests[index];
        let gap = received_at.saturating_sub(request.last_event);
        request.last_event = received_at;
        request.stall = request.stall.max(gap);
        request.produced = offset + 1;
        if offset == 0 {
            self.metrics.record_first_token(gap, urgent);
        } else {
            self.metrics.record_gap(gap, urgent);
        }
        let vm = self.requests[index].vm;
        if last || offset.is_multiple_of(PROGRESS_INTERVAL) {
            let event = TraceEvent::Progress {
                request: format_smolstr!("r{index}"),
                produced: u32::try_from(offset + 1).unwrap_or(u32::MAX),
            };
            self.apply_event(vm, event);
        }
        if last {
            let customer = self.requests[index].arrival.customer;
            self.metrics.record_completed(customer, class.worth);
            self.finish_request(index, true);
        }
    }

    /// Finishes a request that was dispatched.
    fn finish_request(&mut self, index: usize, complete: bool) {
        let request = &mut self.requests[index];
        request.ended = true;
        self.unfinished -= 1;
        let (vm, stall) = (request.vm, request.stall);
        self.metrics.record_stall(stall);
        let event = TraceEvent::Finished {
            request: format_smolstr!("r{index}"),
            complete,
        };
        self.apply_event(vm, event);
    }

    /// Cancels a request at its deadline, unless it has ended.
    fn cancel_at_deadline(&mut self, index: usize) {
        if self.requests[index].ended {
            return;
        }
        let request = &mut self.requests[index];
        request.stall = request
            .stall
            .max(self.now.saturating_sub(request.last_event));
        if let Some(engine) = request.engine {
            self.engines[engine]
                .engine
                .cancel(&format_smolstr!("r{index}"));
        }
        self.metrics.late += 1;
        self.finish_request(index, false);
    }

    fn take_snapshot(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        simulated.history.push_back(LoadReport {
            at: self.now,
            running: u32::try_from(simulated.engine.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(simulated.engine.waiting()).unwrap_or(u32::MAX),
            kv_used: simulated.engine.kv_used(),
            kv_total: simulated.engine.kv_total(),
            preemptions: simulated.engine.preemptions(),
        });
        let lag = self.setup.report_lag + SNAPSHOT_INTERVAL * 2;
        while simulated.history.len() > 2 && simulated.history[1].at + lag < self.now {
            simulated.history.pop_front();
        }
        self.schedule(self.now + SNAPSHOT_INTERVAL, Event::Snapshot(engine));
    }

    fn deliver_report(&mut self, vm: usize, engine: usize) {
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(vm, engine));
        let target = engine_name(engine);
        let simulated = &self.engines[engine];
        if simulated.leaving || simulated.reclaimed {
            let event = TraceEvent::Usable {
                target,
                usable: false,
            };
            self.apply_event(vm, event);
            return;
        }
        let lag = if self.setup.policy == PolicyName::Oracle {
            Duration::ZERO
        } else {
            self.setup.report_lag
        };
        let visible_until = self.now.saturating_sub(lag);
        let latest = simulated
            .history
            .iter()
            .rev()
            .find(|report| report.at <= visible_until);
        if let Some(report) = latest.copied() {
            self.apply_event(vm, TraceEvent::Report { target, report });
        }
    }

    /// Removes an engine; requests with output are lost, those without are resubmitted.
    fn reclaim_engine(&mut self, engine: usize) {
        self.engines[engine].reclaimed = true;
        self.engines[engine].step = None;
        let affected = |request: &Request| request.engine == Some(engine) && !request.ended;
        let indices: Vec<usize> = (0..self.requests.len())
            .filter(|index| affected(&self.requests[*index]))
            .collect();
        for index in indices {
            self.handle_engine_loss(index);
        }
    }

    fn handle_engine_loss(&mut self, index: usize) {
        let vm = self.requests[index].vm;
        if self.requests[index].produced > 0 {
            self.metrics.lost += 1;
            self.finish_request(index, false);
            return;
        }
        let finished = TraceEvent::Finished {
            request: format_smolstr!("r{index}"),
            complete: false,
        };
        self.apply_event(vm, finished);
        let failed = self.requests[index].engine.map(engine_name);
        self.requests[index].engine = None;
        let event = TraceEvent::Resubmit {
            request: self.route_request(index),
            failed: failed.unwrap_or_default(),
        };
        self.apply_event(vm, event);
    }
}

fn engine_name(engine: usize) -> SmolStr {
    format_smolstr!("engine-{engine:02}")
}

fn engine_index(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn region(index: usize) -> RegionId {
    format_smolstr!("region-{}", index % REGIONS)
}
