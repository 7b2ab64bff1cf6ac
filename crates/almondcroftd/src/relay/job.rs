//! Input of a relay.

use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::router::RouteRequest;
use almondcroft_core::{RequestId, ResumeHandle};
use almondcroft_proto::caller::CompletionRequest;

/// Describes the generation that a relay starts or resumes.
#[derive(Debug)]
pub(crate) struct Job {
    /// Request id, chosen by the caller or generated at admission.
    pub(crate) request: RequestId,
    /// Request to the router.
    pub(crate) route: RouteRequest,
    /// Request body for the engine.
    pub(crate) body: CompletionRequest,
    /// Identifies the request in the quarantine if it crashes engines; 0 for a resume.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the caller asked for a chat completion.
    pub(crate) chat: bool,
    /// Position to resume at; `None` for a new generation.
    pub(crate) resume: Option<ResumeHandle>,
}
