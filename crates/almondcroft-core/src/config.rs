//! The configuration: contracts, customers, services and targets, under one revision number.

mod contract;
mod customer;
mod document;
mod gate;
mod objective;
mod service;
mod target;

pub use contract::{Contract, Terms};
pub use customer::{Customer, hash_token};
pub use document::Config;
pub use gate::RevisionGate;
pub use objective::Objective;
pub use service::{Service, ServiceKind};
pub use target::{Fencing, Target};
