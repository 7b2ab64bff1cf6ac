//! Takes a request from its caller to a target and its answer back.

mod admit;
mod record;

pub(crate) use record::Record;

use crate::adapter::SendMeta;
use crate::call::Call;
use crate::caller::{Caller, Received};
use crate::clock;
use crate::exchange::{Exchange, SendError};
use crate::link::Link;
use crate::logging::millis;
use crate::relay::Relay;
use crate::reply::Reply;
use crate::runtime::{spawn, within};
use crate::state::{Gateway, Ticket, lock};
use almondcroft_core::gateway::{Choice, Demand, Need, Placement};
use almondcroft_core::{TargetId, Timestamp, Verdict};
use almondcroft_proto::http1::ResponseHead;
use std::sync::Arc;
use std::time::Duration;

/// Targets that are asked in all, those that said they did not run the request included.
const MAX_SENDS: u32 = 4;

/// Longest answer that is gathered before its first byte is sent on, in bytes.
const MAX_GATHERED: usize = 256 * 1024;

/// Part of the aim after which a request that may be repeated is sent to another target.
const REPEAT_PART: f64 = 0.8;

/// Shortest such time.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(150);

/// Patience of callers, as a multiple of the aim.
const PATIENCE: u32 = 4;

/// Shortest patience of callers.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a caller whose request found no target may come back.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time to learn whether a target that broke a connection is still there.
const CRASH_CHECK: Duration = Duration::from_millis(300);

/// Outputs from this many tokens on are long: they rank behind short ones and are kept safe.
pub(crate) const LONG_OUTPUT: u32 = 120;

/// Part of the greatest output that is expected where the caller gives no hint.
const EXPECTED_PART: u32 = 2;

/// Tells what came of one send.
enum Attempt {
    /// The target answered; the body is whole.
    Answer(ResponseHead, Vec<u8>),
    /// The answer was sent on as it came; `true` if it was whole.
    Relayed(bool),
    /// The target did not run it.
    NotRun(&'static str),
    /// The target may have run it.
    Unknown(&'static str),
}

/// Handles one request; returns whether the connection is in order afterwards.
pub(crate) async fn handle(
    gateway: &Arc<Gateway>,
    received: Received,
    caller: &mut Caller,
) -> bool {
    let _guard = gateway.lifecycle.enter_request();
    match admit::admit(gateway, received) {
        Ok(call) => {
            let mut run = Run {
                record: Record::new(gateway, &call),
                gateway,
                call: Arc::new(call),
                caller,
                avoid: Vec::new(),
                runs: 0,
                sends: 0,
            };
            run.run().await
        }
        Err(rejection) => {
            let id = rejection.id.clone();
            log::info!(event = "rejected", request = id.as_deref().unwrap_or("-"),
                status = rejection.reply.status, reason = rejection.reply.kind,
                revision = rejection.revision,
                config_age_ms = gateway.config_age(clock::now()).map_or(-1, millis); "");
            gateway.metrics.count_outcome(rejection.reply.kind);
            let sent = caller.reply(gateway, &rejection.reply, id.as_ref()).await;
            sent.is_ok()
        }
    }
}

/// Carries one request through its attempts.
struct Run<'a> {
    gateway: &'a Arc<Gateway>,
    call: Arc<Call>,
    caller: &'a mut Caller,
    record: Record,
    avoid: Vec<TargetId>,
    runs: u32,
    sends: u32,
}

impl Run<'_> {
    async fn run(&mut self) -> bool {
        self.gateway.note_request(&self.call.service, clock::now());
        let mut kept: Option<(ResponseHead, Vec<u8>)> = None;
        loop {
            let (ticket, choice) = match self.place().await {
                Ok(placed) => placed,
                Err(reply) => return self.conclude(kept, reply).await,
            };
            let target = choice.target.clone();
            match self.attempt(ticket, choice).await {
                Attempt::Relayed(whole) => return whole,
                Attempt::Answer(head, body) => {
                    self.runs += 1;
                    if head.status < 500 || !self.may_repeat(&target) {
                        return self.answer(&head, &body).await;
                    }
                    kept = Some((head, body));
                }
                Attempt::NotRun(reason) => {
                    if !self.may_go_elsewhere(&target) {
                        let reply = Reply::refused(reason, RETRY_AFTER);
                        return self.conclude(kept, reply).await;
                    }
                }
                Attempt::Unknown(reason) => {
                    self.runs += 1;
                    if !self.may_repeat(&target) {
                        let status = if reason == "timeout" { 504 } else { 502 };
                        return self.conclude(kept, Reply::failed(status, reason)).await;
                    }
                }
            }
        }
    }

