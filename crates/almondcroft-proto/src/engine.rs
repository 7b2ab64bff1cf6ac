//! Messages between entry VMs and model engines.
//!
//! Generations use the completion API of the engines. The event id of each streamed event is the
//! offset of its token. A generation can be resumed and cancelled by the id that the VM assigned in
//! `request_id`.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Path prefix for resuming and cancelling generations.
pub const GENERATIONS_PATH: &str = "/v1/generations/";

/// Path of the load report.
pub const LOAD_PATH: &str = "/load";

/// The fields of a streamed completion event that almondcroft reads.
#[derive(Debug, Clone, Deserialize)]
pub struct Chunk {
    /// The generation that the token belongs to.
    pub id: SmolStr,
    /// Alternative completions; almondcroft requests only one.
    #[serde(default)]
    pub choices: Vec<Choice>,
}

/// One alternative completion in a streamed event.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Choice {
    /// Text of a plain completion.
    #[serde(default)]
    pub text: Option<String>,
    /// New part of a chat completion.
    #[serde(default)]
    pub delta: Option<Delta>,
    /// Why the generation ended; present only in its last event.
    #[serde(default)]
    pub finish_reason: Option<SmolStr>,
}

/// The part that an event adds to a chat message.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

impl Chunk {
    /// Returns the text that this event adds.
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

    /// Returns why the generation ended, if this is its last event.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&SmolStr> {
        self.choices.first()?.finish_reason.as_ref()
    }
}

/// Response to a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Age of the values, in milliseconds.
    pub age_ms: u64,
    /// Generations in the running batch.
    pub running: u32,
    /// Generations waiting to run.
    pub waiting: u32,
    /// Tokens in the KV cache.
    pub kv_used: u64,
    /// Capacity of the KV cache, in tokens.
    pub kv_total: u64,
    /// Preemptions since the process started.
    pub preemptions: u64,
    /// Whether the target is draining.
    #[serde(default)]
    pub leaving: bool,
}
