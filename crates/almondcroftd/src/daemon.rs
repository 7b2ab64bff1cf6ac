//! Start and stop of a daemon.

use crate::app::App;
use crate::claims::Claims;
use crate::http::{
    Outbound, SEND_BUFFER_BYTES, TlsError, WriteLimitAcceptor, client_tls, server_options,
    server_tls,
};
use crate::routing::Routing;
use crate::runtime::{sleep, spawn};
use crate::settings::Settings;
use crate::{config_sync, members, server};
use almondcroft_core::Timestamp;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use trillium_rustls::RustlsAcceptor;
use trillium_server_common::ServerHandle;

/// Time between two checks of the number of requests in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time for errors to reach the callers after requests were aborted.
const ABORT_GRACE: Duration = Duration::from_millis(500);

/// Reasons why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The daemon cannot listen at the address.
    #[snafu(display("cannot listen at {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The TLS identity is invalid.
    #[snafu(display("the TLS identity cannot be used"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// The file for routing events cannot be created.
    #[snafu(display("cannot create the file for routing events"))]
    Record {
        /// The cause.
        source: io::Error,
    },
}

/// Entry daemon that runs inside this process.
pub struct Daemon {
    app: Arc<App>,
    address: SocketAddr,
    server: ServerHandle,
}

impl Daemon {
    /// Starts the server and the tasks that watch the store, the targets and the other VMs.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the address is in use, the TLS identity is invalid or the file
    /// for routing events cannot be created.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = TcpListener::bind(listen).context(ListenSnafu { address: listen })?;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address: listen })?;
        // Connections that are accepted take the size over.
        SockRef::from(&listener)
            .set_send_buffer_size(SEND_BUFFER_BYTES)
            .context(ListenSnafu { address: listen })?;
        let address = listener
            .local_addr()
            .context(ListenSnafu { address: listen })?;
        let routing =
            Routing::new(settings.router, settings.record.as_deref()).context(RecordSnafu)?;
        let outbound = match &settings.tls {
            Some(files) => Outbound::with_tls(Some(client_tls(files).context(TlsSnafu)?)),
            None => Outbound::new(),
        };
        let acceptor = settings
            .tls
            .as_ref()
            .map(server_tls)
            .transpose()
            .context(TlsSnafu)?;
        let app = App::new(
            Settings {
                listen: address,
                ..settings
            },
            routing,
            outbound,
        );
        let listener = smol::Async::new(listener).context(ListenSnafu { address: listen })?;
        let config = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_http_config(server_options())
            .with_prebound_server(smol::net::TcpListener::from(listener));
        let handler = server::handler(&app);
        let write_time = app.settings.limits.write_time;
        let server = match acceptor {
            Some(tls) => config
                .with_acceptor(WriteLimitAcceptor::new(
                    RustlsAcceptor::from(tls),
                    write_time,
                ))
                .spawn(handler),
            None => config
                .with_acceptor(WriteLimitAcceptor::new((), write_time))
                .spawn(handler),
        };
        Claims::start(&app);
        members::start(&app);
        config_sync::start(&app);
        server::start_polls(&app);
        log::info!(event = "started", vm = app.settings.vm.as_str(), address:% = address; "");
        sleep(Duration::ZERO).await;
        Ok(Self {
            app,
            address,
            server,
        })
    }

    /// Returns the address that the daemon listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the daemon.
    #[must_use]
    pub fn url(&self) -> String {
        self.app.url()
    }

    /// Returns the revision of the active configuration.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.app.revision()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.app.lifecycle.in_flight()
    }

    /// Stops gracefully.
    ///
    /// Waits for the drain delay, in which the load balancer notices the stop, then until the requests
    /// in flight have finished. Meanwhile, requests whose deadline is after the drain limit are refused.
    /// Returns whether all requests finished within the drain limit.
    pub async fn stop(&self) -> bool {
        let limits = &self.app.settings.limits;
        let lifecycle = &self.app.lifecycle;
        let clock = self.app.clock;
        let end = clock.now() + limits.drain_delay + limits.drain_limit;
        lifecycle.start_drain_until(end);
        log::info!(event = "drain", active = self.in_flight(); "");
        sleep(limits.drain_delay).await;
        self.wait_finished(end).await;
        lifecycle.close();
        let handle = self.server.clone();
        spawn(async move { handle.stop().await });
        // A request that was admitted just before still ends whole.
        self.wait_finished(end).await;
        let clean = self.in_flight() == 0;
        if !clean {
            self.abort_requests().await;
        }
        lifecycle.crash();
        log::info!(event = "stopped", active = self.in_flight(); "");
        clean
    }

    /// Waits until no request is in flight, `end` has passed or the requests are aborted.
    async fn wait_finished(&self, end: Timestamp) {
        let app = &self.app;
        while self.in_flight() > 0 && app.clock.now() < end && !app.lifecycle.is_aborted() {
            sleep(DRAIN_POLL).await;
        }
    }

    /// Aborts all requests in flight with errors whose verdict states whether they may have run.
    pub async fn abort_requests(&self) {
        self.app.lifecycle.abort_requests();
        sleep(ABORT_GRACE).await;
    }

    /// Closes all connections at once, as a crash of the VM does.
    pub fn crash(&self) {
        self.app.lifecycle.crash();
        let handle = self.server.clone();
        spawn(async move { handle.stop().await });
    }
}
