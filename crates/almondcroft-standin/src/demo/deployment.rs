//! A deployment of test doubles and entry VMs in one process, on loopback.

use crate::engine::{self, EngineFaults, EngineSettings, EngineSpec};
use crate::object_api::{self, StoreFaults, StoreSettings, StoreState};
use crate::service::{self, ServiceFaults, ServiceSettings, ServiceState};
use crate::vm_list::{self, VmListSettings, VmListState};
use crate::{Server, ServerError};
use almondcroft_core::config::hash_token;
use almondcroft_proto::sheet::parse;
use almondcroft_proto::vm_list::{VmEntry, VmState};
use almondcroftd::http::{Outbound, TlsFiles};
use almondcroftd::{Daemon, Settings, SettingsError, StartError, sleep};
use almondctl::{ApplyError, Operator};
use snafu::{ResultExt, Snafu};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trillium::Method;

/// Bearer token of the customer.
pub const TOKEN: &str = "comedor-san-blas";

/// Bearer token of another customer, which may have at most two requests in flight.
pub const OTHER_TOKEN: &str = "comedor-cuenca";

const WRITE_EXPECTATION: &str = "writing to a string succeeds";

/// Timeout for the response of a test double.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest state of a test double, in bytes.
const MAX_STATE_BYTES: usize = 4096;

/// Timeout for VMs to activate a configuration.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// An error when a local deployment is started or configured.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A test double cannot listen.
    #[snafu(display("a test double did not start"))]
    TestDouble {
        /// The cause.
        source: ServerError,
    },
    /// The daemon's settings are invalid.
    #[snafu(display("the settings are invalid"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A daemon did not start.
    #[snafu(display("a daemon did not start"))]
    Daemon {
        /// The cause.
        source: StartError,
    },
    /// The sheet is invalid.
    #[snafu(display("the sheet is invalid: {errors}"))]
    Sheet {
        /// The errors in the sheet.
        errors: String,
    },
    /// The sheet could not be applied.
    #[snafu(display("the sheet could not be applied"))]
    Apply {
        /// The cause.
        source: ApplyError,
    },
    /// A VM did not activate the configuration in time.
    #[snafu(display("revision {revision} was not active on every VM in time"))]
    NotActive {
        /// The revision.
        revision: u64,
    },
}

/// Running test doubles and entry VMs.
pub struct LocalDeployment {
    /// The object API.
    pub store: Server,
    /// State of the object API.
    pub store_state: Arc<StoreState>,
    /// The VM list.
    pub vm_list: Server,
    /// State of the VM list.
    pub vm_list_state: Arc<VmListState>,
    /// The engines.
    pub engines: Vec<Arc<Server>>,
    /// The plain service for orders.
    pub orders: Server,
    /// State of the plain service, with its executions.
    pub orders_state: Arc<ServiceState>,
    /// The entry VMs.
    pub vms: Vec<Daemon>,
    tls: Option<TlsFiles>,
}

