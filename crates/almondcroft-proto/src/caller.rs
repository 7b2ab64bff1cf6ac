//! Messages of the callers' interface.

use crate::{FieldError, from_json};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Header that shortens the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "almondcroft-deadline-ms";
/// Header of a request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of a call's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with which a caller resumes a stream.
pub const RESUME_HEADER: &str = "last-event-id";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Longest request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Holds the fields of a completion request that almondcroft reads; all others go to the engine as
/// they are.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The service that is asked.
    pub model: SmolStr,
    /// Prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Holds one message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: SmolStr,
    /// What is said.
    pub content: String,
}

impl CompletionRequest {
    /// Decodes a request and checks that it fits the endpoint.
    ///
    /// # Errors
    ///
    /// Returns the field at fault.
    pub fn decode(bytes: &[u8], chat: bool) -> Result<Self, FieldError> {
        let request: Self = from_json(bytes)?;
        if chat && request.messages.as_ref().is_none_or(Vec::is_empty) {
            return Err(fault("messages", "a chat completion needs messages"));
        }
        if !chat && request.prompt.is_none() {
            return Err(fault("prompt", "a completion needs a prompt"));
        }
        if request.max_tokens == Some(0) {
            return Err(fault("max_tokens", "must be at least 1"));
        }
        Ok(request)
    }

    /// Returns the text that the engine reads first; its beginning may be shared with others.
    #[must_use]
    pub fn text(&self) -> String {
        let Some(messages) = &self.messages else {
            return self.prompt.clone().unwrap_or_default();
        };
        let mut text = String::new();
        for message in messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

fn fault(path: &str, message: &str) -> FieldError {
    FieldError {
        path: path.into(),
        message: message.into(),
    }
}

/// Returns whether a text can serve as an idempotency key.
#[must_use]
pub fn is_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether a text can serve as a request id.
#[must_use]
pub fn is_request_id(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(plain)
}

#[cfg(test)]
mod tests;
