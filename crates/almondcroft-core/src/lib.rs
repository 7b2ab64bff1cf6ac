//! Decision logic of a serving gateway for heavily loaded model engines, without I/O.
//!
//! Every module takes typed events together with the current time and returns typed answers or
//! actions, so a daemon, a trace replay and an experiment all run exactly the same code.
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
//! | Module | Question it answers |
//! |---|---|
//! | [`ledger`] | may this keyed call run, or what was the outcome of its first run? |
//! | [`stream`] | is this token the next one, and may this caller resume? |
//! | [`router`] | which target runs this request, and when? |
//! | [`limits`] | may this customer send another request, and may this attempt be retried? |
//! | [`membership`] | which VMs and targets are available? |
//! | [`gateway`] | which route, customer and target does a plain HTTP request belong to? |
//! | [`config`] | which configuration is active, and is this revision newer? |
//! | [`quarantine`] | does this request crash targets? |
//! | [`trace`] | what was decided, and does a replay lead to the same decisions? |

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
    ContractId, CustomerId, Incarnation, ModelId, RegionId, RequestId, Revision, ServiceId,
    TargetId, Timestamp, VmId, ZoneId,
};
pub use ledger::{Claim, ClaimAnswer, ClaimShard, Outcome};
pub use router::Router;
pub use stream::{HandleError, HandleKey, ResumeHandle, Sequencer, TokenOrder};
pub use verdict::Verdict;
