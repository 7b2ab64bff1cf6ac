//! Response that holds a whole generation.

use crate::http::CollectedBody;
use almondcroft_proto::engine::Chunk;
use serde_json::json;
use smol_str::SmolStr;

/// Largest text of a collected generation, in bytes.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Collects the text of a generation.
#[derive(Debug, Default)]
pub(crate) struct CollectedResponse {
    text: CollectedBody,
    finish_reason: SmolStr,
}

impl CollectedResponse {
    /// Appends the text of an event; returns whether the limits of one text and of the process permit it.
    pub(crate) fn try_push(&mut self, data: &str) -> bool {
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return true;
        };
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = reason.clone();
        }
        let text = chunk.text().as_bytes();
        self.text.len() + text.len() <= MAX_TEXT_BYTES && self.text.try_extend(text)
    }

    /// Encodes the response in the format of the endpoint.
    pub(crate) fn into_json(self, id: &str, service: &str, chat: bool, tokens: u64) -> String {
        let text = String::from_utf8(self.text.finish()).expect("texts of events are UTF-8");
        let (object, choice) = if chat {
            let message = json!({"role": "assistant", "content": text});
            let choice =
                json!({"index": 0, "message": message, "finish_reason": self.finish_reason});
            ("chat.completion", choice)
        } else {
            let choice = json!({"index": 0, "text": text, "finish_reason": self.finish_reason});
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
