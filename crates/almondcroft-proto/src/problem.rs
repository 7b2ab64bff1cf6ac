//! Error responses for callers.
//!
//! Source: RFC 9457, "Problem Details for HTTP APIs".

use almondcroft_core::Verdict;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Media type of a problem.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Header that repeats the verdict of the response body.
pub const VERDICT_HEADER: &str = "almondcroft-verdict";

/// Describes why a request failed and whether it may have run.
///
/// ```
/// use almondcroft_core::Verdict;
/// use almondcroft_proto::Problem;
///
/// let problem = Problem::new(404, "unknown-model", Verdict::NotRun).field("model");
/// assert_eq!(problem.status, 404);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable description.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// The invalid field of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<SmolStr>,
    /// The request's id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Seconds after which a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Creates a problem without optional fields.
    #[must_use]
    pub fn new(status: u16, kind: &str, verdict: Verdict) -> Self {
        Self {
            kind: kind.into(),
            status,
            verdict,
            detail: String::new(),
            field: None,
            request_id: None,
            retry_after_s: None,
        }
    }

    /// Sets the human-readable description.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the invalid field.
    #[must_use]
    pub fn field(mut self, field: &str) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the number of seconds after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets the request's id.
    #[must_use]
    pub fn request_id(mut self, id: &SmolStr) -> Self {
        self.request_id = Some(id.clone());
        self
    }

    /// Encodes the problem as JSON.
    ///
    /// # Panics
    ///
    /// Never: a problem always serializes.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem serializes")
    }
}
