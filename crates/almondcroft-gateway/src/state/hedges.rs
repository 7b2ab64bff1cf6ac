//! Second runs of slow requests, as the settings permit them.

use super::{Gateway, lock};
use crate::settings::BackupRequests;
use almondcroft_core::ServiceId;
use almondcroft_core::gateway::HedgePolicy;

impl Gateway {
    /// Replaces the limits of second runs; returns whether they are others.
    pub(crate) fn set_backup_requests(&self, settings: Option<BackupRequests>) -> bool {
        let mut active = lock(&self.backup_requests);
        if *active == settings {
            return false;
        }
        for (service, policy) in lock(&self.hedge_policies).iter_mut() {
            if let Some(settings) = &settings {
                policy.set_limits(settings.limits(service));
            }
        }
        *active = settings;
        true
    }

    /// Uses the policy of a service; `None` if the settings permit no second runs.
    pub(crate) fn with_hedge_policy<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut HedgePolicy) -> T,
    ) -> Option<T> {
        let active = lock(&self.backup_requests);
        let limits = active.as_ref()?.limits(service);
        let mut policies = lock(&self.hedge_policies);
        let policy = policies
            .entry(service.clone())
            .or_insert_with(|| HedgePolicy::new(limits));
        Some(operation(policy))
    }
}
