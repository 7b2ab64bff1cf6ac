//! Queries the status of a deployment.

use almondcroft_core::Revision;
use almondcroft_core::ledger::ObjectStore;
use almondcroft_proto::object::{CONFIG_KEY, ConfigObject, STATUS_PREFIX, VmStatus};
use almondcroftd::http::Outbound;
use almondcroftd::{Clock, HttpStore};
use serde::Serialize;
use std::time::Duration;
use trillium::Method;

/// Timeout for the response of a VM.
const VM_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a VM's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The status of one VM.
#[derive(Debug, Clone, Serialize)]
pub struct VmRow {
    /// The VM.
    pub vm: String,
    /// The revision that the VM runs, or last confirmed in the store if it does not respond.
    pub revision: Revision,
    /// Seconds since it applied the revision that it last confirmed in the store.
    pub age_s: u64,
    /// Requests in flight; absent if the VM does not respond.
    pub in_flight: Option<u64>,
    /// Whether it runs the accepted revision.
    pub current: bool,
}

/// The status of a deployment.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Whether the store responds.
    pub store: bool,
    /// The accepted revision.
    pub revision: Revision,
    /// The VMs.
    pub vms: Vec<VmRow>,
}

impl Status {
    /// Returns whether the store responds and every VM that responds runs the accepted revision.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.store
            && self
                .vms
                .iter()
                .all(|row| row.current || row.in_flight.is_none())
    }
}

/// Queries the store and the VMs.
pub async fn status(store: &HttpStore) -> Status {
    let outbound = Outbound::new();
    let clock = Clock::new();
    let head = store.get(CONFIG_KEY).await;
    let revision = head
        .as_ref()
        .ok()
        .and_then(Option::as_ref)
        .map_or(0, |stored| {
            ConfigObject::from_bytes(&stored.bytes).map_or(0, |object| object.config.revision)
        });
    let mut vms = Vec::new();
    let keys = store.list(STATUS_PREFIX).await;
    for key in keys.map(|listed| listed.keys).unwrap_or_default() {
        let Ok(Some(stored)) = store.get(&key).await else {
            continue;
        };
        let Ok(confirmed) = serde_json::from_slice::<VmStatus>(&stored.bytes) else {
            continue;
        };
        let live = fetch_status(&outbound, &confirmed.address).await;
        let running_revision = live.as_ref().and_then(|live| live["revision"].as_u64());
        let running_revision = running_revision.unwrap_or(confirmed.revision);
        vms.push(VmRow {
            vm: confirmed.vm,
            revision: running_revision,
            age_s: clock.now_ms().saturating_sub(confirmed.at_ms) / 1000,
            in_flight: live.and_then(|live| live["in_flight"].as_u64()),
            current: running_revision == revision,
        });
    }
    Status {
        store: head.is_ok(),
        revision,
        vms,
    }
}

async fn fetch_status(outbound: &Outbound, address: &str) -> Option<serde_json::Value> {
    let url = format!("{address}/status");
    let call = outbound.call(Method::Get, &url, &[], Vec::new(), VM_TIMEOUT);
    let conn = call.await.ok()?;
    let bytes = Outbound::read_body(conn, MAX_RESPONSE_BYTES, VM_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(&bytes).ok()
}
