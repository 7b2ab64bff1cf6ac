//! Forwards a request from its caller to a target, and the response back.

mod admit;
mod hedge;
mod request_log;
mod response;

pub(crate) use request_log::RequestLog;

use crate::adapter::SendMeta;
use crate::call::Call;
use crate::caller::{ReceivedRequest, ResponseWriter};
use crate::clock;
use crate::logging::millis;
use crate::reply::Reply;
use crate::run_stop::RunStops;
use crate::runtime::{sleep, spawn, within};
use crate::state::{ExtraPermit, Gateway, PlacementGuard, lock};
use crate::target_connect;
use crate::target_run::{TargetRun, crash_id};
use almondcroft_core::gateway::{Choice, Demand, ExtraSend, HedgePolicy, Need, Placement};
use almondcroft_core::{TargetId, Timestamp, Verdict};
use futures_lite::future::or;
use hedge::TargetSend;
use rand::seq::IndexedRandom;
use response::CollectedResponse;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of sends of one request, including those that the target did not run.
const MAX_SENDS: u32 = 4;

/// Fraction of the latency objective after which a repeatable request is sent to another target.
const ATTEMPT_FRACTION: f64 = 0.8;

/// Fraction of the time left after which a resumable stream that has not started is sent to another target.
const STREAM_ATTEMPT_FRACTION: f64 = 0.5;

/// Minimum time before a repeatable request is sent to another target.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time that callers are assumed to wait, as a multiple of the latency objective.
const PATIENCE_FACTOR: u32 = 4;

/// Minimum time that callers are assumed to wait.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a caller may retry a request for which there was no target.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Connect timeout for checking whether a target that broke a connection is still running.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between the two checks whether a target that sent nothing accepts connections; exceeds a short loss of packets.
const DARK_CHECK_PAUSE: Duration = Duration::from_millis(300);

/// Number of other targets that are tried to tell one that is dark from a VM that is cut off.
const COMPARED_TARGETS: usize = 2;

/// Minimum size of a long output, in tokens.
///
/// Long outputs get a lower priority than short ones, and a backup of their KV cache.
pub(crate) const LONG_OUTPUT_TOKENS: u32 = 120;

/// Divisor of the maximum output that yields the expected output if the caller gives no hint.
const EXPECTED_OUTPUT_DIVISOR: u32 = 2;

/// The result of one send.
enum Attempt {
    /// The target responded; the body is complete.
    Response(CollectedResponse),
    /// The response was forwarded as it arrived; its status if it was complete.
    Relayed(Option<u16>),
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request.
    MayHaveRun(&'static str),
    /// The target did not respond for a while, and another one may get the request; the retry budget was charged.
    GivenUp,
}

/// Handles one request; returns whether the caller's connection can be used for another one.
pub(crate) async fn handle(
    gateway: &Arc<Gateway>,
    received: ReceivedRequest,
    writer: &mut ResponseWriter,
) -> bool {
    let _guard = gateway.lifecycle.enter_request();
    match admit::admit(gateway, received) {
        Ok(call) => {
            writer.set_deadline(call.deadline());
            let mut dispatch = Dispatch {
                request_log: RequestLog::new(gateway, &call),
                gateway,
                call: Arc::new(call),
                writer,
                avoid: Vec::new(),
                stops: RunStops::default(),
                run_count: 0,
                send_count: 0,
                is_in_flight: false,
                permit: None,
            };
            let ended = async {
                gateway.lifecycle.wait_for_end().await;
                None
            };
            let handled = or(async { Some(dispatch.run().await) }, ended).await;
            match handled {
                Some(reusable) => reusable,
                None => dispatch.end_with_process().await,
            }
        }
        Err(rejection) => {
            let id = rejection.id.clone();
            log::info!(event = "rejected", request = id.as_deref().unwrap_or("-"),
                class = rejection.class.as_str(), order = rejection.order.id().as_str(),
                prompt = rejection.order.prompt, output = rejection.order.output,
                status = rejection.reply.status, reason = rejection.reply.kind,
                revision = rejection.revision,
                config_age_ms = gateway.config_age(clock::now()).map_or(-1, millis); "");
            gateway.metrics.count_outcome(rejection.reply.kind);
            let sent = writer
                .send_reply(gateway, &rejection.reply, id.as_ref())
                .await;
            sent.is_ok()
        }
    }
}

/// The state of one request across its attempts.
struct Dispatch<'a> {
    gateway: &'a Arc<Gateway>,
    call: Arc<Call>,
    writer: &'a mut ResponseWriter,
    request_log: RequestLog,
    avoid: Vec<TargetId>,
    /// The runs of generations at targets that do not answer any more, or whose answer is of no use.
    stops: RunStops,
    /// Number of sends that the targets ran or may have run.
    run_count: u32,
    send_count: u32,
    /// Whether a target may be running the request now.
    is_in_flight: bool,
    /// The permission to send the request once more.
    permit: Option<ExtraPermit>,
}

