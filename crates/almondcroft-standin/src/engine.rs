//! A simulated model engine with continuous batching, a bounded KV cache and preemption.

mod faults;
mod generation;
mod http;
mod model;
mod spec;
mod text;

pub use faults::EngineFaults;
pub use generation::Generation;
pub use http::{EngineSettings, start};
pub use model::{Engine, Step};
pub use spec::EngineSpec;
pub use text::{draw_output_length, token_text};
