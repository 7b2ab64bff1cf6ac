//! Services that share targets.

use super::{Placement, placement};
use crate::app::lock;
use crate::recorder::Recorder;
use almondcroft_core::router::{Router, RouterOptions};
use almondcroft_core::trace::{Replayer, TraceEvent, TraceLine};
use almondcroft_core::{RequestId, Timestamp};
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Holds one router and the requests that wait for its decisions.
pub(crate) struct Pool {
    state: Mutex<State>,
    recorder: Option<Arc<Recorder>>,
}

struct State {
    router: Router,
    waiting: HashMap<RequestId, Sender<Placement>>,
}

impl Pool {
    pub(crate) fn new(options: RouterOptions, seed: u64, recorder: Option<Arc<Recorder>>) -> Self {
        Self {
            state: Mutex::new(State {
                router: Router::new(options, seed),
                waiting: HashMap::new(),
            }),
            recorder,
        }
    }

    /// Returns the receiver of a request's placement.
    pub(crate) fn wait_for(&self, request: &RequestId) -> Receiver<Placement> {
        let (sender, receiver) = async_channel::bounded(1);
        lock(&self.state).waiting.insert(request.clone(), sender);
        receiver
    }

    /// Drops the receiver of a request that ended.
    pub(crate) fn forget(&self, request: &RequestId) {
        lock(&self.state).waiting.remove(request);
    }

    /// Hands an event to the router and its decisions to those who wait.
    pub(crate) fn apply(&self, event: TraceEvent, now: Timestamp) {
        let recorded = self.recorder.as_ref().map(|_| event.clone());
        let mut state = lock(&self.state);
        let decisions = Replayer::apply(&mut state.router, event, now);
        if let (Some(recorder), Some(event)) = (&self.recorder, recorded) {
            recorder.record(&TraceLine {
                at: now,
                event,
                decisions: decisions.clone(),
            });
        }
        for decision in decisions {
            let (request, placed) = placement(decision);
            if let Some(sender) = state.waiting.remove(&request) {
                let _ = sender.try_send(placed);
            }
        }
    }

    pub(crate) fn queued(&self) -> usize {
        lock(&self.state).router.queued()
    }
}
