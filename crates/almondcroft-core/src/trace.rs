//! Recorded events and decisions, for replay.

mod event;
mod player;

pub use event::{TraceEvent, TraceHeader, TraceLine};
pub use player::{Difference, Player};
