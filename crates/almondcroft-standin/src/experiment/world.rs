//! Routers and engine fakes, stepped in virtual time.

use super::figures::{Figures, Gauge};
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

/// Time between two looks of a VM at its queue.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two states of an engine that later reports can show.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Time of warning before an engine is reclaimed.
const RECLAIM_NOTICE: Duration = Duration::from_secs(10);

/// One-way delay between regions.
const LINK_DELAY: Duration = Duration::from_millis(20);

/// Bytes of one token's event.
const EVENT_BYTES: u64 = 180;

/// Bytes of one prompt token.
const PROMPT_TOKEN_BYTES: u64 = 4;

/// Regions of a deployment.
const REGIONS: usize = 3;

/// Tokens between two reports of progress to the router.
const PROGRESS_STEP: u64 = 16;

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
    Warn(usize),
    Reclaim(usize),
}

struct Request {
    arrival: Arrival,
    vm: usize,
    engine: Option<usize>,
    produced: u64,
    last: Timestamp,
    stall: Duration,
    ended: bool,
}

struct Fake {
    engine: Engine,
    step: Option<Step>,
    history: VecDeque<LoadReport>,
    dead: bool,
    leaving: bool,
}

pub(super) struct World<'a> {
    setup: &'a Setup,
    capacity: f64,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    routers: Vec<Router>,
    fakes: Vec<Fake>,
    requests: Vec<Request>,
    open: usize,
    names: HashMap<SmolStr, usize>,
    gauge: Gauge,
    record: Option<BufWriter<File>>,
}

