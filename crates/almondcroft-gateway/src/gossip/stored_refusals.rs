//! Stores what is refused because it crashes targets, for the case that all VMs end at once.
//!
//! VMs learn of these requests and parts of prompts from each other. If no VM is left to ask, a VM that starts reads
//! them from the registrations of the VMs, which it lists anyway. Two VMs that all select alike keep theirs up to date.

use crate::adapter::{StoredRequest, VmEntry};
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use crate::store::{CALL_TIMEOUT, StoreClient};
use almondcroft_core::quarantine::{RefusedPart, RefusedRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of VMs that store the refusals; more than one in case one is removed for good.
const WRITERS: usize = 2;

/// Records what the listed VMs refused before they ended.
pub(super) fn restore<'a>(gateway: &Gateway, entries: impl Iterator<Item = &'a VmEntry> + Clone) {
    let parts = entries.clone().flat_map(|entry| &entry.refused_parts);
    let parts: Vec<RefusedPart> = parts.copied().collect();
    let time = clock::unix_time();
    let requests = entries.flat_map(|entry| &entry.refused_requests);
    let requests: Vec<RefusedRequest> = requests
        .map(|request| RefusedRequest {
            fingerprint: request.fingerprint,
            crashes: request.crashes,
            trials: request.trials,
            age: time.saturating_sub(Duration::from_secs(request.last_s)),
        })
        .collect();
    if parts.is_empty() && requests.is_empty() {
        return;
    }
    log::info!(event = "refusals-restored", parts = parts.len(), requests = requests.len(); "");
    lock(&gateway.prompt_quarantine).restore(&parts, clock::now());
    lock(&gateway.quarantine).restore(&requests, clock::now());
}

/// Returns the registration of this VM, with what it refuses now if it is selected to store that.
pub(super) fn entry(gateway: &Gateway, address: SocketAddr) -> VmEntry {
    let (now, time) = (clock::now(), clock::unix_time());
    let mut entry = VmEntry::new(address, gateway.settings.zone.clone());
    let selected = lock(&gateway.fleet).select_vms(WRITERS, now);
    let registered = lock(&gateway.registration).clone();
    // What was stored once is kept up to date, so that it does not outlive the refusals.
    let has_stored = registered.is_some_and(|registered| registered.has_refusals());
    if has_stored || selected.contains(&gateway.settings.vm) {
        entry.refused_parts = lock(&gateway.prompt_quarantine).refused_parts();
        let requests = lock(&gateway.quarantine).refused_requests(now);
        let requests = requests.into_iter().map(|request| StoredRequest {
            fingerprint: request.fingerprint,
            crashes: request.crashes,
            trials: request.trials,
            last_s: time.saturating_sub(request.age).as_secs(),
        });
        entry.refused_requests = requests.collect();
    }
    entry
}

/// Writes the refusals into the registration of this VM when they change.
pub(super) async fn keep_stored(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut client = StoreClient::new(gateway.settings.store);
    let own = gateway.settings.vm.clone();
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(registered) = lock(&gateway.registration).clone() else {
            continue;
        };
        let entry = entry(&gateway, address);
        if entry.refuses_like(&registered) || gateway.lifecycle.is_draining() {
            continue;
        }
        let call = gateway.registry.update(&own, &entry);
        match client.call(&gateway, &call, CALL_TIMEOUT).await {
            Ok(_) => *lock(&gateway.registration) = Some(entry),
            Err(error) => log::info!(event = "refusals-unsaved", error:% = error; ""),
        }
    }
}
