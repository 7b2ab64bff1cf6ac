//! Membership and health of VMs and targets, derived from the delayed VM list, probes and the
//! results of requests.

mod health;
mod neighbours;
mod rendezvous;

pub use health::{Evidence, Health, HealthTable};
pub use neighbours::neighbours;
pub use rendezvous::{rank_members, score};
