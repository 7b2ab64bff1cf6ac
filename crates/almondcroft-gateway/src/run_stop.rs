//! Ends runs of which nothing is read any more, at engines that work on without a connection.
//!
//! Most engines drop a request when its connection closes, but not all do. A generation that goes on elsewhere must not run
//! at two engines, so the engine before is also asked to stop it, by the call that stops it for a migration, until it
//! says that the run is over.

use crate::call::Call;
use crate::clock;
use crate::migration::copy_calls::{self, CopyCalls, CopyResponse, StopResult};
use crate::runtime::{sleep, spawn, within};
use crate::state::{Gateway, lock};
use almondcroft_core::gateway::{Choice, StopAnswer, StopAttempts, StopStep};
use almondcroft_core::{RequestId, TargetId};
use async_channel::{Receiver, Sender, bounded};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time to wait for the first response to the calls before a generation goes on elsewhere.
///
/// A sound engine answers sooner, or has at least got the call by then; one that is not reached may take longer.
pub(crate) const STOP_WAIT: Duration = Duration::from_millis(150);

/// What the calls to stop a run have shown so far.
#[derive(Debug, Default)]
struct StopState {
    /// Whether no further call is to be sent.
    is_cancelled: bool,
    /// Whether a call is under way or was not answered.
    may_take_effect: bool,
    end: Option<StopEnd>,
    /// Whether the copy that comes with the stop is kept.
    keeps_copy: bool,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StopEnd {
    /// The engine has stopped it; the handle of the copy, and where that is.
    Stopped(SmolStr, Choice),
    /// The engine does not run it any more.
    NoRun,
}

/// A run that is being stopped.
pub(crate) struct RunStop {
    calls: Arc<CopyCalls>,
    state: Arc<Mutex<StopState>>,
    /// Gets a message with the first answer; closed once no further call is sent.
    answered: Receiver<()>,
}

impl RunStop {
    /// Asks an engine to stop a run.
    ///
    /// `has_begun` tells that the engine has answered the request, so that it must know the run. The copy that comes with
    /// the stop is freed unless `keeps_copy` is set. Returns `None` if the engines have no such call, or there is no other
    /// one that the call could name.
    pub(crate) fn start(
        (gateway, call): (&Arc<Gateway>, &Arc<Call>),
        request: &RequestId,
        source: &Choice,
        has_begun: bool,
        keeps_copy: bool,
    ) -> Option<Self> {
        if !copy_calls::are_supported(gateway, call) {
            return None;
        }
        let regions = gateway.allowed_regions(call);
        let to = {
            let fleet = lock(&gateway.fleet);
            // Only a copy that is kept needs room.
            let with_room = keeps_copy
                .then(|| fleet.choose_migration_target(request, clock::now()))
                .flatten();
            with_room.or_else(|| {
                fleet.choose_stop_destination(&call.service, &source.target, &regions)
            })?
        };
        let calls = Arc::new(CopyCalls::new((gateway, call), request, source, "stop"));
        let state = StopState {
            keeps_copy,
            ..StopState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let (sender, answered) = bounded(1);
        let attempts = StopAttempts::new(has_begun, call.deadline(), clock::now());
        spawn(repeat_calls(
            Arc::clone(&calls),
            to,
            attempts,
            Arc::clone(&state),
            sender,
        ));
        Some(Self {
            calls,
            state,
            answered,
        })
    }

    fn target(&self) -> &TargetId {
        &self.calls.source.target
    }

    /// Waits for the first answer, for a time.
    pub(crate) async fn wait_answered(&self, time: Duration) {
        // A closed channel means that no further call is sent.
        let _ = within(time, self.answered.recv()).await;
    }

    /// Returns how the run ended, if the engine has said so.
    pub(crate) fn end(&self) -> Option<StopEnd> {
        lock(&self.state).end.clone()
    }

    /// Returns whether a call was sent, so that it may take effect.
    pub(crate) fn was_sent(&self) -> bool {
        self.calls.was_sent()
    }

    /// Frees the copy that comes with the stop, now or when it is there.
    fn free_copy(&self) {
        let mut state = lock(&self.state);
        let kept = std::mem::take(&mut state.keeps_copy);
        let Some(StopEnd::Stopped(handle, _)) = state.end.clone().filter(|_| kept) else {
            return;
        };
        drop(state);
        let calls = Arc::clone(&self.calls);
        spawn(async move { calls.free_copy(&handle).await });
    }

    /// Sends no further call; returns whether one may still take effect.
    pub(crate) fn cancel(&self) -> bool {
        let mut state = lock(&self.state);
        state.is_cancelled = true;
        state.may_take_effect
    }
}

async fn repeat_calls(
    calls: Arc<CopyCalls>,
    to: Choice,
    mut attempts: StopAttempts,
    state: Arc<Mutex<StopState>>,
    answered: Sender<()>,
) {
    loop {
        {
            let mut state = lock(&state);
            if state.is_cancelled {
                return;
            }
            // Set before the call, so that whoever cancels it knows that it may take effect.
            state.may_take_effect = true;
        }
        let sent_at = clock::now();
        let response = calls.copy(to.address, true).await;
        calls.log_copy("stop", response.outcome(), Some(&to), sent_at);
        let result = calls.read_stop(&response);
        let step = attempts.record(answer(&response, &result), clock::now());
        let copy = {
            let mut state = lock(&state);
            state.may_take_effect = attempts.is_unanswered();
            let (end, copy) = match result {
                StopResult::Stopped(handle) => {
                    let end = StopEnd::Stopped(handle.clone(), to.clone());
                    (Some(end), Some(handle))
                }
                _ if step == StopStep::Over => (Some(StopEnd::NoRun), None),
                _ => (None, None),
            };
            state.end = end;
            copy.filter(|_| !state.keeps_copy)
        };
        if !matches!(
            response,
            CopyResponse::NotSent { is_refused: false } | CopyResponse::Lost
        ) {
            // If the channel is full or closed, nobody waits for it.
            let _ = answered.try_send(());
        }
        if let Some(handle) = copy {
            calls.free_copy(&handle).await;
        }
        match step {
            StopStep::Over => return,
            StopStep::GiveUp => {
                log::info!(event = "run-not-stopped", request = calls.call.external_id(),
                    target_id = calls.source.target.as_str(); "");
                return;
            }
            StopStep::Repeat(delay) => sleep(delay).await,
        }
    }
}

/// Reads what a call has shown.
const fn answer(response: &CopyResponse, result: &StopResult) -> StopAnswer {
    match (response, result) {
        (CopyResponse::NotSent { is_refused: true }, _) => StopAnswer::NoProcess,
        (CopyResponse::NotSent { .. }, _) => StopAnswer::NotSent,
        (CopyResponse::Lost, _) => StopAnswer::Lost,
        (_, StopResult::Stopped(_)) => StopAnswer::Stopped,
        (_, StopResult::NoRun) => StopAnswer::NoRun,
        _ => StopAnswer::Unclear,
    }
}

/// The runs of one request that are being stopped or were stopped.
#[derive(Clone, Default)]
pub(crate) struct RunStops(Arc<Mutex<Vec<RunStop>>>);

impl RunStops {
    /// Stops the run of a request at a target, so that the request can go on elsewhere.
    ///
    /// Waits for a while until the target has answered. The calls go on after that, until the run is over.
    pub(crate) async fn stop(
        &self,
        run: (&Arc<Gateway>, &Arc<Call>),
        request: &RequestId,
        source: &Choice,
        has_begun: bool,
    ) {
        let is_there = |stop: &RunStop| *stop.target() == source.target;
        if lock(&self.0).iter().any(is_there) {
            return;
        }
        let Some(stop) = RunStop::start(run, request, source, has_begun, false) else {
            return;
        };
        stop.wait_answered(STOP_WAIT).await;
        lock(&self.0).push(stop);
    }

    /// Goes on to stop a run at a target, and frees the copy that comes with it.
    pub(crate) fn keep(&self, stop: RunStop) {
        stop.free_copy();
        lock(&self.0).push(stop);
    }

    /// Ends the calls that stop a run at a target, as the request is about to run there again; returns whether one may
    /// still take effect.
    pub(crate) fn cancel(&self, target: &TargetId) -> bool {
        let mut may_stop = false;
        lock(&self.0).retain(|stop| {
            let is_there = stop.target() == target;
            if is_there {
                may_stop |= stop.cancel();
            }
            !is_there
        });
        may_stop
    }
}
