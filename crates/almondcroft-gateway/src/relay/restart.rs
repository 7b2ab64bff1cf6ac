//! Continuation of a resumable stream at another target without a copy of its KV cache.

use super::Relay;
use crate::adapter::SendMeta;
use crate::clock;
use crate::dispatch::{RequestLog, demand, send_meta};
use crate::exchange::{Exchange, SendError};
use crate::runtime::within;
use crate::state::{ExtraPermit, lock};
use crate::target_run::TargetRun;
use almondcroft_core::gateway::{Choice, Placement};
use almondcroft_core::{Timestamp, Verdict};
use almondcroft_proto::http1::EventSplitter;

impl Relay<'_> {
    /// Continues the stream after its last event at targets that read the prompt anew, as long as the attempts of
    /// the route and the retry budget permit; returns whether one does.
    ///
    /// The broken stream has been closed, so its target does not go on with it.
    pub(super) async fn restart_stream(&mut self, request_log: &mut RequestLog) -> bool {
        while self.may_restart() {
            self.avoid.push(self.choice.target.clone());
            let now = clock::now();
            let Some(permit) = self.take_resumption().await else {
                return false;
            };
            let Some(choice) = self.place_again(now).await else {
                return false;
            };
            if self.restart_at(choice, permit, request_log).await {
                self.gateway.metrics.count_migration("restarted");
                return true;
            }
        }
        false
    }

    /// Returns whether the stream may be continued by another run that reads the prompt anew.
    pub(super) fn may_restart(&self) -> bool {
        self.call.is_resumable() && self.run_count < self.call.route.max_attempts
    }

    /// Waits for another place for the rest of the stream.
    async fn place_again(&mut self, now: Timestamp) -> Option<Choice> {
        // The place at the broken target is given up first: both have the request's id.
        self.placement_guard = None;
        let mut demand = demand(self.gateway, self.call, &self.avoid);
        demand.start_deadline = None;
        let time_left = self.call.time_left(now);
        let placed = within(time_left, self.gateway.place(demand)).await;
        let (guard, placement) = placed?;
        self.placement_id = guard.request.clone();
        self.leave_notice = self.gateway.subscribe_leave_notice(&self.placement_id);
        self.placement_guard = Some(guard);
        match placement {
            Placement::Send(choice) => Some(choice),
            Placement::Refused { .. } => None,
        }
    }

    /// Continues the stream at a target; returns whether it does.
    async fn restart_at(
        &mut self,
        choice: Choice,
        permit: ExtraPermit,
        request_log: &mut RequestLog,
    ) -> bool {
        self.choice = choice;
        let target = self.choice.target.clone();
        let Ok(run) = self.run.readmit(self.call, &target) else {
            request_log.log_fault(&target, "part-quarantined", Verdict::NotRun);
            return false;
        };
        let now = clock::now();
        let send = SendMeta {
            last_event: Some(self.last_event),
            ..send_meta(self.call, &self.choice, None, now)
        };
        request_log.log_send(&self.choice, None, now);
        let may_stop = self.stops.cancel(&target);
        let opened = Exchange::open(
            self.gateway,
            self.call,
            self.choice.address,
            &send,
            send.time_left,
            Some(permit),
        );
        match opened.await {
            Ok(exchange) if exchange.head.status == 200 && exchange.meta.stamped => {
                self.run_count += 1;
                self.begin(exchange, run);
                self.may_have_stopped = may_stop;
                true
            }
            Ok(exchange) if exchange.meta.not_run || exchange.head.status == 421 => {
                run.record_not_run();
                lock(&self.gateway.fleet).record_refusal(&target, clock::now());
                request_log.log_fault(&target, "target-refused", Verdict::NotRun);
                false
            }
            Ok(exchange) => {
                self.run_count += 1;
                request_log.log_fault(&target, "resume-failed", Verdict::MayHaveRun);
                drop(exchange);
                self.stop_failed(true).await;
                false
            }
            Err(error) => {
                self.record_restart_error(&run, error, request_log);
                if error.verdict != Verdict::NotRun {
                    self.stop_failed(false).await;
                }
                false
            }
        }
    }

    /// Stops the run of a target that failed to continue the stream, if another one is to be tried.
    async fn stop_failed(&self, has_begun: bool) {
        if self.may_restart() {
            self.stop_run(&self.choice, has_begun).await;
        }
    }

    fn record_restart_error(
        &mut self,
        run: &TargetRun,
        error: SendError,
        request_log: &mut RequestLog,
    ) {
        request_log.log_fault(&self.choice.target, error.kind, error.verdict);
        lock(&self.gateway.fleet).record_failure(
            &self.choice.target,
            !error.is_tunneled,
            clock::now(),
        );
        if error.verdict == Verdict::NotRun {
            run.record_not_run();
        } else {
            self.run_count += 1;
        }
    }

    /// Replaces the stream by that of another run, of which nothing has been read.
    pub(super) fn replace_stream(&mut self, exchange: Exchange, run: TargetRun) {
        self.exchange = exchange;
        self.run = run;
        self.progress_at = clock::now();
        self.splitter = EventSplitter::default();
        self.has_events = false;
        self.missed_notice = false;
        self.may_have_stopped = false;
        self.copied = None;
    }

    /// Reads on from the stream of another target.
    pub(super) fn begin(&mut self, exchange: Exchange, run: TargetRun) {
        self.replace_stream(exchange, run);
        self.run_guard.follow(&self.choice);
        self.backup = None;
        let now = clock::now();
        let placements = lock(&self.gateway.fleet).record_response_start(&self.placement_id, now);
        self.gateway.deliver(placements);
    }
}
