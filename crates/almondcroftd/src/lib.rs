//! Entry daemon that routes requests from callers to targets.
//!
//! The daemon performs only I/O and timekeeping. All decisions are made in `almondcroft-core`, to
//! which it passes typed events.
//!
//! | module | layer |
//! |---|---|
//! | [`http`], [`server`] | transport |
//! | `relay`, `calls` | protocol |
//! | `claims`, `routing`, `members`, `config_sync` | coordination |
//! | `app`, `lifecycle` | state |
//!
//! ```no_run
//! use almondcroftd::{Daemon, Settings};
//!
//! fn main() -> Result<(), Box<dyn std::error::Error>> {
//!     let settings = Settings::from_json(&std::fs::read("entry.json")?)?;
//!     almondcroftd::block_on(async {
//!         let daemon = Daemon::start(settings).await?;
//!         daemon.stop().await;
//!         Ok(())
//!     })
//! }
//! ```

pub mod http;
pub mod logging;
pub mod server;

mod app;
mod calls;
mod claims;
mod clock;
mod config_sync;
mod daemon;
mod lifecycle;
mod members;
mod metrics;
mod peer_client;
mod program;
mod recorder;
mod relay;
mod routing;
mod runtime;
mod settings;
mod store;

pub use clock::Clock;
pub use daemon::{Daemon, StartError};
pub use program::run_until_signal;
pub use runtime::{block_on, init_threads, sleep, spawn, within};
pub use settings::{Settings, SettingsError};
pub use store::HttpStore;
