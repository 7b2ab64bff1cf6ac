//! In-order delivery of the tokens of one generation, each once, and resume handles.

mod handle;
mod sequencer;

pub use handle::{HandleError, HandleKey, ResumeHandle};
pub use sequencer::{Sequencer, TokenOrder};
