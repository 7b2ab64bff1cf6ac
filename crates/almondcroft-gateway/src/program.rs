//! The gateway process: startup, signals and graceful shutdown.

use crate::adapter::{Dialect, Registry};
use crate::caller::{self, serve_pages};
use crate::clock;
use crate::listener::{accept, accept_until, bind};
use crate::runtime::{block_on, sleep, spawn, spawn_forever};
use crate::settings::GatewaySettings;
use crate::signals::{SignalHandlers, SignalRequest};
use crate::state::Gateway;
use crate::{gossip, logging, peer_server, sync};
use almondcroft_core::Timestamp;
use async_channel::{Sender, bounded};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Time between two runs of the periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time of a shutdown, in which the load balancer notices that the VM is no longer ready.
const MIN_STOP_TIME: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace period at which the process stops waiting for open requests.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time between two checks of the settings file.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Time for the final responses to requests that are open when the process stops waiting for them.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Time between two checks whether the final responses are sent.
const FINAL_RESPONSE_POLL: Duration = Duration::from_millis(5);

/// Time between two checks for open requests during shutdown.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Runs a gateway inside this process.
pub struct Program {
    gateway: Arc<Gateway>,
    listen: SocketAddr,
    ready: SocketAddr,
    /// Closed once no more callers are accepted.
    accepting: Sender<()>,
}

impl Program {
    /// Starts the listeners, the store client and gossip.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address cannot be bound.
    pub fn start(
        settings: GatewaySettings,
        dialect: Box<dyn Dialect>,
        registry: Box<dyn Registry>,
    ) -> io::Result<Self> {
        let callers = bind(settings.listen)?;
        let ready = bind(settings.ready)?;
        let metrics = settings.metrics.map(bind).transpose()?;
        let (accepting, closed) = bounded(1);
        let program = Self {
            accepting,
            listen: callers.get_ref().local_addr()?,
            ready: ready.get_ref().local_addr()?,
            gateway: Gateway::new(settings, dialect, registry),
        };
        let gateway = &program.gateway;
        log::info!(event = "started", version = env!("CARGO_PKG_VERSION"),
            vm = gateway.settings.vm.as_str(), zone = gateway.settings.zone.as_str(),
            listen:% = program.listen; "");
        let served = Arc::clone(gateway);
        spawn(accept_until(callers, closed, move |connection| {
            caller::serve(Arc::clone(&served), connection)
        }));
        for listener in [Some(ready), metrics].into_iter().flatten() {
            let shared = Arc::clone(gateway);
            spawn(accept(listener, move |connection| {
                let shared = Arc::clone(&shared);
                serve_pages(connection, move |path| page(&shared, path))
            }));
        }
        sync::start(gateway);
        gossip::start(gateway)?;
        peer_server::start(gateway);
        let ticking = Arc::clone(gateway);
        spawn_forever(move || {
            let gateway = Arc::clone(&ticking);
            async move {
                loop {
                    gateway.tick(clock::now());
                    sleep(TICK_INTERVAL).await;
                }
            }
        });
        Ok(program)
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address of readiness and metrics.
    #[must_use]
    pub const fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Stops gracefully: the load balancer sends callers elsewhere, requests in flight finish, and those that the
    /// grace period does not suffice for are answered before it ends.
    pub async fn stop(&self) {
        let lifecycle = &self.gateway.lifecycle;
        lifecycle.start_drain(clock::now());
        self.gateway.request_gossip();
        log::info!(event = "stopping", requests = lifecycle.requests(),
            connections = lifecycle.connections(); "");
        spawn(gossip::unregister(Arc::clone(&self.gateway)));
        let started_at = clock::now();
        self.wait_until_idle(started_at).await;
        self.accepting.close();
        // A caller that was accepted just before may send a request.
        sleep(STOP_POLL).await;
        self.wait_until_idle(started_at).await;
        log::info!(event = "stopped", requests = lifecycle.requests(),
            connections = lifecycle.connections(); "");
        lifecycle.signal_end();
        let signalled_at = clock::now();
        while lifecycle.requests() > 0
            && clock::now().saturating_sub(signalled_at) < FINAL_RESPONSE_TIME
        {
            sleep(FINAL_RESPONSE_POLL).await;
        }
    }

    /// Waits until the shutdown has lasted its minimum time and nothing is open, or the grace period is
    /// nearly over.
    async fn wait_until_idle(&self, started_at: Timestamp) {
        let lifecycle = &self.gateway.lifecycle;
        let grace = self.gateway.bounds().grace();
        loop {
            let elapsed = clock::now().saturating_sub(started_at);
            let idle = lifecycle.requests() == 0 && lifecycle.connections() == 0;
            if (idle && elapsed >= MIN_STOP_TIME) || elapsed + STOP_MARGIN >= grace {
                return;
            }
            sleep(STOP_POLL).await;
        }
    }
}

fn page(gateway: &Gateway, path: &str) -> (u16, &'static str, Vec<u8>) {
    match path {
        "/readyz" if gateway.is_ready(clock::now()) => (200, "text/plain", b"ready\n".to_vec()),
        "/readyz" => (503, "text/plain", b"not ready\n".to_vec()),
        "/metrics" => (200, "text/plain", gateway.metrics.encode()),
        _ => (404, "text/plain", Vec::new()),
    }
}

/// Reloads the settings file and applies the settings that may change at run time.
///
/// Only bounds may: addresses and names are fixed for the lifetime of the process. An unreadable
/// file changes nothing.
fn reload(gateway: &Gateway, path: &Path, signalled: bool) {
    let settings = match GatewaySettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::warn!(event = "reload", outcome = "unreadable", error:% = error; "");
            return;
        }
    };
    let changed = settings.bounds != gateway.bounds();
    if changed {
        gateway.set_bounds(settings.bounds);
    }
    let changed = gateway.set_backup_requests(settings.backup_requests.clone()) || changed;
    let fixed = GatewaySettings {
        bounds: gateway.settings.bounds,
        backup_requests: gateway.settings.backup_requests.clone(),
        bootstrap: gateway.settings.bootstrap,
        ..settings
    };
    let restart = fixed != gateway.settings;
    if changed || restart || signalled {
        let outcome = match (changed, restart) {
            (_, true) => "needs-restart",
            (true, false) => "changed",
            (false, false) => "unchanged",
        };
        log::info!(event = "reload", outcome = outcome, signalled = signalled; "");
    }
}

