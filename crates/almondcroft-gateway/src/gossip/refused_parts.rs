//! Stores the parts of prompts that are refused, for the case that all VMs end at once.
//!
//! VMs learn of these parts from each other. If no VM is left to ask, a VM that starts reads them from the
//! registrations of the VMs, which it lists anyway. Two VMs that all select alike keep theirs up to date.

use crate::adapter::VmEntry;
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use crate::store::{CALL_TIMEOUT, StoreClient};
use almondcroft_core::quarantine::RefusedPart;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of VMs that store the parts; more than one in case one is removed for good.
const WRITERS: usize = 2;

/// Records the parts that the listed VMs refused before they ended.
pub(super) fn restore<'a>(gateway: &Gateway, entries: impl Iterator<Item = &'a VmEntry>) {
    let stored: Vec<RefusedPart> = entries
        .flat_map(|entry| entry.refused_parts.iter().copied())
        .collect();
    if !stored.is_empty() {
        log::info!(event = "refused-parts", parts = stored.len(), source = "store"; "");
        lock(&gateway.prompt_quarantine).restore(&stored, clock::now());
    }
}

/// Writes the refused parts into the registration of this VM when they change, if it is selected.
pub(super) async fn keep_stored(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut client = StoreClient::new(gateway.settings.store);
    while !gateway.are_peers_listed() {
        sleep(CHECK_INTERVAL).await;
    }
    let own = gateway.settings.vm.clone();
    let mut stored = lock(&gateway.prompt_quarantine).refused_parts();
    loop {
        sleep(CHECK_INTERVAL).await;
        let parts = lock(&gateway.prompt_quarantine).refused_parts();
        let selected = lock(&gateway.fleet).select_vms(WRITERS, clock::now());
        let is_writer = selected.contains(&own) || !stored.is_empty();
        if parts == stored || !is_writer || gateway.lifecycle.is_draining() {
            continue;
        }
        let entry = VmEntry {
            address,
            zone: gateway.settings.zone.clone(),
            refused_parts: parts.clone(),
        };
        let call = gateway.registry.update(&own, &entry);
        match client.call(&gateway, &call, CALL_TIMEOUT).await {
            Ok(_) => stored = parts,
            Err(error) => log::info!(event = "refused-parts-unsaved", error:% = error; ""),
        }
    }
}
