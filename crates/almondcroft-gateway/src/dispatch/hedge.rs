//! Sends a slow request that may be repeated to a second target, and uses the response that is there first.

use super::{Dispatch, demand, send_meta};
use crate::adapter::SendMeta;
use crate::clock;
use crate::exchange::{Exchange, SendError};
use crate::logging::millis;
use crate::runtime::within;
use crate::state::{ExtraPermit, PlacementGuard, lock};
use crate::target_run::TargetRun;
use almondcroft_core::gateway::{Choice, HedgePolicy};
use almondcroft_core::{RequestId, TargetId, Timestamp, Verdict};
use futures_lite::future::or;
use std::future::Future;
use std::pin::{Pin, pin};
use std::time::Duration;

/// One send of a request with its place at the target.
pub(super) struct TargetSend {
    pub(super) placement_guard: PlacementGuard,
    pub(super) choice: Choice,
    pub(super) run: TargetRun,
    pub(super) sent_at: Timestamp,
    /// The permission to send a request that was sent before.
    pub(super) permit: Option<ExtraPermit>,
}

type Opened = Result<Exchange, SendError>;

impl Dispatch<'_> {
    /// Opens the response to a send, or to a second one if the first is slow; returns the send that it belongs to.
    ///
    /// The response is `None` if there is none after `give_up_after`, or a multiple of it, and another target may get
    /// the request. As long as none may, the first one is waited for: a silent target may be sound. Dropping a send
    /// closes its connection, which cancels the run at its target.
    pub(super) async fn open(
        &mut self,
        mut first: TargetSend,
        send: &SendMeta,
        give_up_after: Duration,
    ) -> (TargetSend, Option<Opened>) {
        let (gateway, call) = (self.gateway, self.call.clone());
        let address = first.choice.address;
        let permit = first.permit.take();
        let opening = Exchange::open(gateway, &call, address, send, send.time_left, permit);
        let mut opening = pin!(opening);
        let mut second = None;
        if let Some(delay) = self.hedge_delay().filter(|delay| *delay < give_up_after) {
            if let Some(opened) = within(delay, opening.as_mut()).await {
                return (first, Some(opened));
            }
            second = self.start_hedge(&first);
        }
        let Some(mut second) = second else {
            let target = [first.choice.target.clone()];
            let opened = self.wait_or_give_up(&target, opening, give_up_after).await;
            return (first, opened);
        };
        let now = clock::now();
        let hedge = send_meta(&call, &second.choice, None, now);
        let address = second.choice.address;
        let permit = second.permit.take();
        let hedging = Exchange::open(gateway, &call, address, &hedge, hedge.time_left, permit);
        let mut hedging = pin!(hedging);
        let targets = [first.choice.target.clone(), second.choice.target.clone()];
        let first_end = async { (true, opening.as_mut().await) };
        let second_end = async { (false, hedging.as_mut().await) };
        let either = pin!(or(first_end, second_end));
        let ended = self.wait_or_give_up(&targets, either, give_up_after).await;
        let Some((is_first, opened)) = ended else {
            self.record_given_up(&second.choice.target);
            self.record_hedge(&first, &second, false, now);
            return (first, None);
        };
        let (is_first, opened, unused_not_run) = if is_final(&opened) {
            (is_first, opened, false)
        } else {
            let other = if is_first {
                self.wait_or_give_up(&targets, hedging, give_up_after).await
            } else {
                self.wait_or_give_up(&targets, opening, give_up_after).await
            };
            match other {
                Some(other) if prefers_second(&opened, &other) => {
                    (!is_first, other, is_not_run(&opened))
                }
                Some(other) => (is_first, opened, is_not_run(&other)),
                None => {
                    self.record_given_up(&targets[usize::from(is_first)]);
                    (is_first, opened, false)
                }
            }
        };
        let (used, unused) = if is_first {
            (first, second)
        } else {
            (second, first)
        };
        self.record_hedge(&used, &unused, unused_not_run, now);
        (used, Some(opened))
    }

    /// Waits for a response of targets that run the request, or until another target may get it.
    async fn wait_or_give_up<Ended>(
        &mut self,
        running: &[TargetId],
        mut opening: Pin<&mut impl Future<Output = Ended>>,
        mut give_up_after: Duration,
    ) -> Option<Ended> {
        loop {
            if let Some(opened) = within(give_up_after, opening.as_mut()).await {
                return Some(opened);
            }
            if self.permit_other_target(running).await {
                return None;
            }
            give_up_after *= 2;
        }
    }

    /// Returns the time after which the request counts as slow; `None` if it gets no second run.
    fn hedge_delay(&self) -> Option<Duration> {
        let permitted =
            self.call.may_run_twice_at_once() && self.run_count + 2 <= self.call.route.max_attempts;
        if !permitted {
            return None;
        }
        let service = &self.call.service;
        self.gateway
            .with_hedge_policy(service, |policy| policy.delay())
            .flatten()
    }

    /// Places a second run, if the limits leave one and a target has room.
    fn start_hedge(&mut self, first: &TargetSend) -> Option<TargetSend> {
        let now = clock::now();
        let id = RequestId::from(format!("{}-hedge", self.call.id));
        let demand = demand(self.gateway, &self.call, &self.avoid);
        let target = &first.choice.target;
        let choice = lock(&self.gateway.fleet).place_hedge(&demand, target, id.clone(), now)?;
        let placement_guard = self.gateway.guard(id);
        let service = &self.call.service;
        let in_share = self
            .gateway
            .with_hedge_policy(service, HedgePolicy::try_take)?;
        let request = self.call.external_id();
        if !in_share {
            return None;
        }
        let permit = self.gateway.take_hedge(service, request, now)?;
        let run = TargetRun::admit(self.gateway, &self.call, &choice.target).ok()?;
        self.send_count += 1;
        self.request_log.log_send(&choice, None, now);
        Some(TargetSend {
            placement_guard,
            choice,
            run,
            sent_at: now,
            permit: Some(permit),
        })
    }

    fn record_hedge(
        &mut self,
        used: &TargetSend,
        unused: &TargetSend,
        unused_not_run: bool,
        hedged_at: Timestamp,
    ) {
        if unused_not_run {
            unused.run.record_not_run();
        } else {
            // The other target may have run the request, whatever came of this one.
            self.run_count += 1;
        }
        let elapsed = clock::now().saturating_sub(hedged_at);
        self.gateway
            .metrics
            .count_hedge(if used.sent_at >= hedged_at {
                "second"
            } else {
                "first"
            });
        log::info!(event = "hedge", request = self.call.external_id(),
            target_id = used.choice.target.as_str(), unused = unused.choice.target.as_str(),
            after_ms = millis(elapsed); "");
    }

    /// Records the time from a send until its response began.
    pub(super) fn record_response_time(&self, sent_at: Timestamp) {
        if self.call.may_run_twice_at_once() {
            let elapsed = clock::now().saturating_sub(sent_at);
            let service = &self.call.service;
            self.gateway
                .with_hedge_policy(service, |policy| policy.record_response(elapsed));
        }
    }
}

/// Returns whether a response needs no other one beside it: the target ran the request and did not fail.
fn is_final(opened: &Opened) -> bool {
    opened
        .as_ref()
        .is_ok_and(|exchange| exchange.head.status < 500 && !exchange.meta.not_run)
}

/// Returns whether a target is proved not to have run the request.
fn is_not_run(opened: &Opened) -> bool {
    match opened {
        Ok(exchange) => exchange.is_refusal(),
        Err(error) => error.verdict == Verdict::NotRun,
    }
}

/// Returns whether the second of two results that are not final says more than the first: a failure that a target
/// states says more than a broken connection, and that more than one that did not open.
fn prefers_second(first: &Opened, second: &Opened) -> bool {
    match (first, second) {
        (_, Ok(_)) => true,
        (Ok(_), Err(_)) => false,
        (Err(_), Err(_)) => is_not_run(first) || !is_not_run(second),
    }
}
