//! Membership and health of VMs and targets, from a delayed list, probes and request results.

mod health;
mod neighbours;
mod rendezvous;

pub use health::{Evidence, Health, HealthTable};
pub use neighbours::neighbours;
pub use rendezvous::{rank_members, score};
