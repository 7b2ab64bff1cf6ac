//! The log lines and metrics of one request.

use crate::call::Call;
use crate::clock;
use crate::logging::millis;
use crate::metrics::Times;
use crate::state::Gateway;
use almondcroft_core::gateway::Choice;
use almondcroft_core::{Revision, TargetId, Timestamp, Verdict};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// Follows one request and logs its end, whichever way it comes.
pub(crate) struct Record {
    gateway: Arc<Gateway>,
    name: SmolStr,
    customer: SmolStr,
    class: SmolStr,
    revision: Revision,
    arrived: Timestamp,
    aim: Duration,
    gap_aim: Option<Duration>,
    times: Times,
    last: Option<Timestamp>,
    target: Option<TargetId>,
    sends: u32,
    pub(crate) events: u64,
    ended: bool,
}

impl Record {
    pub(super) fn new(gateway: &Arc<Gateway>, call: &Call) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            name: call.name().into(),
            customer: call.customer_name().into(),
            class: call.route.name.clone(),
            revision: gateway.config().map_or(0, |config| config.revision),
            arrived: call.arrived,
            aim: call.route.latency_objective,
            gap_aim: call.route.gap_objective,
            times: Times::default(),
            last: None,
            target: None,
            sends: 0,
            events: 0,
            ended: false,
        }
    }

    pub(super) fn waited(&mut self, time: Duration) {
        let before = self.times.wait.unwrap_or_default();
        self.times.wait = Some(before + time);
    }

    /// Logs that the request goes to a target.
    pub(crate) fn sent(&mut self, choice: &Choice, keeper: Option<&Choice>, now: Timestamp) {
        self.sends += 1;
        self.target = Some(choice.target.clone());
        log::info!(event = "dispatch", request = self.name.as_str(),
            customer = self.customer.as_str(), class = self.class.as_str(),
            target_id = choice.target.as_str(), beside = choice.request_count,
            keeper = keeper.map_or("-", |keeper| keeper.target.as_str()),
            cost_ms = millis(choice.cost), attempt = self.sends,
            waited_ms = millis(now.saturating_sub(self.arrived)), revision = self.revision; "");
    }

    /// Logs that a target failed the request.
    pub(crate) fn fault(&self, target: &TargetId, kind: &str, verdict: Verdict) {
        log::info!(event = "target-fault", request = self.name.as_str(),
            target_id = target.as_str(), kind = kind, verdict = verdict.as_str(),
            events = self.events; "");
    }

    /// Notes that bytes go to the caller.
    pub(crate) fn progress(&mut self) {
        let now = clock::now();
        match self.last.replace(now) {
            None => self.times.first = Some(now.saturating_sub(self.arrived)),
            Some(before) => {
                let gap = now.saturating_sub(before);
                self.times.gap = self.times.gap.max(Some(gap));
            }
        }
    }

    /// Logs the end of the request.
    pub(crate) fn end(&mut self, status: u16, outcome: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = clock::now().saturating_sub(self.arrived);
        if status < 400 && status > 0 {
            self.times.completion = Some(took);
        }
        self.gateway.metrics.count_outcome(outcome);
        self.gateway
            .metrics
            .observe(&self.times, &self.customer, &self.class);
        log::info!(event = "request", request = self.name.as_str(),
            customer = self.customer.as_str(), class = self.class.as_str(), status = status,
            outcome = outcome, target_id = self.target.as_deref().unwrap_or("-"),
            sends = self.sends, events = self.events,
            wait_ms = millis(self.times.wait.unwrap_or_default()),
            first_ms = millis(self.times.first.unwrap_or_default()),
            gap_ms = millis(self.times.gap.unwrap_or_default()), took_ms = millis(took),
            late = self.late(took); "");
    }

    /// Tells by what an answer missed its aim.
    fn late(&self, took: Duration) -> &'static str {
        if self.times.completion.is_none() {
            return "-";
        }
        let first = self.times.first.unwrap_or(took) > self.aim;
        let gap = self.times.gap.unwrap_or_default();
        match (first, self.gap_aim.is_some_and(|aim| gap > aim)) {
            (false, false) => "-",
            (true, false) => "first",
            (false, true) => "pause",
            (true, true) => "both",
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.end(0, "caller-gone");
    }
}
