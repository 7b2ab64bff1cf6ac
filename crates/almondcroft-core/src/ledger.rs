//! At-most-once execution of keyed calls, on a store that is not ours.
//!
//! Keys hash to shards. A shard is a log of segments in the object store; a batch of claims is
//! appended by a conditional update of the last segment. The version check is the only fence: a
//! paused VM's update fails whatever the VM believes, so no lease timing is trusted. Which VM
//! appends is a matter of speed only.

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
pub use shard::{ClaimShard, ShardAction, ShardEvent, ShardOptions, Ticket, WriteId};
pub use store::{Expected, ObjectStore, StoreError, StoreFuture, Stored};
pub use table::ClaimTable;