impl<'a> World<'a> {
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
            .map(|number| Router::new(options, setup.seed + u64::from(number)))
            .collect();
        let fakes = (0..setup.workload.engines()).map(|_| Fake {
            engine: Engine::new(EngineSpec::default()),
            step: None,
            history: VecDeque::new(),
            dead: false,
            leaving: false,
        });
        let mut world = Self {
            setup,
            capacity,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            routers,
            fakes: fakes.collect(),
            requests: Vec::new(),
            open: 0,
            names: HashMap::new(),
            gauge: Gauge::new(CUSTOMERS),
            record: None,
        };
        world.open_record(options);
        world.prepare();
        world
    }

    fn open_record(&mut self, options: RouterOptions) {
        let Some(path) = &self.setup.record else {
            return;
        };
        let header = TraceHeader {
            options,
            seed: self.setup.seed,
        };
        self.record = File::create(path).ok().map(BufWriter::new);
        self.write_record(&header);
    }

    fn write_record(&mut self, value: &impl serde::Serialize) {
        if let Some(file) = &mut self.record {
            let text = serde_json::to_string(value).unwrap_or_default();
            if let Err(error) = writeln!(file, "{text}") {
                eprintln!("the trace cannot be written: {error}");
            }
        }
    }

    fn prepare(&mut self) {
        let rate = self.capacity * self.setup.load;
        let arrivals = self
            .setup
            .workload
            .arrivals(rate, self.setup.time, self.setup.seed);
        for (number, arrival) in arrivals.into_iter().enumerate() {
            self.schedule(arrival.at, Event::Arrive(number));
            let vm = number % self.routers.len();
            self.requests.push(Request {
                last: arrival.at,
                arrival,
                vm,
                engine: None,
                produced: 0,
                stall: Duration::ZERO,
                ended: false,
            });
        }
        self.open = self.requests.len();
        let targets = self.specs();
        for vm in 0..self.routers.len() {
            self.tell(
                vm,
                TraceEvent::Targets {
                    targets: targets.clone(),
                },
            );
            self.schedule(TICK_INTERVAL, Event::Tick(vm));
            for engine in 0..self.fakes.len() {
                // Reports of different engines to different VMs are spread over the interval.
                let place = u32::try_from((vm * 13 + engine * 7) % 25).unwrap_or(0);
                self.schedule(REPORT_INTERVAL / 25 * place, Event::Report(vm, engine));
            }
        }
        for engine in 0..self.fakes.len() {
            self.schedule(Duration::ZERO, Event::Snapshot(engine));
        }
        let reclaim = self.setup.time / 2;
        let last = self.fakes.len() - 1;
        self.schedule(reclaim, Event::Warn(last));
        self.schedule(reclaim + RECLAIM_NOTICE, Event::Reclaim(last));
    }

    fn specs(&self) -> Vec<TargetSpec> {
        let services = self.setup.workload.classes();
        let services: Vec<SmolStr> = services.iter().map(|class| class.service.into()).collect();
        (0..self.fakes.len())
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

    pub(super) fn run(mut self) -> Figures {
        while self.open > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.gauge.preemptions = self
            .fakes
            .iter()
            .map(|fake| fake.engine.preemptions())
            .sum();
        self.gauge.figures(self.setup, self.capacity)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::StepEnd(engine) => self.end_step(engine),
            Event::Report(vm, engine) => self.report(vm, engine),
            Event::Tick(vm) => {
                self.tell(vm, TraceEvent::Tick);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(vm));
            }
            Event::Snapshot(engine) => self.snapshot(engine),
            Event::Deadline(number) => self.cut(number),
            Event::Warn(engine) => self.fakes[engine].leaving = true,
            Event::Reclaim(engine) => self.reclaim(engine),
        }
    }

    fn class(&self, number: usize) -> &'static Class {
        &self.setup.workload.classes()[self.requests[number].arrival.class]
    }

    fn arrive(&mut self, number: usize) {
        self.gauge.offer(self.requests[number].arrival.customer);
        let deadline = self.now + self.class(number).deadline;
        self.schedule(deadline, Event::Deadline(number));
        let request = self.route(number);
        self.names.insert(request.id.clone(), number);
        let vm = self.requests[number].vm;
        self.tell(vm, TraceEvent::Submit { request });
    }

    fn route(&self, number: usize) -> RouteRequest {
        let arrival = &self.requests[number].arrival;
        let class = self.class(number);
        let oracle = self.setup.policy == PolicyName::Oracle;
        RouteRequest {
            id: format_smolstr!("r{number}"),
            customer: format_smolstr!("c{}", arrival.customer),
            service: class.service.into(),
            priority: class.priority,
            worth: class.worth,
            deadline: arrival.at + class.deadline,
            prompt: arrival.prompt,
            prefix: arrival.prefix,
            region: region(number % self.setup.vms as usize),
            max_tokens: None,
            known_length: oracle.then_some(arrival.length),
        }
    }

    /// Hands an event to a router and acts on its decisions.
    fn tell(&mut self, vm: usize, event: TraceEvent) {
        let recording = vm == 0 && self.record.is_some() && self.now <= self.setup.time;
        let recorded = recording.then(|| event.clone());
        let decisions = Replayer::apply(&mut self.routers[vm], event, self.now);
        if let Some(event) = recorded {
            self.write_record(&TraceLine {
                at: self.now,
                event,
                decisions: decisions.clone(),
            });
        }
        for decision in decisions {
            match decision {
                Decision::Dispatch { request, target } => self.dispatch(&request, &target),
                Decision::Refuse { request, .. } => {
                    let number = self.names[&request];
                    self.requests[number].ended = true;
                    self.open -= 1;
                    self.gauge.refused += 1;
                }
            }
        }
    }

    fn dispatch(&mut self, request: &SmolStr, target: &SmolStr) {
        let number = self.names[request];
        let engine = engine_number(target);
        let class = self.class(number);
        let arrival = &self.requests[number].arrival;
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
        if self.is_remote(number, engine) {
            self.gauge.link_bytes += PROMPT_TOKEN_BYTES * u64::from(arrival.prompt);
        }
        self.gauge.begun += 1;
        self.requests[number].engine = Some(engine);
        if self.fakes[engine].dead {
            self.lose(number);
            return;
        }
        self.fakes[engine].engine.submit(generation);
        self.begin_step(engine);
    }

    fn is_remote(&self, number: usize, engine: usize) -> bool {
        region(number % self.setup.vms as usize) != region(engine)
    }

    fn begin_step(&mut self, engine: usize) {
        let fake = &mut self.fakes[engine];
        if fake.dead || fake.step.is_some() || fake.engine.is_idle() {
            return;
        }
        let step = fake.engine.step();
        let end = self.now + step.time;
        fake.step = Some(step);
        self.schedule(end, Event::StepEnd(engine));
    }

    fn end_step(&mut self, engine: usize) {
        let Some(step) = self.fakes[engine].step.take() else {
            return;
        };
        for (id, offset, last) in step.tokens {
            let number = self.names[&id];
            if !self.requests[number].ended {
                self.take_token(number, engine, offset, last);
            }
        }
        self.begin_step(engine);
    }

    fn take_token(&mut self, number: usize, engine: usize, offset: u64, last: bool) {
        let class = self.class(number);
        let urgent = class.priority == 0;
        let remote = self.is_remote(number, engine);
        let delay =
            self.setup.workload.caller_delay() + if remote { LINK_DELAY } else { Duration::ZERO };
        if remote {
            self.gauge.link_bytes += EVENT_BYTES;
        }
        let seen = self.now + delay;
        let request = &mut self.requests[number];
        let gap = seen.saturating_sub(request.last);
        request.last = seen;
        request.stall = request.stall.max(gap);
        request.produced = offset + 1;
        if offset == 0 {
            self.gauge.first_token(gap, urgent);
        } else {
            self.gauge.gap(gap, urgent);
        }
        let vm = self.requests[number].vm;
        if last || offset.is_multiple_of(PROGRESS_STEP) {
            let event = TraceEvent::Progress {
                request: format_smolstr!("r{number}"),
                produced: u32::try_from(offset + 1).unwrap_or(u32::MAX),
            };
            self.tell(vm, event);
        }
        if last {
            let customer = self.requests[number].arrival.customer;
            self.gauge.complete(customer, class.worth);
            self.end(number, true);
        }
    }

    /// Ends a request that was begun.
    fn end(&mut self, number: usize, complete: bool) {
        let request = &mut self.requests[number];
        request.ended = true;
        self.open -= 1;
        let (vm, stall) = (request.vm, request.stall);
        self.gauge.stall(stall);
        let event = TraceEvent::Finished {
            request: format_smolstr!("r{number}"),
            complete,
        };
        self.tell(vm, event);
    }

    /// Cancels a request at its deadline.
    fn cut(&mut self, number: usize) {
        if self.requests[number].ended {
            return;
        }
        let request = &mut self.requests[number];
        request.stall = request.stall.max(self.now.saturating_sub(request.last));
        if let Some(engine) = request.engine {
            self.fakes[engine]
                .engine
                .cancel(&format_smolstr!("r{number}"));
        }
        self.gauge.late += 1;
        self.end(number, false);
    }

    fn snapshot(&mut self, engine: usize) {
        let fake = &mut self.fakes[engine];
        fake.history.push_back(LoadReport {
            at: self.now,
            running: u32::try_from(fake.engine.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(fake.engine.waiting()).unwrap_or(u32::MAX),
            kv_used: fake.engine.kv_used(),
            kv_total: fake.engine.kv_total(),
            preemptions: fake.engine.preemptions(),
        });
        let lag = self.setup.report_lag + SNAPSHOT_INTERVAL * 2;
        while fake.history.len() > 2 && fake.history[1].at + lag < self.now {
            fake.history.pop_front();
        }
        self.schedule(self.now + SNAPSHOT_INTERVAL, Event::Snapshot(engine));
    }

    fn report(&mut self, vm: usize, engine: usize) {
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(vm, engine));
        let target = engine_name(engine);
        let fake = &self.fakes[engine];
        if fake.leaving || fake.dead {
            let event = TraceEvent::Usable {
                target,
                usable: false,
            };
            self.tell(vm, event);
            return;
        }
        let lag = if self.setup.policy == PolicyName::Oracle {
            Duration::ZERO
        } else {
            self.setup.report_lag
        };
        let wanted = self.now.saturating_sub(lag);
        let found = fake.history.iter().rev().find(|report| report.at <= wanted);
        if let Some(report) = found.copied() {
            self.tell(vm, TraceEvent::Report { target, report });
        }
    }

    /// Takes an engine away; what runs on it is lost, what has not begun is placed anew.
    fn reclaim(&mut self, engine: usize) {
        self.fakes[engine].dead = true;
        self.fakes[engine].step = None;
        let here = |request: &Request| request.engine == Some(engine) && !request.ended;
        let numbers: Vec<usize> = (0..self.requests.len())
            .filter(|number| here(&self.requests[*number]))
            .collect();
        for number in numbers {
            self.lose(number);
        }
    }

    fn lose(&mut self, number: usize) {
        let vm = self.requests[number].vm;
        if self.requests[number].produced > 0 {
            self.gauge.lost += 1;
            self.end(number, false);
            return;
        }
        let finished = TraceEvent::Finished {
            request: format_smolstr!("r{number}"),
            complete: false,
        };
        self.tell(vm, finished);
        let failed = self.requests[number].engine.map(engine_name);
        self.requests[number].engine = None;
        let event = TraceEvent::Resubmit {
            request: self.route(number),
            failed: failed.unwrap_or_default(),
        };
        self.tell(vm, event);
    }
}

fn engine_name(engine: usize) -> SmolStr {
    format_smolstr!("engine-{engine:02}")
}

fn engine_number(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn region(number: usize) -> RegionId {
    format_smolstr!("region-{}", number % REGIONS)
}
