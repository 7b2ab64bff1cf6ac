//! A deployment of separate processes: store, VM list, service and entry VMs.

use super::KeyedCallSetup;
use crate::demo::TOKEN;
use crate::processes::{Launcher, Process, ProcessError, free_address};
use almondcroft_core::config::hash_token;
use almondcroft_proto::sheet::parse;
use almondcroftd::http::Outbound;
use almondcroftd::sleep;
use almondctl::Operator;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::Duration;
use trillium::Method;

/// Largest response of a test double, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Timeout for the response of a test double.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of polls for a VM to become ready before the start fails.
const MAX_READY_POLLS: u32 = 500;

/// Time between two polls for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment of separate processes.
pub struct ProcessDeployment {
    launcher: Launcher,
    folder: PathBuf,
    pub(super) store: Process,
    _vm_list: Process,
    pub(super) orders: Process,
    pub(super) vms: Vec<Process>,
    settings: Vec<Value>,
    outbound: Outbound,
}

impl ProcessDeployment {
    /// Starts all processes, applies a sheet and waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// Returns a message if a process does not start or a VM does not become ready.
    pub async fn start(setup: &KeyedCallSetup, program: &Path) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let launcher = Launcher::new(program, &folder);
        let text = |error: ProcessError| error.to_string();
        let listen = json!({"listen": "127.0.0.1:0"});
        let store = launcher
            .start("object-api", "store", &listen)
            .map_err(text)?;
        let orders = launcher.start("service", "orders", &listen).map_err(text)?;
        let mut addresses = Vec::new();
        for _ in 0..setup.vms {
            addresses.push(free_address().map_err(|error| error.to_string())?);
        }
        let entries: Vec<Value> = addresses
            .iter()
            .enumerate()
            .map(|(number, address)| {
                json!({
                    "id": format!("entry-{number}"), "address": format!("http://{address}"),
                    "zone": "zone-a", "state": "live",
                })
            })
            .collect();
        let list = json!({"listen": "127.0.0.1:0", "vms": entries});
        let vm_list = launcher.start("vm-list", "vm-list", &list).map_err(text)?;
        let settings = addresses
            .iter()
            .enumerate()
            .map(|(number, address)| {
                json!({
                    "vm": format!("entry-{number}"), "region": "region-a", "zone": "zone-a",
                    "listen": address, "store": store.url(),
                    "vm_list": format!("{}/vms", vm_list.url()),
                    "handle_secret": "handles of a test only",
                    "peer_secret": "peers of a test only",
                    "limits": {"drain_delay_ms": 100},
                    "ledger": {"shards": setup.shards, "interval_ms": setup.interval_ms},
                })
            })
            .collect();
        let mut deployment = Self {
            launcher,
            folder,
            store,
            _vm_list: vm_list,
            orders,
            vms: Vec::new(),
            settings,
            outbound: Outbound::new(),
        };
        for index in 0..deployment.settings.len() {
            let process = deployment.start_vm(index).map_err(text)?;
            deployment.vms.push(process);
        }
        deployment.apply_sheet(setup.targets).await?;
        Ok(deployment)
    }

    fn start_vm(&self, index: usize) -> Result<Process, ProcessError> {
        let name = format!("entry-{index}");
        self.launcher.start("entry", &name, &self.settings[index])
    }

    /// Kills a VM and restarts it at the same address.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it cannot be killed or restarted.
    pub fn restart_vm(&mut self, index: usize) -> Result<(), ProcessError> {
        self.vms[index].kill()?;
        self.vms[index] = self.start_vm(index)?;
        Ok(())
    }

    async fn apply_sheet(&self, targets: u64) -> Result<(), String> {
        let sheet = format!(
            "kind,id,contract,service,type,address,region,zone,worth,deadline_ms,priority,\
             idempotent,max_concurrent,token_sha256\n\
             service,orders,,,plain,,,,,,,no,,\n\
             contract,lunch,,orders,,,,,5,10000,0,,,\n\
             customer,san-blas,lunch,,,,,,,,,,100000,{}\n",
            hash_token(TOKEN)
        );
        let url = self.orders.url();
        let rows = (0..targets)
            .map(|number| format!("target,orders-{number},,orders,,{url},region-a,zone-a,,,,,,\n"));
        let sheet: String = std::iter::once(sheet).chain(rows).collect();
        let config = parse(sheet.as_bytes()).map_err(|errors| format!("{errors:?}"))?;
        let operator = Operator::new(self.store.url(), "test");
        let applied = operator.apply(config, None).await;
        applied.map_err(|error| error.to_string())?;
        for vm in &self.vms {
            let mut polls = 0;
            while !self.is_ready(vm.url()).await {
                polls += 1;
                if polls > MAX_READY_POLLS {
                    return Err("an entry VM did not become ready in time".into());
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, url: &str) -> bool {
        let url = format!("{url}/readyz");
        let call = self
            .outbound
            .call_fresh(Method::Get, &url, &[], Vec::new(), ADMIN_TIMEOUT);
        call.await
            .is_ok_and(|conn| conn.status().is_some_and(|status| status as u16 == 200))
    }

    /// Returns the entry VMs.
    #[must_use]
    pub fn vms(&self) -> &[Process] {
        &self.vms
    }

    /// Reads JSON from a test double.
    ///
    /// # Errors
    ///
    /// Returns a message if it does not respond with JSON.
    pub async fn read_json(&self, url: &str) -> Result<Value, String> {
        let call = self
            .outbound
            .call_fresh(Method::Get, url, &[], Vec::new(), ADMIN_TIMEOUT);
        let conn = call.await.map_err(|error| error.to_string())?;
        let bytes = Outbound::read_body(conn, MAX_RESPONSE_BYTES, ADMIN_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&bytes).map_err(|error| error.to_string())
    }

    /// Sets the faults of a test double.
    pub async fn set_faults(&self, url: &str, faults: &Value) {
        let url = format!("{url}/admin/faults");
        let body = faults.to_string().into_bytes();
        let call = self
            .outbound
            .call_fresh(Method::Put, &url, &[], body, ADMIN_TIMEOUT);
        if let Err(error) = call.await {
            eprintln!("cannot set faults: {error}");
        }
    }
}

impl Drop for ProcessDeployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
