//! Messages between callers and entry VMs.

use crate::{FieldError, from_json};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Header with which a caller shortens the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "almondcroft-deadline-ms";
/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with which a caller resumes a stream.
pub const RESUME_HEADER: &str = "last-event-id";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A completion request.
///
/// Holds the fields that almondcroft reads; all others are forwarded to the engine unchanged.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the requested service.
    pub model: SmolStr,
    /// Prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user`.
    pub role: SmolStr,
    /// Text of the message.
    pub content: String,
}

impl CompletionRequest {
    /// Decodes a request and checks that it has the fields that the endpoint requires.
    ///
    /// # Errors
    ///
    /// Returns the invalid or missing field.
    pub fn decode(bytes: &[u8], chat: bool) -> Result<Self, FieldError> {
        let request: Self = from_json(bytes)?;
        if chat && request.messages.as_ref().is_none_or(Vec::is_empty) {
            return Err(field_error("messages", "a chat completion needs messages"));
        }
        if !chat && request.prompt.is_none() {
            return Err(field_error("prompt", "a completion needs a prompt"));
        }
        if request.max_tokens == Some(0) {
            return Err(field_error("max_tokens", "must be at least 1"));
        }
        Ok(request)
    }

    /// Returns the prompt text, whose prefix may be shared with other requests.
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

fn field_error(path: &str, message: &str) -> FieldError {
    FieldError {
        path: path.into(),
        message: message.into(),
    }
}

/// Returns whether `text` is a valid idempotency key.
#[must_use]
pub fn is_idempotency_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether `text` is a valid request id.
#[must_use]
pub fn is_request_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
