//! Handles the response to a send, or its absence.

use super::hedge::TargetSend;
use super::{Attempt, Dispatch, check_crash, check_dark};
use crate::clock;
use crate::exchange::{Exchange, SendError};
use crate::lifecycle::Guard;
use crate::relay::{Relay, RelayEnd};
use crate::runtime::within;
use crate::state::lock;
use almondcroft_core::gateway::{Choice, MAX_SOUND_SILENCE};
use almondcroft_core::{TargetId, Timestamp, Verdict};
use almondcroft_proto::http1::ResponseHead;

/// Maximum size of a response body that is read whole before it is forwarded, in bytes.
const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// Number of copies of a collected body that are held while it is sent to a slow caller: itself, and encoded.
const BODY_COPIES: usize = 2;

/// A complete response of a target.
pub(super) struct CollectedResponse {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<u8>,
    /// Counts the body against the memory budget while it is held.
    _guard: Guard,
}

impl Dispatch<'_> {
    pub(super) async fn handle_response(
        &mut self,
        sent: TargetSend,
        backup: Option<Choice>,
        exchange: Exchange,
    ) -> Attempt {
        let TargetSend {
            placement_guard,
            choice,
            mut run,
            sent_at,
            ..
        } = sent;
        let now = clock::now();
        let target = &choice.target;
        if let Some((running, waiting)) = exchange.meta.load {
            lock(&self.gateway.fleet).record_reported_load(target, running, waiting, now);
        }
        let status = exchange.head.status;
        if exchange.meta.not_run || status == 421 {
            run.record_not_run();
            lock(&self.gateway.fleet).record_refusal(target, now);
            self.request_log
                .log_fault(target, "target-refused", Verdict::NotRun);
            exchange.finish(self.gateway);
            return Attempt::NotRun("target-refused");
        }
        let success = (200..300).contains(&status);
        let encoded = exchange.head.headers.count("content-encoding") > 0;
        if encoded || (success && !exchange.meta.stamped) || matches!(status, 408 | 429 | 503) {
            self.record_failure(target, true);
            self.request_log
                .log_fault(target, "unsigned", Verdict::MayHaveRun);
            return Attempt::MayHaveRun("unsigned");
        }
        let placements =
            lock(&self.gateway.fleet).record_response_start(&placement_guard.request, now);
        self.gateway.deliver(placements);
        if success && self.call.is_stream() {
            let relay = Relay::new(
                self.gateway,
                &self.call,
                placement_guard,
                choice,
                backup.map(|choice| choice.target),
                (exchange, run),
            );
            let relay = relay.after(self.run_count, &self.avoid, &self.stops);
            return match relay.run(self.writer, &mut self.request_log).await {
                RelayEnd::Complete(status) => Attempt::Relayed(Some(status)),
                RelayEnd::Incomplete => Attempt::Relayed(None),
                RelayEnd::Unstarted(reason) => Attempt::MayHaveRun(reason),
            };
        }
        run.record_start();
        self.buffer_response(&choice, exchange, sent_at).await
    }

    /// Reads a response to its end before any of it is forwarded, unless it is too long or the memory budget for such
    /// responses is used up.
    pub(super) async fn buffer_response(
        &mut self,
        choice: &Choice,
        mut exchange: Exchange,
        sent_at: Timestamp,
    ) -> Attempt {
        let mut body = Vec::new();
        let mut guard = self.gateway.lifecycle.enter_response();
        let budget = self.gateway.settings.body_budget();
        loop {
            let time_left = self.call.time_left(clock::now());
            match within(time_left, exchange.read(&mut body)).await {
                Some(Ok(true))
                    if body.len() <= MAX_BUFFERED_BODY
                        && guard.try_grow(BODY_COPIES * body.len(), budget) => {}
                Some(Ok(true)) => return self.stream_response(exchange, body, guard).await,
                Some(Ok(false)) if exchange.is_past_end(self.call.time_left(clock::now())) => {
                    return Attempt::MayHaveRun("timeout");
                }
                Some(Ok(false)) => break,
                Some(Err(error)) => {
                    self.record_failure(&choice.target, !exchange.is_tunneled());
                    let kind = error.kind();
                    self.request_log
                        .log_fault(&choice.target, kind, Verdict::MayHaveRun);
                    return Attempt::MayHaveRun("truncated");
                }
                None => {
                    let waited = clock::now().saturating_sub(sent_at);
                    let is_hard = !exchange.is_tunneled() && waited > MAX_SOUND_SILENCE;
                    self.record_failure(&choice.target, is_hard);
                    check_dark(self.gateway, &self.call, choice);
                    return Attempt::MayHaveRun("timeout");
                }
            }
        }
        self.request_log.log_close_delimited(&exchange.decoder, 0);
        let now = clock::now();
        if exchange.head.status < 500 {
            let elapsed = now.saturating_sub(sent_at);
            lock(&self.gateway.fleet).record_success(&choice.target, elapsed);
            lock(&self.gateway.quarantine).record_survival(self.call.fingerprint, now);
        } else {
            self.record_failure(&choice.target, false);
        }
        let head = exchange.head.clone();
        exchange.finish(self.gateway);
        Attempt::Response(CollectedResponse {
            head,
            body,
            _guard: guard,
        })
    }

    /// Forwards a long response as it arrives.
    pub(super) async fn stream_response(
        &mut self,
        mut exchange: Exchange,
        first_part: Vec<u8>,
        guard: Guard,
    ) -> Attempt {
        let mut sent = self
            .writer
            .start_response(&exchange.head, first_part)
            .await
            .is_ok();
        drop(guard);
        self.request_log.record_progress();
        let mut buffer = Vec::new();
        while sent {
            buffer.clear();
            let time_left = self.call.time_left(clock::now());
            // Bytes that are always there would never let a timer fire.
            if time_left.is_zero() {
                break;
            }
            match within(time_left, exchange.read(&mut buffer)).await {
                Some(Ok(true)) => sent = self.writer.send_part(&buffer).await.is_ok(),
                Some(Ok(false)) if exchange.is_past_end(self.call.time_left(clock::now())) => break,
                Some(Ok(false)) => {
                    self.request_log.log_close_delimited(&exchange.decoder, 0);
                    let status = exchange.head.status;
                    exchange.finish(self.gateway);
                    if self.writer.finish_response().await.is_ok() {
                        return Attempt::Relayed(Some(status));
                    }
                    self.request_log.log_end(status, "caller-gone");
                    return Attempt::Relayed(None);
                }
                Some(Err(_)) | None => break,
            }
        }
        self.request_log.log_end(0, "broken-off");
        Attempt::Relayed(None)
    }

    /// Records that a target got time to respond and another one gets the request.
    ///
    /// A target that is slow or silent for a moment is no broken one, so this is no hard failure.
    pub(super) fn record_given_up(&mut self, target: &TargetId) -> Attempt {
        self.request_log
            .log_fault(target, "target-timeout", Verdict::MayHaveRun);
        self.record_failure(target, false);
        lock(&self.gateway.target_paths).record_silence(target, clock::now());
        Attempt::GivenUp
    }

    /// Handles a send that got no response.
    pub(super) fn handle_send_error(&mut self, sent: &TargetSend, error: SendError) -> Attempt {
        let TargetSend {
            choice,
            run,
            sent_at,
            ..
        } = sent;
        let target = &choice.target;
        self.request_log
            .log_fault(target, error.kind, error.verdict);
        let is_timeout = error.kind == "target-timeout";
        let waited = clock::now().saturating_sub(*sent_at);
        // A broken tunnel may be the fault of the VM through which it leads, and a silent target may be sound.
        let is_hard = !error.is_tunneled && (!is_timeout || waited > MAX_SOUND_SILENCE);
        self.record_failure(target, is_hard);
        match error.verdict {
            Verdict::NotRun => {
                run.record_not_run();
                Attempt::NotRun(error.kind)
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                if !is_timeout {
                    check_crash(self.gateway, &self.call, choice, run, 0);
                    return Attempt::MayHaveRun(error.kind);
                }
                check_dark(self.gateway, &self.call, choice);
                Attempt::MayHaveRun("timeout")
            }
        }
    }
}
