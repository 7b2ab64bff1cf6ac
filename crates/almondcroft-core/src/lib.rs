//! Decisions of a serving system for crowded model engines, without I/O.
//!
//! Every module takes typed events together with the present time and returns typed answers or
//! actions. A daemon, a trace replay and an experiment therefore drive exactly the same code.
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
//! | module | answers |
//! |---|---|
//! | [`ledger`] | may this keyed call run, or what came of its first run? |
//! | [`stream`] | is this token the next one, and may this caller resume? |
//! | [`router`] | which target runs this request, and when? |
//! | [`limits`] | may this customer send one more, may this attempt be retried? |
//! | [`membership`] | which VMs and targets take part? |
//! | [`gateway`] | which route, customer and target does a plain HTTP request belong to? |
//! | [`config`] | what has been agreed, and is this revision newer? |
//! | [`quarantine`] | does this request crash targets? |
//! | [`trace`] | what was decided, and does a replay decide the same? |

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
