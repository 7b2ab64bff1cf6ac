//! Ends the run of a stream that nobody reads any more.

use crate::call::Call;
use crate::run_stop::RunStop;
use crate::state::Gateway;
use almondcroft_core::RequestId;
use almondcroft_core::gateway::Choice;
use std::sync::Arc;

/// Stops the run of a stream when it is dropped, as the caller of the stream has left then or the stream is lost.
pub(crate) struct RunGuard {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    request: RequestId,
    source: Option<Choice>,
}

impl RunGuard {
    pub(crate) fn new(
        (gateway, call): (&Arc<Gateway>, &Arc<Call>),
        request: &RequestId,
        source: &Choice,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            request: request.clone(),
            source: Some(source.clone()),
        }
    }

    /// Records that the stream goes on at a target.
    pub(crate) fn follow(&mut self, source: &Choice) {
        self.source = Some(source.clone());
    }

    /// Records that the run is over, or is being stopped already.
    pub(crate) fn disarm(&mut self) {
        self.source = None;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(source) = self.source.take() {
            let run = (&self.gateway, &self.call);
            // The calls go on by themselves.
            drop(RunStop::start(run, &self.request, &source, true, false));
        }
    }
}
