//! The retry budget of the fleet, as this VM uses it.

use super::{Gateway, lock};
use crate::clock;
use crate::gossip::{Borrowed, borrow};
use almondcroft_core::gateway::{ExtraSend, FleetRetryBudget, FleetSends, LOAN_TIME, SendCounts};
use almondcroft_core::{ServiceId, Timestamp};
use std::collections::HashMap;
use std::sync::Arc;

/// An extra send that the retry budget permits; it is returned if it is dropped without being sent.
pub(crate) struct ExtraPermit {
    gateway: Arc<Gateway>,
    service: ServiceId,
    borrowed: Option<Box<Borrowed>>,
    is_settled: bool,
}

impl ExtraPermit {
    /// Returns whether it may still be sent; a borrowed one only for a time.
    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        self.borrowed.as_ref().is_none_or(|loan| now < loan.until)
    }

    /// Records that it is sent now; returns whether it may be.
    pub(crate) fn settle(mut self, now: Timestamp) -> bool {
        let is_valid = self.is_valid(now);
        if is_valid {
            self.is_settled = true;
            match &self.borrowed {
                Some(loan) => self.gateway.loans.end(loan, true),
                None => self
                    .gateway
                    .with_retry_budget(&self.service, |budget| budget.settle(now)),
            }
        }
        is_valid
    }
}

impl Drop for ExtraPermit {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        match &self.borrowed {
            Some(loan) => self.gateway.loans.end(loan, false),
            None => self
                .gateway
                .with_retry_budget(&self.service, FleetRetryBudget::refund),
        }
    }
}

