//! Recording and replay of router events and decisions.

mod event;
mod replayer;

pub use event::{TraceEvent, TraceHeader, TraceLine};
pub use replayer::{Difference, Replayer};
