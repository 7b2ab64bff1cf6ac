//! Serves generations of unknown length on heavily loaded engines.
//!
//! This crate is the entry point for embedding the coordination logic in other systems. It
//! re-exports [`core`], which makes the decisions without I/O, and [`proto`], which defines the
//! wire messages.
//!
//! Claim a key so that a call runs at most once:
//!
//! ```
//! use almondcroft::core::ledger::{
//!     Claim, ClaimAnswer, ClaimShard, ShardAction, ShardEvent, ShardOptions, hash_body, hash_key,
//! };
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1_000);
//! let claim = Claim {
//!     key: hash_key("san-blas", "orders", "order-17"),
//!     body: hash_body("POST", "/confirm", b"{}"),
//!     nonce: 1,
//!     vm: "entry-1".into(),
//!     incarnation: 1,
//!     at: now,
//!     issued_at: Some(now),
//!     deadline: now + Duration::from_secs(10),
//! };
//! let mut shard = ClaimShard::new(ShardOptions::default());
//!
//! // The shard first loads its log, which does not exist in the store yet.
//! let actions = shard.handle(ShardEvent::Claim { ticket: 1, claim }, now);
//! let ShardAction::Load { id, from: None } = actions[0] else { panic!() };
//!
//! // Then it appends the claim.
//! let actions = shard.handle(ShardEvent::Loaded { id, era: 1, segments: Vec::new() }, now);
//! let ShardAction::Write { id, .. } = actions[0] else { panic!() };
//!
//! // Once the store has confirmed it, the call may run.
//! let actions = shard.handle(ShardEvent::Written { id, era: 1, version: 1 }, now);
//! assert!(matches!(
//!     actions[0],
//!     ShardAction::Answer { ticket: 1, answer: ClaimAnswer::Granted }
//! ));
//! ```
//!
//! | module | contents |
//! |---|---|
//! | [`core`] | claims, routing, limits, streams, membership, configuration |
//! | [`proto`] | messages between callers, VMs, engines and the platform |

pub use almondcroft_core as core;
pub use almondcroft_proto as proto;