impl Gateway {
    /// Records a caller's request in the retry budget.
    pub(crate) fn record_request(&self, service: &ServiceId, now: Timestamp) {
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes an extra send of a request from the retry budget, or borrows one; `None` if neither is possible.
    pub(crate) async fn take_retry(
        self: &Arc<Self>,
        send: ExtraSend,
        service: &ServiceId,
        request: &str,
    ) -> Option<ExtraPermit> {
        let (permit, is_limited) = self.take_own_retry(send, service, clock::now());
        if let Some(permit) = permit {
            self.log_retry(send, service, request, Some("own"));
            return Some(permit);
        }
        let borrowed = if is_limited {
            None
        } else {
            borrow(self, service, send).await
        };
        let lender = borrowed.as_ref().map(|loan| loan.lender.as_str());
        self.log_retry(send, service, request, lender);
        borrowed.map(|borrowed| self.permit(service, Some(borrowed)))
    }

    /// Takes a hedge of a request from this VM's part of the retry budget.
    pub(crate) fn take_hedge(
        self: &Arc<Self>,
        service: &ServiceId,
        request: &str,
        now: Timestamp,
    ) -> Option<ExtraPermit> {
        let (permit, _) = self.take_own_retry(ExtraSend::Hedge, service, now);
        let source = permit.is_some().then_some("own");
        self.log_retry(ExtraSend::Hedge, service, request, source);
        permit
    }

    /// Takes an extra send from this VM's part; also returns whether VMs of an earlier version leave none.
    fn take_own_retry(
        self: &Arc<Self>,
        send: ExtraSend,
        service: &ServiceId,
        now: Timestamp,
    ) -> (Option<ExtraPermit>, bool) {
        let is_limited = !self.permits_beside(send, service, now);
        let share = self.budget_share(now);
        let taken = !is_limited
            && self.with_retry_budget(service, |budget| budget.try_take(send, share, now));
        (taken.then(|| self.permit(service, None)), is_limited)
    }

    fn permit(self: &Arc<Self>, service: &ServiceId, borrowed: Option<Borrowed>) -> ExtraPermit {
        ExtraPermit {
            gateway: Arc::clone(self),
            service: service.clone(),
            borrowed: borrowed.map(Box::new),
            is_settled: false,
        }
    }

    /// Returns whether VMs of an earlier version, if there are any, leave room for an extra send.
    fn permits_beside(&self, send: ExtraSend, service: &ServiceId, now: Timestamp) -> bool {
        if !lock(&self.fleet).has_peers_without_shares() {
            return true;
        }
        let sends = self.fleet_sends(service, now);
        self.with_retry_budget(service, |budget| budget.permits_beside(send, sends, now))
    }

    fn fleet_sends(&self, service: &ServiceId, now: Timestamp) -> FleetSends {
        let fleet = lock(&self.fleet);
        let (reachable_vms, others) = (fleet.vm_count(now), fleet.peer_sends(service, now));
        drop(fleet);
        FleetSends {
            others,
            reachable_vms: u32::try_from(reachable_vms).unwrap_or(u32::MAX),
            total_vms: u32::try_from(self.expected_vms()).unwrap_or(u32::MAX),
        }
    }

    /// Logs an extra send with the VM whose part it is of, or that there was none.
    fn log_retry(&self, send: ExtraSend, service: &ServiceId, request: &str, source: Option<&str>) {
        let now = clock::now();
        let fleet = self.fleet_sends(service, now);
        let (others, share) = (fleet.others, self.budget_share(now));
        let own = self.with_retry_budget(service, |budget| budget.counts(now));
        let event = if source.is_some() {
            "extra-send"
        } else {
            "retry-refused"
        };
        log::info!(event = event, request = request, service = service.as_str(), kind = send.as_str(),
            source = source.unwrap_or("-"), extra = own.extra, extra_of_others = others.extra,
            own_requests = own.requests, requests = own.requests + others.requests, share = share,
            vms_heard = fleet.reachable_vms, vms = fleet.total_vms; "");
    }

    /// Lends an extra send to a peer; returns whether this VM can spare it.
    pub(crate) fn lend(&self, send: ExtraSend, service: &ServiceId, now: Timestamp) -> bool {
        let share = self.budget_share(now);
        let config = self.config();
        config.is_some_and(|config| config.pools.contains_key(service))
            && self.permits_beside(send, service, now)
            && self.with_retry_budget(service, |budget| {
                budget.try_lend(send, share, now + LOAN_TIME, now)
            })
    }

    /// Records that a loan of this VM has been used or is not needed.
    pub(crate) fn end_loan(
        &self,
        service: &ServiceId,
        until: Timestamp,
        is_used: bool,
        now: Timestamp,
    ) {
        self.with_retry_budget(service, |budget| budget.end_loan(until, is_used, now));
    }

    /// Gives up this VM's share unless it has sent or lent something of it; returns whether it has given it up.
    pub(crate) fn give_up_budget_share(&self, now: Timestamp) -> bool {
        let is_unused = self.sends(now).values().all(|counts| counts.extra == 0);
        if is_unused {
            lock(&self.budget_share).give_up();
        }
        is_unused
    }

    /// Returns the fraction of the fleet's fixed number that this VM may spend.
    fn budget_share(&self, now: Timestamp) -> f64 {
        let window = self.bounds().retry_window();
        lock(&self.budget_share).fraction(window, now)
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let bounds = self.bounds();
        let config = self.config();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            FleetRetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window(),
            )
        });
        budget.reserve_resumptions(config.is_none_or(|config| config.has_streams(service)));
        operation(budget)
    }

    /// Returns this VM's requests and extra sends by service.
    pub(super) fn sends(&self, now: Timestamp) -> HashMap<ServiceId, SendCounts> {
        let retry_budgets = lock(&self.retry_budgets);
        let counts = retry_budgets.iter();
        counts
            .map(|(service, budget)| (service.clone(), budget.counts(now)))
            .collect()
    }

    /// Returns the extra sends that this VM can lend, by service; also of services whose requests others got.
    pub(super) fn spare_sends(&self, now: Timestamp) -> HashMap<ServiceId, u32> {
        let Some(config) = self.config() else {
            return HashMap::new();
        };
        let share = self.budget_share(now);
        let counts = config.pools.keys().map(|service| {
            let count = self.with_retry_budget(service, |budget| {
                budget.spare(ExtraSend::Resumption, share, now)
            });
            (service.clone(), count)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the number of VMs that exist, as far as they are listed or expected by the settings.
    pub(super) fn expected_vms(&self) -> usize {
        let known = lock(&self.peers).len() + 1;
        known.max(usize::try_from(self.bounds().vms).unwrap_or(usize::MAX))
    }
}