    /// Waits for a target.
    async fn place(&mut self) -> Result<(Ticket, Choice), Reply> {
        let now = clock::now();
        let left = self.call.left(now);
        let placing = self
            .gateway
            .place(demand(self.gateway, &self.call, &self.avoid));
        let placed = within(left, placing).await;
        self.record.waited(clock::now().saturating_sub(now));
        match placed {
            Some((ticket, Placement::Send(choice))) => Ok((ticket, choice)),
            Some((
                _,
                Placement::Refused {
                    reason,
                    retry_after,
                },
            )) => Err(Reply::refused(reason.as_str(), retry_after)),
            None => Err(Reply::refused("late", RETRY_AFTER)),
        }
    }

    async fn attempt(&mut self, ticket: Ticket, choice: Choice) -> Attempt {
        let now = clock::now();
        let left = self.call.left(now);
        let limit = self.attempt_time(left);
        let backup = self.backup(&ticket, now);
        let send = send_meta(&self.call, &choice, backup.as_ref(), now);
        lock(&self.gateway.fleet).set_backup(
            &ticket.request,
            backup.as_ref().map(|choice| &choice.target),
        );
        self.sends += 1;
        self.record.sent(&choice, backup.as_ref(), now);
        let opened = Exchange::open(self.gateway, &self.call, choice.address, &send, limit).await;
        match opened {
            Ok(exchange) => {
                self.take_answer(ticket, choice, backup, exchange, now)
                    .await
            }
            Err(error) => self.take_fault(&choice, error),
        }
    }

    /// Returns the time after which a send is given up.
    fn attempt_time(&self, left: Duration) -> Duration {
        if self.call.repeats() && self.runs + 1 < self.call.route.max_attempts {
            let time = self.call.route.latency_objective.mul_f64(REPEAT_PART);
            return left.min(time.max(MIN_REPEAT_TIME));
        }
        left
    }

    /// Chooses an engine that keeps a copy of a long generation.
    fn backup(&self, ticket: &Ticket, now: Timestamp) -> Option<Choice> {
        let config = self.gateway.config()?;
        let engine = config.pools.get(&self.call.service)?.engine.as_ref()?;
        let long = self.call.is_stream() && expected(&self.call).output >= LONG_OUTPUT;
        if !engine.backups || !long {
            return None;
        }
        lock(&self.gateway.fleet).choose_backup_target(&ticket.request, now)
    }

    async fn take_answer(
        &mut self,
        ticket: Ticket,
        choice: Choice,
        backup: Option<Choice>,
        exchange: Exchange,
        sent: Timestamp,
    ) -> Attempt {
        let now = clock::now();
        let target = &choice.target;
        if let Some((running, waiting)) = exchange.meta.load {
            lock(&self.gateway.fleet).record_reported_load(target, running, waiting, now);
        }
        let status = exchange.head.status;
        if exchange.meta.not_run || status == 421 {
            lock(&self.gateway.fleet).record_rejection(target, now);
            self.record.fault(target, "target-refused", Verdict::NotRun);
            exchange.finish(self.gateway);
            return Attempt::NotRun("target-refused");
        }
        let success = (200..300).contains(&status);
        let encoded = exchange.head.headers.count("content-encoding") > 0;
        if encoded || (success && !exchange.meta.signed) || matches!(status, 408 | 429 | 503) {
            self.strike(target, true);
            self.record.fault(target, "unsigned", Verdict::MayHaveRun);
            return Attempt::Unknown("unsigned");
        }
        let works = lock(&self.gateway.fleet).record_response_start(&ticket.request, now);
        self.gateway.deliver(works);
        if success && self.call.is_stream() {
            let relay = Relay::new(
                self.gateway,
                &self.call,
                ticket,
                choice,
                backup.map(|choice| choice.target),
                exchange,
            );
            let whole = relay.run(self.caller, &mut self.record).await;
            return Attempt::Relayed(whole);
        }
        self.gather(&choice, exchange, sent).await
    }

