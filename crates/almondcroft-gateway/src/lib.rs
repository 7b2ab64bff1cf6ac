//! The gateway: routes plain HTTP requests by host and path to engines and services.
//!
//! Callers reach it through the platform's load balancer. It finds the route and the customer of
//! each request, places the request on a target, and delivers one complete response before the
//! deadline. Decisions are made in [`almondcroft_core::gateway`]; names on the wire are
//! translated by an [`adapter`]. This crate does the I/O and runs the timers.
//!
//! | module | layer |
//! |---|---|
//! | `connection`, `pool`, `listener`, `tunnel` | transport |
//! | `caller`, `exchange`, `relay` | protocol |
//! | `dispatch`, `target_connect`, `target_run`, `migration`, `run_stop`, `run_guard`, `sync`, `gossip` | coordination |
//! | `state`, `lifecycle`, `metrics`, `unreadable_objects` | state |
//!
//! ```no_run
//! use almondcroft_gateway::adapter::{Dialect, Registry};
//! use almondcroft_gateway::{GatewaySettings, SignalHandlers, run};
//! # fn dialect() -> Box<dyn Dialect> { unimplemented!() }
//! # fn registry() -> Box<dyn Registry> { unimplemented!() }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let signals = SignalHandlers::install()?;
//! let settings = GatewaySettings::read("gateway.json".as_ref())?;
//! let _code = run(signals, "gateway.json".as_ref(), settings, dialect(), registry());
//! # Ok(())
//! # }
//! ```

pub mod adapter;

mod call;
mod caller;
mod clock;
mod connection;
mod dispatch;
mod exchange;
mod gossip;
mod lifecycle;
mod listener;
mod logging;
mod metrics;
mod migration;
mod peer_server;
mod peer_view;
mod pool;
mod program;
mod relay;
mod reply;
mod run_guard;
mod run_stop;
mod runtime;
mod settings;
mod signals;
mod socket_state;
mod state;
mod store;
mod sync;
mod target_connect;
mod target_run;
mod tunnel;
mod unreadable_objects;
mod write_queue;

pub use program::{Program, run};
pub use runtime::block_on;
pub use settings::{BackupRequests, Bounds, GatewaySettings, ServiceBackupRequests, SettingsError};
pub use signals::SignalHandlers;
