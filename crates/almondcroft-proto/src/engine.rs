//! Messages between entry VMs and model engines.
//!
//! Generations use the completion interface that engines publish. Each event carries the offset of
//! its token as the event id; a generation can be resumed and cancelled by the id that the VM gave
//! it in `request_id`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Path below which generations are resumed and cancelled.
pub const GENERATIONS_PATH: &str = "/v1/generations/";

/// Path of the load report.
pub const LOAD_PATH: &str = "/load";

/// Holds the parts of a streamed event that almondcroft reads.
#[derive(Debug, Clone, Deserialize)]
pub struct Chunk {
    /// The generation that the token belongs to.
    pub id: SmolStr,
    /// The alternatives; almondcroft asks for one.
    #[serde(default)]
    pub choices: Vec<Choice>,
}

/// Holds one alternative of a streamed event.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Choice {
    /// Text of a plain completion.
    #[serde(default)]
    pub text: Option<String>,
    /// Text of a chat completion.
    #[serde(default)]
    pub delta: Option<Delta>,
    /// Why the generation ended, in its last event.
    #[serde(default)]
    pub finish_reason: Option<SmolStr>,
}

/// Holds the new part of a chat message.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

impl Chunk {
    /// Returns the new text.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        choice.text.as_deref().or(delta).unwrap_or_default()
    }

    /// Returns why the generation ended.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&SmolStr> {
        self.choices.first()?.finish_reason.as_ref()
    }
}

/// Answers a request for the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// Tokens held in KV memory.
    pub kv_used: u64,
    /// Tokens that KV memory can hold.
    pub kv_total: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Whether the target is about to stop.
    #[serde(default)]
    pub leaving: bool,
}