    /// Reads the whole body before anything of it is sent on, if it is short.
    async fn gather(
        &mut self,
        choice: &Choice,
        mut exchange: Exchange,
        sent: Timestamp,
    ) -> Attempt {
        let mut body = Vec::new();
        loop {
            let left = self.call.left(clock::now());
            match within(left, exchange.read(&mut body)).await {
                Some(Ok(true)) if body.len() <= MAX_GATHERED => {}
                Some(Ok(true)) => return self.pass_on(exchange, body).await,
                Some(Ok(false)) => break,
                Some(Err(error)) => {
                    self.strike(&choice.target, true);
                    let kind = error.kind();
                    self.record.fault(&choice.target, kind, Verdict::MayHaveRun);
                    return Attempt::Unknown("truncated");
                }
                None => {
                    self.strike(&choice.target, true);
                    return Attempt::Unknown("timeout");
                }
            }
        }
        let now = clock::now();
        if exchange.head.status < 500 {
            let took = now.saturating_sub(sent);
            lock(&self.gateway.fleet).record_success(&choice.target, took);
            lock(&self.gateway.quarantine).record_success(self.call.fingerprint);
        } else {
            self.strike(&choice.target, false);
        }
        let head = exchange.head.clone();
        exchange.finish(self.gateway);
        Attempt::Answer(head, body)
    }

    /// Sends a long answer on as it comes.
    async fn pass_on(&mut self, mut exchange: Exchange, first: Vec<u8>) -> Attempt {
        let mut sent = self.caller.begin(&exchange.head, &first).await.is_ok();
        self.record.progress();
        let mut piece = Vec::new();
        while sent {
            piece.clear();
            let left = self.call.left(clock::now());
            match within(left, exchange.read(&mut piece)).await {
                Some(Ok(true)) => sent = self.caller.piece(&piece).await.is_ok(),
                Some(Ok(false)) => {
                    let whole = self.caller.end().await.is_ok();
                    self.record.end(
                        exchange.head.status,
                        if whole { "answered" } else { "caller-gone" },
                    );
                    exchange.finish(self.gateway);
                    return Attempt::Relayed(whole);
                }
                Some(Err(_)) | None => break,
            }
        }
        self.record.end(0, "broken-off");
        Attempt::Relayed(false)
    }

    /// Judges a send that brought no answer.
    fn take_fault(&mut self, choice: &Choice, error: SendError) -> Attempt {
        let target = &choice.target;
        self.record.fault(target, error.kind, error.verdict);
        self.strike(target, true);
        match error.verdict {
            Verdict::NotRun => Attempt::NotRun(error.kind),
            Verdict::MayHaveRun | Verdict::Ran => {
                if error.kind != "target-timeout" {
                    check_crash(self.gateway, &self.call, choice);
                    return Attempt::Unknown(error.kind);
                }
                Attempt::Unknown("timeout")
            }
        }
    }

    fn strike(&self, target: &TargetId, hard: bool) {
        lock(&self.gateway.fleet).record_failure(target, hard, clock::now());
    }

    /// Returns whether a request that may have run is sent once more.
    fn may_repeat(&mut self, target: &TargetId) -> bool {
        self.call.repeats()
            && self.runs < self.call.route.max_attempts
            && self.may_go_elsewhere(target)
    }

