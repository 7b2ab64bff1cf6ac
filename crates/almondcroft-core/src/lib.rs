//! Decision logic of a serving gateway for heavily loaded model engines, without I/O.
//!
//! Every module receives typed events together with the current time and returns typed decisions or
//! actions, so the daemon, trace replays and experiments all run exactly the same code.
//!
//! ```
//! use almondcroft_core::{Sequencer, TokenOrder};
//!
//! let mut sequencer = Sequencer::new(0);
//! assert_eq!(sequencer.accept(0), TokenOrder::Next);
//! assert_eq!(sequencer.accept(0), TokenOrder::Duplicate);
//! assert_eq!(sequencer.accept(2), TokenOrder::Gap { expected: 1 });
//! ```
//!
//! | Module | Purpose |
//! |---|---|
//! | [`ledger`] | at-most-once execution of calls with an idempotency key |
//! | [`stream`] | in-order delivery of tokens, and resume handles |
//! | [`router`] | queueing of requests and choice of their targets |
//! | [`limits`] | limits on concurrent requests of customers and on retries |
//! | [`membership`] | health of VMs and targets |
//! | [`gateway`] | routing, admission, placement and retries of plain HTTP requests |
//! | [`config`] | the configuration and its revisions |
//! | [`quarantine`] | quarantine of requests that crash targets |
//! | [`trace`] | recording and replay of router events and decisions |

pub mod config;
pub mod gateway;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod quarantine;
pub mod router;
pub mod stream;
pub mod trace;

mod id;
mod verdict;

pub use id::{
    ContractId, CustomerId, Era, Incarnation, ModelId, RegionId, RequestId, Revision, ServiceId,
    TargetId, Timestamp, VmId, ZoneId,
};
pub use ledger::{Claim, ClaimAnswer, ClaimShard, Outcome};
pub use router::Router;
pub use stream::{HandleError, HandleKey, ResumeHandle, Sequencer, TokenOrder};
pub use verdict::Verdict;
