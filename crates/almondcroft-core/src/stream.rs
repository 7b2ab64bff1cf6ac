//! Delivery of generated tokens: once each, in order, from one generation.

mod handle;
mod sequencer;

pub use handle::{HandleError, HandleKey, ResumeHandle};
pub use sequencer::{Accept, Sequencer};
