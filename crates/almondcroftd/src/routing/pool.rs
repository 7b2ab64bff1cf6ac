//! A pool of targets and the services that share them.

use super::{Placement, split_decision};
use crate::app::lock;
use crate::recorder::Recorder;
use almondcroft_core::router::{Router, RouterOptions};
use almondcroft_core::trace::{Replayer, TraceEvent, TraceLine};
use almondcroft_core::{RequestId, Timestamp};
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Holds one router and the requests waiting for its decisions.
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

    /// Registers a request and returns the receiver of its placement.
    pub(crate) fn register(&self, request: &RequestId) -> Receiver<Placement> {
        let (sender, receiver) = async_channel::bounded(1);
        lock(&self.state).waiting.insert(request.clone(), sender);
        receiver
    }

    /// Removes the sender of a request that ended.
    pub(crate) fn unregister(&self, request: &RequestId) {
        lock(&self.state).waiting.remove(request);
    }

    /// Applies an event to the router and sends its decisions to the waiting requests.
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
            let (request, placed) = split_decision(decision);
            if let Some(sender) = state.waiting.remove(&request) {
                let _ = sender.try_send(placed);
            }
        }
    }

    pub(crate) fn queued(&self) -> usize {
        lock(&self.state).router.queued()
    }
}
