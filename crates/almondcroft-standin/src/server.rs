//! HTTP server of a test double, with simulated crashes.

use crate::request::reset_connection;
use almondcroftd::http::server_options;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use trillium::{Conn, Handler};
use trillium_server_common::ServerHandle;

/// An error when a test double starts to listen.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen at {address}"))]
pub struct ServerError {
    address: SocketAddr,
    source: io::Error,
}

/// Flag, shared by the tasks of a test double, that is set when it crashes.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashFlag(Arc<AtomicBool>);

impl CrashFlag {
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A running HTTP server of a test double.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    crashed: CrashFlag,
}

impl Server {
    pub(crate) fn start(
        address: SocketAddr,
        crashed: CrashFlag,
        handler: impl Handler,
    ) -> Result<Self, ServerError> {
        let context = ServerSnafu { address };
        let listener = TcpListener::bind(address).context(context)?;
        listener.set_nonblocking(true).context(context)?;
        let address = listener.local_addr().context(context)?;
        let listener = smol::Async::new(listener).context(context)?;
        let flag = crashed.clone();
        let reset_if_crashed = move |conn: Conn| {
            let crashed = flag.is_set();
            async move {
                if crashed {
                    reset_connection(conn)
                } else {
                    conn
                }
            }
        };
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_http_config(server_options())
            .with_prebound_server(smol::net::TcpListener::from(listener))
            .spawn((reset_if_crashed, handler));
        Ok(Self {
            address,
            handle,
            crashed,
        })
    }

    /// Returns the address that the server listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops listening and resets all connections, as a crash of the process does.
    pub async fn crash(&self) {
        self.crashed.0.store(true, Ordering::SeqCst);
        let handle = self.handle.clone();
        almondcroftd::spawn(async move { handle.stop().await });
        // The listener closes only when its task observes the stop.
        almondcroftd::sleep(std::time::Duration::from_millis(20)).await;
    }
}
