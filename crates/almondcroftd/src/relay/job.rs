//! What a relay is given.

use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::router::RouteRequest;
use almondcroft_core::{RequestId, ResumeHandle};
use almondcroft_proto::caller::CompletionRequest;

/// States what a relay is to do.
#[derive(Debug)]
pub(crate) struct Job {
    /// The caller's id of the request.
    pub(crate) request: RequestId,
    /// What the router is told.
    pub(crate) route: RouteRequest,
    /// What the engine is sent.
    pub(crate) body: CompletionRequest,
    /// Identifies the request if it crashes engines.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the caller asked for a chat completion.
    pub(crate) chat: bool,
    /// The position to resume at.
    pub(crate) resume: Option<ResumeHandle>,
}
