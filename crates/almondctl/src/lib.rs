//! Operates a deployment: applies sheets, shows the status of VMs, replays traces and reads logs.
//!
//! This is the library behind the program `almondctl`, for use by other tools.
//!
//! ```no_run
//! use almondctl::{Applied, Operator};
//!
//! fn main() -> Result<(), Box<dyn std::error::Error>> {
//!     let operator = Operator::new("http://10.0.0.9:9000", "ana");
//!     let sheet = std::fs::read("villacres.csv")?;
//!     let config = almondcroft_proto::sheet::parse(&sheet).map_err(|_| "the sheet has errors")?;
//!     almondcroftd::block_on(async {
//!         let Applied { revision, .. } = operator.apply(config, None).await?;
//!         println!("revision {revision} was accepted");
//!         Ok(())
//!     })
//! }
//! ```

mod apply;
pub mod logs;
mod replay;
mod status;

pub use apply::{Applied, ApplyError, Operator};
pub use replay::{ReplayError, ReplayReport, replay};
pub use status::{Status, VmRow, status};