/// Polls the settings file, which may change without a signal.
async fn watch_settings(gateway: Arc<Gateway>, path: PathBuf) {
    let mut seen = std::fs::read(&path).ok();
    loop {
        sleep(SETTINGS_POLL).await;
        let read = std::fs::read(&path).ok();
        if read.is_some() && read != seen {
            reload(&gateway, &path, false);
            seen = read;
        }
    }
}

/// Runs a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings file.
#[must_use]
pub fn run(
    mut signals: SignalHandlers,
    path: &Path,
    settings: GatewaySettings,
    dialect: Box<dyn Dialect>,
    registry: Box<dyn Registry>,
) -> ExitCode {
    logging::init();
    for _ in 1..settings.threads {
        std::thread::spawn(|| block_on(std::future::pending::<()>()));
    }
    block_on(async move {
        let program = match Program::start(settings, dialect, registry) {
            Ok(program) => program,
            Err(error) => {
                log::error!(event = "start-failed", error:% = error; "");
                sleep(TICK_INTERVAL).await;
                return ExitCode::FAILURE;
            }
        };
        spawn(watch_settings(
            Arc::clone(&program.gateway),
            path.to_owned(),
        ));
        while signals.next().await == SignalRequest::Reload {
            reload(&program.gateway, path, true);
        }
        program.stop().await;
        sleep(STOP_POLL).await;
        ExitCode::SUCCESS
    })
}
