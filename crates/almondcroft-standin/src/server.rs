//! Listening, and dying on demand.

use crate::request::broken;
use almondcroftd::http::server_options;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use trillium::{Conn, Handler};
use trillium_server_common::ServerHandle;

/// Tells why a stand-in cannot listen.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen at {address}"))]
pub struct ServerError {
    address: SocketAddr,
    source: io::Error,
}

/// Tells the parts of a stand-in that it has died.
#[derive(Debug, Clone, Default)]
pub(crate) struct Death(Arc<AtomicBool>);

impl Death {
    pub(crate) fn is_dead(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Runs the HTTP server of a stand-in.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    death: Death,
}

impl Server {
    pub(crate) fn start(
        address: SocketAddr,
        death: Death,
        handler: impl Handler,
    ) -> Result<Self, ServerError> {
        let context = ServerSnafu { address };
        let listener = TcpListener::bind(address).context(context)?;
        listener.set_nonblocking(true).context(context)?;
        let address = listener.local_addr().context(context)?;
        let listener = smol::Async::new(listener).context(context)?;
        let guard = death.clone();
        let alive = move |conn: Conn| {
            let dead = guard.is_dead();
            async move { if dead { broken(conn) } else { conn } }
        };
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_http_config(server_options())
            .with_prebound_server(smol::net::TcpListener::from(listener))
            .spawn((alive, handler));
        Ok(Self {
            address,
            handle,
            death,
        })
    }

    /// Returns the address that the stand-in listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops listening and breaks all connections, as the death of the process does.
    pub async fn kill(&self) {
        self.death.0.store(true, Ordering::SeqCst);
        let handle = self.handle.clone();
        almondcroftd::spawn(async move { handle.stop().await });
        // The listener closes when its task sees the stop.
        almondcroftd::sleep(std::time::Duration::from_millis(20)).await;
    }
}
