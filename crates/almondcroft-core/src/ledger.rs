//! At-most-once execution of calls with an idempotency key, on top of an external object store.
//!
//! Keys hash to shards. A shard is a log of segments in the object store; a batch of claims is
//! appended by a conditional update of the last segment. The version check is the only fence: the
//! update of a VM that was paused fails even if that VM still considers itself the appender, so
//! correctness depends on no lease timing. Which VM appends affects only speed.
//!
//! A store that was restored from an older copy has lost claims that it had confirmed, and gives out
//! versions again. Each segment therefore names the era in which it was written. Once an era has begun,
//! a key that was issued before it and is not in the log is granted to nobody: an earlier attempt may
//! have run. What a VM remembers of the lost log, it appends again.

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
pub use store::{Expected, Listed, ObjectStore, StoreError, StoreFuture, Stored, Written};
pub use table::ClaimTable;
