//! Outcomes of keyed calls.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum size of a body that an outcome keeps, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 2048;

/// The target's response to the only run of a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the response; `None` if no response arrived.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Media type of the body.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub media: Option<SmolStr>,
    /// The body, if it is UTF-8 and short enough to keep.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Outcome {
    /// Creates an outcome, leaving out a body that is too long or is not UTF-8.
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

    /// Creates the outcome of a call that was sent and got no response.
    #[must_use]
    pub const fn unknown() -> Self {
        Self {
            status: None,
            media: None,
            body: None,
        }
    }
}
