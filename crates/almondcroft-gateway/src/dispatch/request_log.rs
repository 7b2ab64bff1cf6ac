//! Log lines and metrics of one request.

use crate::call::{Call, Order};
use crate::clock;
use crate::logging::millis;
use crate::metrics::Times;
use crate::state::Gateway;
use almondcroft_core::gateway::Choice;
use almondcroft_core::{Revision, TargetId, Timestamp, Verdict};
use almondcroft_proto::http1::BodyDecoder;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// Collects the log fields and times of one request.
///
/// The end of the request is logged once, on drop at the latest.
pub(crate) struct RequestLog {
    gateway: Arc<Gateway>,
    external_id: SmolStr,
    customer: SmolStr,
    route: SmolStr,
    order: Order,
    revision: Revision,
    received_at: Timestamp,
    deadline: Timestamp,
    latency_objective: Duration,
    gap_objective: Option<Duration>,
    times: Times,
    last_progress: Option<Timestamp>,
    target: Option<TargetId>,
    /// Whether a target has the request and has not failed it.
    is_sent: bool,
    send_count: u32,
    pub(crate) event_count: u64,
    ended: bool,
}

impl RequestLog {
    pub(super) fn new(gateway: &Arc<Gateway>, call: &Call) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            external_id: call.external_id().into(),
            customer: call.customer_label().into(),
            route: call.route.name.clone(),
            order: call.order,
            revision: gateway.config().map_or(0, |config| config.revision),
            received_at: call.received_at,
            deadline: call.deadline(),
            latency_objective: call.route.latency_objective,
            gap_objective: call.route.gap_objective,
            times: Times::default(),
            last_progress: None,
            target: None,
            is_sent: false,
            send_count: 0,
            event_count: 0,
            ended: false,
        }
    }

    pub(super) fn record_wait(&mut self, time: Duration) {
        let before = self.times.queue_wait.unwrap_or_default();
        self.times.queue_wait = Some(before + time);
    }

    /// Logs that the request is sent to a target.
    pub(crate) fn log_send(&mut self, choice: &Choice, backup: Option<&Choice>, now: Timestamp) {
        self.send_count += 1;
        self.is_sent = true;
        self.target = Some(choice.target.clone());
        log::info!(event = "dispatch", request = self.external_id.as_str(),
            customer = self.customer.as_str(), class = self.route.as_str(),
            order = self.order.id().as_str(), prompt = self.order.prompt, output = self.order.output,
            target_id = choice.target.as_str(), beside = choice.request_count,
            keeper = backup.map_or("-", |backup| backup.target.as_str()),
            cost_ms = millis(choice.cost), attempt = self.send_count,
            waited_ms = millis(now.saturating_sub(self.received_at)), revision = self.revision; "");
    }

    /// Logs that a target failed the request.
    pub(crate) fn log_fault(&mut self, target: &TargetId, kind: &str, verdict: Verdict) {
        self.is_sent = false;
        log::info!(event = "target-fault", request = self.external_id.as_str(),
            target_id = target.as_str(), kind = kind, verdict = verdict.as_str(),
            events = self.event_count; "");
    }

    /// Logs that a target sent no event for a while, and whether it accepts connections.
    pub(crate) fn log_silence(&self, target: &TargetId, reached: bool) {
        self.gateway.metrics.count_silence(reached);
        log::info!(event = "silence", request = self.external_id.as_str(),
            target_id = target.as_str(), reached = reached, events = self.event_count; "");
    }

    /// Logs the end of a body if it has neither length nor chunks, so that it ended with its connection.
    ///
    /// `rest_bytes` is the size of an incomplete event at its end.
    pub(crate) fn log_close_delimited(&self, decoder: &BodyDecoder, rest_bytes: usize) {
        if !decoder.is_close_delimited() {
            return;
        }
        log::info!(event = "close-delimited", request = self.external_id.as_str(),
            target_id = self.target.as_deref().unwrap_or("-"), events = self.event_count,
            rest_bytes = rest_bytes; "");
    }

    /// Records that bytes are sent to the caller.
    pub(crate) fn record_progress(&mut self) {
        let now = clock::now();
        match self.last_progress.replace(now) {
            None => self.times.first_byte = Some(now.saturating_sub(self.received_at)),
            Some(before) => {
                let gap = now.saturating_sub(before);
                self.times.longest_gap = self.times.longest_gap.max(Some(gap));
            }
        }
    }

    /// Logs the end of the request and records its metrics; later calls do nothing.
    pub(crate) fn log_end(&mut self, status: u16, outcome: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = clock::now();
        let elapsed = now.saturating_sub(self.received_at);
        if status < 400 && status > 0 {
            self.times.completion = Some(elapsed);
        }
        self.gateway.metrics.count_outcome(outcome);
        self.gateway
            .metrics
            .observe(&self.times, &self.customer, &self.route);
        log::info!(event = "request", request = self.external_id.as_str(),
            customer = self.customer.as_str(), class = self.route.as_str(),
            order = self.order.id().as_str(), prompt = self.order.prompt, output = self.order.output,
            status = status,
            outcome = outcome, phase = self.phase(), target_id = self.target.as_deref().unwrap_or("-"),
            sends = self.send_count, events = self.event_count,
            wait_ms = millis(self.times.queue_wait.unwrap_or_default()),
            first_ms = millis(self.times.first_byte.unwrap_or_default()),
            gap_ms = millis(self.times.longest_gap.unwrap_or_default()), took_ms = millis(elapsed),
            left_ms = millis(self.deadline.saturating_sub(now)), late = self.missed_objectives(elapsed); "");
    }

    /// Returns what the request was waiting for, as logged.
    const fn phase(&self) -> &'static str {
        if self.times.first_byte.is_some() {
            "responding"
        } else if self.is_sent {
            "sent"
        } else {
            "waiting"
        }
    }

    /// Returns which latency objectives a response missed, as logged.
    fn missed_objectives(&self, elapsed: Duration) -> &'static str {
        if self.times.completion.is_none() {
            return "-";
        }
        let first_late = self.times.first_byte.unwrap_or(elapsed) > self.latency_objective;
        let longest_gap = self.times.longest_gap.unwrap_or_default();
        match (
            first_late,
            self.gap_objective
                .is_some_and(|objective| longest_gap > objective),
        ) {
            (false, false) => "-",
            (true, false) => "first",
            (false, true) => "pause",
            (true, true) => "both",
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.log_end(0, "caller-gone");
    }
}
