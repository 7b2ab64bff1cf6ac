//! Response that holds a whole generation.

use almondcroft_proto::engine::Chunk;
use serde_json::json;
use smol_str::SmolStr;

/// Collects the text of a generation.
#[derive(Debug, Default)]
pub(crate) struct CollectedResponse {
    text: String,
    finish_reason: SmolStr,
}

impl CollectedResponse {
    /// Appends the text of an event.
    pub(crate) fn push(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return;
        };
        self.text.push_str(chunk.text());
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = reason.clone();
        }
    }

    /// Encodes the response in the format of the endpoint.
    pub(crate) fn to_json(&self, id: &str, service: &str, chat: bool, tokens: u64) -> String {
        let (object, choice) = if chat {
            let message = json!({"role": "assistant", "content": self.text});
            let choice =
                json!({"index": 0, "message": message, "finish_reason": self.finish_reason});
            ("chat.completion", choice)
        } else {
            let choice =
                json!({"index": 0, "text": self.text, "finish_reason": self.finish_reason});
            ("text_completion", choice)
        };
        json!({
            "id": id,
            "object": object,
            "model": service,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        })
        .to_string()
    }
}