    /// Returns whether a request is sent to another target, within the fleet's budget.
    fn may_go_elsewhere(&mut self, target: &TargetId) -> bool {
        let now = clock::now();
        let quarantined = lock(&self.gateway.quarantine)
            .remaining(self.call.fingerprint, now)
            .is_some();
        let may = self.sends < MAX_SENDS
            && !quarantined
            && !self.call.left(now).is_zero()
            && self
                .gateway
                .take_retry(&self.call.service, self.call.name(), now);
        if may {
            self.avoid.push(target.clone());
        }
        may
    }

    /// Ends with the last answer of a target if there is one, else with an own one.
    async fn conclude(&mut self, kept: Option<(ResponseHead, Vec<u8>)>, reply: Reply) -> bool {
        if let Some((head, body)) = kept {
            return self.answer(&head, &body).await;
        }
        // Once a target may have run it, no answer may promise that it did not.
        let reply = if self.runs > 0 && reply.verdict == Verdict::NotRun {
            Reply::failed(502, reply.kind)
        } else {
            reply
        };
        self.record.end(reply.status, reply.kind);
        let id = self.call.meta.id.as_ref();
        let sent = self.caller.reply(self.gateway, &reply, id).await;
        sent.is_ok()
    }

    async fn answer(&mut self, head: &ResponseHead, body: &[u8]) -> bool {
        self.record.progress();
        let sent = self.caller.answer(head, body).await;
        self.record.end(
            head.status,
            if sent.is_ok() {
                "answered"
            } else {
                "caller-gone"
            },
        );
        sent.is_ok()
    }
}

/// Returns what a request asks of the fleet.
fn demand(gateway: &Gateway, call: &Call, avoid: &[TargetId]) -> Demand {
    let need = expected(call);
    Demand {
        id: call.id.clone(),
        service: call.service.clone(),
        priority: rank(call).unwrap_or_default(),
        need,
        caller_timeout: (call.route.latency_objective * PATIENCE).max(MIN_PATIENCE),
        start_deadline: (need.tokens() > 0).then(|| call.arrived + call.route.latency_objective),
        deadline: call.deadline(),
        zone: gateway.settings.zone.clone(),
        region: gateway.settings.region.clone(),
        is_copy: false,
        avoid: avoid.to_vec(),
    }
}

/// Returns what is set on a request to a target that begins it.
pub(crate) fn send_meta(
    call: &Call,
    choice: &Choice,
    keeper: Option<&Choice>,
    now: Timestamp,
) -> SendMeta {
    SendMeta {
        left: call.left(now),
        target: choice.target.clone(),
        customer: call.customer.as_ref().map(|c| c.id.clone()),
        rank: rank(call),
        backup: keeper.map(|keeper| keeper.address),
        resume: None,
    }
}

/// Returns what a generation is expected to take.
pub(crate) fn expected(call: &Call) -> Need {
    let Some(generation) = &call.meta.generation else {
        return Need::default();
    };
    let guess = generation.most / EXPECTED_PART;
    Need {
        prompt: generation.prompt,
        output: generation.hint.unwrap_or(guess).min(generation.most),
        prefilled: false,
    }
}

/// Returns the rank at an engine: by priority, short outputs before long ones.
fn rank(call: &Call) -> Option<u8> {
    call.meta.generation.as_ref()?;
    let long = u8::from(expected(call).output >= LONG_OUTPUT);
    Some((call.priority().saturating_mul(2) + long).min(9))
}

/// Learns in the background whether a broken connection was the target's crash.
pub(crate) fn check_crash(gateway: &Arc<Gateway>, call: &Arc<Call>, choice: &Choice) {
    let (gateway, call) = (Arc::clone(gateway), Arc::clone(call));
    let (target, address) = (choice.target.clone(), choice.address);
    if lock(&gateway.fleet).is_leaving(&target) {
        return;
    }
    spawn(async move {
        if Link::connect(address, CRASH_CHECK).await.is_ok() {
            return;
        }
        let now = clock::now();
        let count = lock(&gateway.quarantine).record_crash(call.fingerprint, now);
        lock(&gateway.fleet).record_failure(&target, true, now);
        log::info!(event = "crash", request = call.name(), target_id = target.as_str(), count = count; "");
    });
}