/// Returns the loopback address with port 0, which selects a free port.
fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl LocalDeployment {
    /// Starts all parts, applies a sheet and waits until it is active on every VM.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if a part does not start or the sheet does not become active.
    pub async fn start(vms: usize, engines: usize) -> Result<Self, DeploymentError> {
        Self::start_with_tls(vms, engines, None).await
    }

    /// Starts a deployment like [`LocalDeployment::start`], with a TLS identity for the entry VMs.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if a part does not start or the sheet does not become active.
    pub async fn start_with_tls(
        vms: usize,
        engines: usize,
        tls: Option<TlsFiles>,
    ) -> Result<Self, DeploymentError> {
        let (store, store_state) = object_api::start(StoreSettings {
            listen: loopback_address(),
            faults: StoreFaults::default(),
        })
        .context(TestDoubleSnafu)?;
        let (vm_list, vm_list_state) = vm_list::start(&VmListSettings {
            listen: loopback_address(),
            vms: Vec::new(),
            lag_ms: 0,
        })
        .context(TestDoubleSnafu)?;
        let mut started = Vec::new();
        for _ in 0..engines {
            let settings = EngineSettings {
                listen: loopback_address(),
                spec: EngineSpec::default(),
                faults: EngineFaults::default(),
                exit_on_death: false,
            };
            started.push(engine::start(settings).context(TestDoubleSnafu)?);
        }
        let (orders, orders_state) = service::start(ServiceSettings {
            listen: loopback_address(),
            faults: ServiceFaults::default(),
        })
        .context(TestDoubleSnafu)?;
        let mut deployment = Self {
            store,
            store_state,
            vm_list,
            vm_list_state,
            engines: started,
            orders,
            orders_state,
            vms: Vec::new(),
            tls,
        };
        for number in 0..vms {
            deployment.add_vm(number).await?;
        }
        deployment.publish_vm_list();
        deployment.apply(&deployment.sheet()).await?;
        Ok(deployment)
    }

    /// Starts one more entry VM, named `entry-{number}`.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if it does not start.
    pub async fn add_vm(&mut self, number: usize) -> Result<(), DeploymentError> {
        let mut settings = serde_json::json!({
            "vm": format!("entry-{number}"),
            "region": "quito",
            "zone": "quito-a",
            "listen": "127.0.0.1:0",
            "store": self.store.url(),
            "vm_list": format!("{}/vms", self.vm_list.url()),
            "handle_secret": "handles of the demo only",
            "peer_secret": "peers of the demo only",
            "limits": {"drain_delay_ms": 100, "silence_ms": 500, "resume_grace_ms": 1000},
        });
        if let Some(tls) = &self.tls {
            settings["tls"] = serde_json::json!({
                "cert": &tls.cert, "key": &tls.key, "ca": &tls.ca,
            });
        }
        let settings =
            Settings::from_json(settings.to_string().as_bytes()).context(SettingsSnafu)?;
        let daemon = Daemon::start(settings).await.context(DaemonSnafu)?;
        self.vms.push(daemon);
        Ok(())
    }

    /// Replaces the faults of an engine.
    ///
    /// # Panics
    ///
    /// Panics if there is no such engine.
    pub async fn set_engine_faults(&self, engine: usize, faults: &EngineFaults) {
        let url = format!("{}/admin/faults", self.engines[engine].url());
        let body = serde_json::to_vec(faults).expect("faults serialize");
        let outbound = Outbound::new();
        let call = outbound.call(Method::Put, &url, &[], body, ADMIN_TIMEOUT);
        if let Err(error) = call.await {
            eprintln!("cannot set faults: {error}");
        }
    }

    /// Returns the number of generations that an engine holds, if it responds.
    ///
    /// # Panics
    ///
    /// Panics if there is no such engine.
    pub async fn generations(&self, engine: usize) -> Option<u64> {
        let url = format!("{}/admin/state", self.engines[engine].url());
        let outbound = Outbound::new();
        let call = outbound.call(Method::Get, &url, &[], Vec::new(), ADMIN_TIMEOUT);
        let conn = call.await.ok()?;
        let bytes = Outbound::read_body(conn, MAX_STATE_BYTES, ADMIN_TIMEOUT).await;
        let state: serde_json::Value = serde_json::from_slice(&bytes.ok()?).ok()?;
        state["generations"].as_u64()
    }

    /// Publishes all entry VMs in the VM list.
    pub fn publish_vm_list(&self) {
        let entries = self
            .vms
            .iter()
            .enumerate()
            .map(|(number, vm)| VmEntry {
                id: format!("entry-{number}").into(),
                address: vm.url(),
                zone: "quito-a".into(),
                state: VmState::Live,
            })
            .collect::<Vec<_>>();
        self.vm_list_state.set(&entries);
    }

    /// Returns the base URLs of the entry VMs.
    #[must_use]
    pub fn vm_urls(&self) -> Vec<String> {
        self.vms.iter().map(Daemon::url).collect()
    }

    /// Returns the sheet that describes this deployment.
    #[must_use]
    pub fn sheet(&self) -> String {
        let mut sheet = String::from(
            "kind,id,contract,service,type,model,address,region,zone,worth,deadline_ms,priority,\
             idempotent,max_concurrent,token_sha256\n\
             service,menus,,,engine,planner-8b,,,,,,,yes,,\n\
             service,orders,,,plain,,,,,,,,no,,\n\
             service,lookups,,,plain,,,,,,,,yes,,\n\
             contract,lunch,,menus,,,,,,2.5,60000,1,,,\n\
             contract,lunch,,orders,,,,,,5,10000,0,,,\n\
             contract,lunch,,lookups,,,,,,1,5000,0,,,\n",
        );
        let rows = self
            .engines
            .iter()
            .enumerate()
            .map(|(number, engine)| (format!("engine-{number}"), "menus", engine.url()));
        let orders = ("orders-0".to_owned(), "orders|lookups", self.orders.url());
        for (id, service, url) in rows.chain([orders]) {
            let location = "quito,quito-a,,,,,,";
            writeln!(sheet, "target,{id},,{service},,,{url},{location}").expect(WRITE_EXPECTATION);
        }
        for (id, token, max_concurrent) in [("san-blas", TOKEN, 1000), ("cuenca", OTHER_TOKEN, 2)] {
            let hash = hash_token(token);
            writeln!(
                sheet,
                "customer,{id},lunch,,,,,,,,,,,{max_concurrent},{hash}"
            )
            .expect(WRITE_EXPECTATION);
        }
        sheet
    }

    /// Applies a sheet and waits until it is active on every VM.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if it is not applied or does not become active in time.
    pub async fn apply(&self, sheet: &str) -> Result<u64, DeploymentError> {
        let config = parse(sheet.as_bytes()).map_err(|errors| {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            SheetSnafu {
                errors: errors.join("; "),
            }
            .build()
        })?;
        let operator = Operator::new(&self.store.url(), "demo");
        let applied = operator.apply(config, None).await.context(ApplySnafu)?;
        let revision = applied.revision;
        let interval = Duration::from_millis(20);
        let mut waited = Duration::ZERO;
        while self.vms.iter().any(|vm| vm.revision() < revision) {
            if waited > ACTIVATION_TIMEOUT {
                return NotActiveSnafu { revision }.fail();
            }
            sleep(interval).await;
            waited += interval;
        }
        Ok(revision)
    }
}
