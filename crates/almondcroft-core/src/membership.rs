//! Which VMs and targets take part, from a lagging list, probes and what requests reveal.

mod health;
mod neighbours;
mod rendezvous;

pub use health::{Evidence, Health, HealthTable};
pub use neighbours::neighbours;
pub use rendezvous::{ranked, score};
