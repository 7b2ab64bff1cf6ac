//! Test doubles of the systems around almondcroft, the demo and the experiment tools.
//!
//! | module | test double of |
//! |---|---|
//! | [`engine`] | a model engine |
//! | [`service`] | a plain service |
//! | [`object_api`] | the platform's object API |
//! | [`vm_list`] | the platform's VM list |
//! | [`weight_store`] | the weight store |
//!
//! [`demo`] runs a whole deployment in one process; [`experiment`] measures routing policies in
//! virtual time; [`keyed_calls`] sends calls that may not be repeated through real processes.

pub mod demo;
pub mod engine;
pub mod experiment;
pub mod keyed_calls;
pub mod object_api;
pub mod processes;
pub mod service;
pub mod vm_list;
pub mod weight_store;

mod request;
mod server;
mod settings;

pub use server::{Server, ServerError};
pub use settings::read_settings;
