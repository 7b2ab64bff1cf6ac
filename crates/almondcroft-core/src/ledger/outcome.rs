//! What came of a keyed call.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Longest body that an outcome keeps, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 2048;

/// Records the answer of the one run of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the target's answer; absent where no answer came.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Media type of the body.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub media: Option<SmolStr>,
    /// The body, unless it is not text or is too long to keep.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Outcome {
    /// Creates an outcome; a body that is too long or not text is left out.
    #[must_use]
    pub fn new(status: u16, media: Option<SmolStr>, body: &[u8]) -> Self {
        let text = std::str::from_utf8(body).ok();
        let kept = text.filter(|text| text.len() <= MAX_BODY_BYTES);
        Self {
            status: Some(status),
            media,
            body: kept.map(str::to_owned),
        }
    }

    /// Creates the outcome of a call that was sent and never answered.
    #[must_use]
    pub const fn unknown() -> Self {
        Self {
            status: None,
            media: None,
            body: None,
        }
    }
}
