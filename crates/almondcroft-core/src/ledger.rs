//! At-most-once execution of calls with an idempotency key, on top of an external object store.
//!
//! Keys hash to shards. A shard is a log of segments in the object store; a batch of claims is
//! appended by a conditional update of the last segment. The version check is the only fence: the
//! update of a VM that was paused fails even if that VM still considers itself the appender, so
//! correctness depends on no lease timing. Which VM appends affects only speed.

mod answer;
mod claim;
mod key;
mod outcome;
mod segment;
mod shard;
mod store;
mod table;

pub use answer::ClaimAnswer;
pub use claim::Claim;
pub use key::{BodyHash, KeyHash, Nonce, hash_body, hash_key, key_time, shard_of};
pub use outcome::Outcome;
pub use segment::{Entry, Segment};
pub use shard::{CallId, ClaimShard, ShardAction, ShardEvent, ShardOptions, Ticket};
pub use store::{Expected, ObjectStore, StoreError, StoreFuture, Stored};
pub use table::ClaimTable;
