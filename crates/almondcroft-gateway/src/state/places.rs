//! Where requests may be sent: allowed regions, evacuated availability zones and cold targets.

use super::{Gateway, lock};
use crate::adapter::ResponseMeta;
use crate::call::Call;
use crate::clock;
use crate::logging::millis;
use almondcroft_core::gateway::{AllowedRegions, EvacuationChange, Evacuations, StorePosition};
use almondcroft_core::{TargetId, Timestamp, ZoneId};
use std::collections::BTreeSet;

/// The evacuated zones at a position of the store, which was the newest at a time.
pub(crate) type EvacuationView = (StorePosition, Timestamp, BTreeSet<ZoneId>);

impl Gateway {
    /// Returns the regions in which a request may be served by the configuration that is now active.
    pub(crate) fn allowed_regions(&self, call: &Call) -> AllowedRegions {
        let config = self.config();
        let config = config.as_deref();
        let host = call.head.headers.text("host").unwrap_or_default();
        let route = config.and_then(|config| config.routes.find(host, call.head.path()));
        let route = route.unwrap_or(&call.route);
        let key = call.meta.key.as_deref().filter(|_| call.customer.is_some());
        let customer = config.and_then(|config| config.customer(key?));
        match customer.or(call.customer.as_ref()) {
            Some(customer) => route.regions.intersection(&customer.regions),
            None => route.regions.clone(),
        }
    }

    /// Returns whether a request may still be sent to the target that was chosen for it.
    pub(crate) fn may_send(&self, call: &Call, target: &TargetId) -> bool {
        let regions = self.allowed_regions(call);
        lock(&self.fleet).may_send(target, &regions)
    }

    /// Applies a change of the evacuated zones.
    pub(crate) fn change_evacuations(
        &self,
        source: &str,
        change: impl FnOnce(&mut Evacuations) -> Vec<EvacuationChange>,
    ) {
        let now = clock::now();
        let mut evacuations = lock(&self.evacuations);
        let changes = change(&mut evacuations);
        if changes.is_empty() {
            return;
        }
        let zones = evacuations.zones().clone();
        let age = evacuations
            .checkpoint()
            .map_or(-1, |(_, at)| millis(now.saturating_sub(at)));
        let placements = lock(&self.fleet).set_evacuated(zones, now);
        drop(evacuations);
        self.deliver(placements);
        for change in changes {
            let (zone, phase) = match &change {
                EvacuationChange::Begun(zone) => (zone, "begun"),
                EvacuationChange::Ended(zone) => (zone, "ended"),
            };
            log::info!(event = "evacuation", zone = zone.as_str(), phase = phase, source = source,
                age_ms = age; "");
            self.metrics.count_evacuation(phase);
        }
    }

    /// Returns the evacuated zones, for peers; `None` if they are not known.
    pub(crate) fn evacuation_view(&self) -> Option<EvacuationView> {
        let evacuations = lock(&self.evacuations);
        let (position, at) = evacuations.checkpoint()?;
        Some((position, at, evacuations.zones().clone()))
    }

    /// Records that a target states to be cold.
    pub(super) fn record_cold(&self, target: &TargetId, meta: &ResponseMeta) {
        let Some(time) = meta.cold.filter(|time| !time.is_zero()) else {
            return;
        };
        if lock(&self.fleet).record_cold(target, time, clock::now()) {
            log::info!(event = "target-cold", target_id = target.as_str(), cold_ms = millis(time); "");
        }
    }
}
