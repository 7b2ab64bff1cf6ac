//! A stand-in model engine: batches by step, fills its memory while decoding, preempts.

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
pub use text::{draw_length, token};
