//! The retry budget of the fleet, as this VM uses it.

use super::{Gateway, lock};
use almondcroft_core::gateway::{ExtraSend, FleetRetryBudget, FleetSends, SendCounts};
use almondcroft_core::{ServiceId, Timestamp};
use std::collections::HashMap;

impl Gateway {
    /// Records a caller's request in the retry budget.
    pub(crate) fn record_request(&self, service: &ServiceId, now: Timestamp) {
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes an extra send of a request from the fleet's retry budget; returns whether it is
    /// permitted.
    pub(crate) fn take_retry(
        &self,
        send: ExtraSend,
        service: &ServiceId,
        request: &str,
        now: Timestamp,
    ) -> bool {
        let fleet = lock(&self.fleet);
        let (reachable_vms, others) = (fleet.vm_count(now), fleet.peer_sends(service, now));
        drop(fleet);
        let fleet_sends = FleetSends {
            others,
            reachable_vms: u32::try_from(reachable_vms).unwrap_or(u32::MAX),
            total_vms: u32::try_from(self.expected_vms()).unwrap_or(u32::MAX),
        };
        let (permitted, own) = self.with_retry_budget(service, |budget| {
            (budget.try_take(send, fleet_sends, now), budget.counts(now))
        });
        let event = if permitted {
            "extra-send"
        } else {
            "retry-refused"
        };
        log::info!(event = event, request = request, service = service.as_str(), kind = send.as_str(),
            extra = own.extra, extra_of_others = others.extra, own_requests = own.requests,
            requests = own.requests + others.requests, vms_heard = reachable_vms, vms = fleet_sends.total_vms; "");
        permitted
    }

    pub(super) fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let bounds = self.bounds();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            FleetRetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window(),
            )
        });
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

    /// Returns the number of VMs that exist, as far as they are listed or expected by the settings.
    pub(super) fn expected_vms(&self) -> usize {
        let known = lock(&self.peers).len() + 1;
        known.max(usize::try_from(self.bounds().vms).unwrap_or(usize::MAX))
    }
}