impl Dispatch<'_> {
    async fn run(&mut self) -> bool {
        self.gateway
            .record_request(&self.call.service, clock::now());
        if self.call.may_run_twice_at_once() {
            self.gateway
                .with_hedge_policy(&self.call.service, HedgePolicy::record_request);
        }
        let mut last_response = None;
        loop {
            let (placement_guard, choice) = match self.acquire_target().await {
                Ok(acquired) => acquired,
                Err(reply) => return self.finish(last_response, reply).await,
            };
            let target = choice.target.clone();
            if !self.gateway.may_send(&self.call, &target) {
                // The configuration or an evacuation has excluded the target while the request waited.
                continue;
            }
            if let Some(retry_after) = admit::shutdown_refusal(self.gateway, &self.call) {
                // It may have waited for its place since before the shutdown.
                let reply = Reply::refused("stopping", retry_after);
                return self.finish(last_response, reply).await;
            }
            if !self.renew_permit().await {
                let reply = Reply::refused("no-budget", RETRY_AFTER);
                return self.finish(last_response, reply).await;
            }
            let run = match TargetRun::admit(self.gateway, &self.call, &target) {
                Ok(run) => run,
                Err(remaining) => {
                    let reply = admit::part_refusal(remaining);
                    return self.finish(last_response, reply).await;
                }
            };
            self.is_in_flight = true;
            let before = choice.clone();
            let attempt = self.attempt(placement_guard, choice, run).await;
            self.is_in_flight = false;
            match attempt {
                Attempt::Relayed(None) => return false,
                Attempt::Relayed(Some(status)) => return self.deliver(status).await,
                Attempt::Response(response) => {
                    self.run_count += 1;
                    if response.head.status < 500 || !self.permit_repeat(&target).await {
                        return self.send_response(&response).await;
                    }
                    last_response = Some(response);
                }
                Attempt::NotRun(reason) => {
                    if !self.permit_retry(&target).await {
                        let reply = Reply::refused(reason, RETRY_AFTER);
                        return self.finish(last_response, reply).await;
                    }
                }
                Attempt::GivenUp => {
                    self.run_count += 1;
                    self.stop_run(&before).await;
                }
                Attempt::MayHaveRun(reason) => {
                    self.run_count += 1;
                    if !self.permit_repeat(&target).await {
                        let status = if reason == "timeout" { 504 } else { 502 };
                        return self
                            .finish(last_response, Reply::failed(status, reason))
                            .await;
                    }
                    self.stop_run(&before).await;
                }
            }
        }
    }

    /// Stops the run of a generation that is about to be sent to another target.
    async fn stop_run(&self, choice: &Choice) {
        if self.call.is_stream() {
            let run = (self.gateway, &self.call);
            self.stops.stop(run, &self.call.id, choice, false).await;
        }
    }

    /// Answers a request that is open when the process is about to end; returns `false`, as the connection ends too.
    async fn end_with_process(&mut self) -> bool {
        self.writer.close_after_response();
        if self.writer.is_complete() {
            let sent = self.writer.hand_over().await;
            self.request_log
                .log_end(0, if sent.is_ok() { "handed-over" } else { "cut" });
        } else if self.writer.has_started() {
            self.request_log.log_end(0, "cut");
        } else if self.is_in_flight {
            self.finish(None, Reply::failed(504, "stopping")).await;
        } else {
            let lifecycle = &self.gateway.lifecycle;
            let elapsed = lifecycle.draining_for(clock::now()).unwrap_or_default();
            let retry_after = self.gateway.shutdown_retry(elapsed);
            self.finish(None, Reply::refused("stopping", retry_after))
                .await;
        }
        false
    }

    /// Waits until the request is placed on a target, or refused.
    async fn acquire_target(&mut self) -> Result<(PlacementGuard, Choice), Reply> {
        let now = clock::now();
        let time_left = self.call.time_left(now);
        let placing = self
            .gateway
            .place(demand(self.gateway, &self.call, &self.avoid));
        let placement = within(time_left, placing).await;
        self.request_log
            .record_wait(clock::now().saturating_sub(now));
        match placement {
            Some((placement_guard, Placement::Send(choice))) => Ok((placement_guard, choice)),
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

    async fn attempt(
        &mut self,
        placement_guard: PlacementGuard,
        choice: Choice,
        run: TargetRun,
    ) -> Attempt {
        let now = clock::now();
        let time_left = self.call.time_left(now);
        let give_up_after = self.give_up_after(time_left);
        let backup = self.choose_backup(&placement_guard, now);
        let send = send_meta(&self.call, &choice, backup.as_ref(), now);
        lock(&self.gateway.fleet).set_backup(
            &placement_guard.request,
            backup.as_ref().map(|choice| &choice.target),
        );
        self.send_count += 1;
        self.request_log.log_send(&choice, backup.as_ref(), now);
        let first = TargetSend {
            placement_guard,
            choice,
            run,
            sent_at: now,
            permit: self.permit.take(),
        };
        let (used, opened) = self.open(first, &send, give_up_after).await;
        match opened {
            Some(Ok(exchange)) => {
                self.record_response_time(used.sent_at);
                self.handle_response(used, backup, exchange).await
            }
            Some(Err(error)) => self.handle_send_error(&used, error),
            None => self.record_given_up(&used.choice.target),
        }
    }

    /// Returns the time after which a request that has no response is sent to another target, if one has room.
    fn give_up_after(&self, time_left: Duration) -> Duration {
        if !self.call.may_repeat() || self.run_count + 1 >= self.call.route.max_attempts {
            return time_left;
        }
        if self.call.is_stream() {
            // Another target reads the prompt anew, so it is not tried sooner than the time allows.
            return time_left.mul_f64(STREAM_ATTEMPT_FRACTION);
        }
        let timeout = self.call.route.latency_objective.mul_f64(ATTEMPT_FRACTION);
        time_left.min(timeout.max(MIN_ATTEMPT_TIMEOUT))
    }

    /// Chooses an engine for the backup of a long generation.
    fn choose_backup(&self, placement_guard: &PlacementGuard, now: Timestamp) -> Option<Choice> {
        let config = self.gateway.config()?;
        let engine = config.pools.get(&self.call.service)?.engine.as_ref()?;
        let long = self.call.is_stream() && expected_need(&self.call).output >= LONG_OUTPUT_TOKENS;
        if !engine.backups || !long {
            return None;
        }
        lock(&self.gateway.fleet).choose_backup_target(&placement_guard.request, now)
    }

    fn record_failure(&self, target: &TargetId, hard: bool) {
        lock(&self.gateway.fleet).record_failure(target, hard, clock::now());
    }

    /// Returns whether the request can be sent to another target while those that run it have not responded.
    pub(super) async fn permit_other_target(&mut self, running: &[TargetId]) -> bool {
        let mut demand = demand(self.gateway, &self.call, &self.avoid);
        demand.avoid.extend_from_slice(running);
        let runs = u32::try_from(running.len()).unwrap_or(u32::MAX);
        let Some(target) = running.first() else {
            return false;
        };
        let permitted = self.call.may_repeat()
            && self.run_count.saturating_add(runs) < self.call.route.max_attempts
            && lock(&self.gateway.fleet).has_room(&demand, clock::now())
            && self.permit_retry(target).await;
        if permitted {
            self.avoid.extend_from_slice(&running[1..]);
        }
        permitted
    }

    /// Returns whether a request that may have run can be sent again.
    async fn permit_repeat(&mut self, target: &TargetId) -> bool {
        self.call.may_repeat()
            && self.run_count < self.call.route.max_attempts
            && self.permit_retry(target).await
    }

    /// Returns whether the request can be sent to another target.
    ///
    /// If so, takes the send from the fleet's retry budget and excludes the given target from
    /// further sends.
    async fn permit_retry(&mut self, target: &TargetId) -> bool {
        let now = clock::now();
        let quarantined = lock(&self.gateway.quarantine)
            .remaining(self.call.fingerprint, now)
            .is_some();
        let permitted = self.send_count < MAX_SENDS
            && !quarantined
            && admit::shutdown_refusal(self.gateway, &self.call).is_none()
            && !self.call.time_left(now).is_zero();
        if !permitted || !self.take_repeat().await {
            return false;
        }
        self.avoid.push(target.clone());
        true
    }

    /// Takes a repeat from the fleet's retry budget; returns whether it permits one.
    async fn take_repeat(&mut self) -> bool {
        let (service, request) = (&self.call.service, self.call.external_id());
        let taken = self.gateway.take_retry(ExtraSend::Repeat, service, request);
        self.permit = taken.await;
        self.permit.is_some()
    }

    /// Returns whether the request may be sent now; a borrowed permission may have run out while it waited.
    async fn renew_permit(&mut self) -> bool {
        let is_valid = |permit: &ExtraPermit| permit.is_valid(clock::now());
        self.permit.as_ref().is_none_or(is_valid) || self.take_repeat().await
    }

    /// Responds with the last response of a target or, if there is none, with the gateway's reply.
    async fn finish(&mut self, last_response: Option<CollectedResponse>, reply: Reply) -> bool {
        if let Some(response) = last_response {
            return self.send_response(&response).await;
        }
        // A reply must not claim that the request did not run if a target may have run it.
        let reply = if self.run_count > 0 && reply.verdict == Verdict::NotRun {
            Reply::failed(502, reply.kind)
        } else {
            reply
        };
        self.request_log.log_end(reply.status, reply.kind);
        let id = self.call.meta.id.as_ref();
        let sent = self.writer.send_reply(self.gateway, &reply, id).await;
        sent.is_ok()
    }

    async fn send_response(&mut self, response: &CollectedResponse) -> bool {
        self.request_log.record_progress();
        let (head, body) = (&response.head, &response.body);
        let sent = self.writer.send_response(head, body).await;
        self.log_answer(head.status, sent.is_ok());
        sent.is_ok()
    }

    /// Waits until the caller has accepted a response that was forwarded as it arrived; the target is not needed for that.
    async fn deliver(&mut self, status: u16) -> bool {
        let sent = self.writer.flush().await;
        self.log_answer(status, sent.is_ok());
        sent.is_ok()
    }

    fn log_answer(&mut self, status: u16, is_sent: bool) {
        let outcome = if is_sent { "answered" } else { "caller-gone" };
        self.request_log.log_end(status, outcome);
    }
}

/// Describes a request for its placement by the fleet.
pub(crate) fn demand(gateway: &Gateway, call: &Call, avoid: &[TargetId]) -> Demand {
    let need = expected_need(call);
    Demand {
        id: call.id.clone(),
        service: call.service.clone(),
        priority: engine_priority(call).unwrap_or_default(),
        need,
        caller_timeout: (call.route.latency_objective * PATIENCE_FACTOR).max(MIN_PATIENCE),
        start_deadline: (need.tokens() > 0)
            .then(|| call.received_at + call.route.latency_objective),
        deadline: call.deadline(),
        zone: gateway.settings.zone.clone(),
        region: gateway.settings.region.clone(),
        is_patient: gateway
            .config()
            .is_some_and(|config| config.is_patient(&call.route, &call.service)),
        is_copy: false,
        regions: gateway.allowed_regions(call),
        avoid: avoid.to_vec(),
    }
}

/// Returns what the gateway sets on a request that starts at a target.
pub(crate) fn send_meta(
    call: &Call,
    choice: &Choice,
    backup: Option<&Choice>,
    now: Timestamp,
) -> SendMeta {
    SendMeta {
        time_left: call.time_left(now),
        target: choice.target.clone(),
        customer: call.customer.as_ref().map(|c| c.id.clone()),
        engine_priority: engine_priority(call),
        backup: backup.map(|choice| choice.address),
        resume: None,
        last_event: call.last_event(),
    }
}

/// Returns the tokens that a generation is expected to need.
pub(crate) fn expected_need(call: &Call) -> Need {
    let Some(generation) = &call.meta.generation else {
        return Need::default();
    };
    let estimate = generation.max_output / EXPECTED_OUTPUT_DIVISOR;
    Need {
        prompt: generation.prompt,
        output: generation
            .output_hint
            .unwrap_or(estimate)
            .min(generation.max_output),
        prefilled: false,
    }
}

/// Returns the priority at an engine: by the call's priority, then short outputs before long ones.
fn engine_priority(call: &Call) -> Option<u8> {
    call.meta.generation.as_ref()?;
    let long = u8::from(expected_need(call).output >= LONG_OUTPUT_TOKENS);
    Some((call.priority().saturating_mul(2) + long).min(9))
}

/// Checks in the background whether a target that sent no response in time has crashed without closing its connections.
///
/// A target that accepts connections may be slow, and one that no VM reaches may be cut off, as this VM may be from all. So it
/// counts as crashed only if it accepts none twice while another target does.
pub(crate) fn check_dark(gateway: &Arc<Gateway>, call: &Arc<Call>, choice: &Choice) {
    let (gateway, call, choice) = (Arc::clone(gateway), Arc::clone(call), choice.clone());
    let crash = crash_id(&gateway, &choice.target);
    spawn(async move {
        let request = call.external_id();
        for pause in [Duration::ZERO, DARK_CHECK_PAUSE] {
            sleep(pause).await;
            if target_connect::is_running(&gateway, &choice, request, CRASH_CHECK_TIMEOUT).await {
                return;
            }
        }
        let target = choice.target.as_str();
        if !reaches_another(&gateway, target, request).await {
            log::info!(event = "crash-unproven", request = request, target_id = target; "");
            return;
        }
        let now = clock::now();
        let count = lock(&gateway.quarantine).record_crash_once(call.fingerprint, crash, now);
        lock(&gateway.fleet).record_failure(target, true, now);
        gateway.request_gossip();
        log::info!(event = "crash", request = request, target_id = target, count = count,
            events = 0, parts = call.part_names().as_str(); "");
    });
}

/// Returns whether this VM, or a peer for it, reaches one of some other targets.
async fn reaches_another(gateway: &Gateway, target: &str, request: &str) -> bool {
    let others = lock(&gateway.fleet).other_choices(target);
    let others: Vec<Choice> = others
        .choose_multiple(&mut rand::rng(), COMPARED_TARGETS)
        .cloned()
        .collect();
    for other in &others {
        if target_connect::is_reached(gateway, other, request, CRASH_CHECK_TIMEOUT).await {
            return true;
        }
    }
    false
}

/// Checks in the background whether a target broke a connection because it crashed.
///
/// `events` is the number of events that the caller received.
pub(crate) fn check_crash(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    choice: &Choice,
    run: &TargetRun,
    events: u64,
) {
    let (gateway, call) = (Arc::clone(gateway), Arc::clone(call));
    let choice = choice.clone();
    let target = choice.target.clone();
    if lock(&gateway.fleet).is_leaving(&target) {
        return;
    }
    let (crash, broke_at) = (crash_id(&gateway, &target), clock::now());
    let is_suspect = !run.has_survived(broke_at);
    spawn(async move {
        let request = call.external_id();
        if target_connect::is_running(&gateway, &choice, request, CRASH_CHECK_TIMEOUT).await {
            return;
        }
        let now = clock::now();
        let count = if is_suspect {
            lock(&gateway.quarantine).record_crash_once(call.fingerprint, crash, now)
        } else {
            0
        };
        lock(&gateway.fleet).record_failure(&target, true, now);
        let suspects = lock(&gateway.prompt_quarantine).record_crash(crash, broke_at, now);
        gateway.request_gossip();
        log::info!(event = "crash", request = call.external_id(), target_id = target.as_str(), count = count,
            events = events, parts = call.part_names().as_str(); "");
        if !suspects.is_empty() {
            log::warn!(event = "parts-suspect", request = call.external_id(),
                target_id = target.as_str(), suspects = suspects.len(),
                parts = call.part_names().as_str(); "");
        }
    });
}
