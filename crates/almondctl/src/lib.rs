//! Operators' work on a deployment: applying sheets, looking at VMs, replaying traces, reading logs.
//!
//! The library holds what the program `almondctl` does, for other tools to call.
//!
//! ```no_run
//! use almondctl::{Applied, Operator};
//!
//! fn main() -> Result<(), Box<dyn std::error::Error>> {
//!     let operator = Operator::new("http://10.0.0.9:9000", "ana");
//!     let sheet = std::fs::read("villacres.csv")?;
//!     let config = almondcroft_proto::sheet::parse(&sheet).map_err(|_| "faults in the sheet")?;
//!     almondcroftd::block_on(async {
//!         let Applied { revision, .. } = operator.apply(config, None).await?;
//!         println!("revision {revision} is accepted");
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
