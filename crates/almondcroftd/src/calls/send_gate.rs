//! Decides whether a call is sent before the daemon aborts it.

use almondcroft_core::Verdict;
use std::sync::{Mutex, PoisonError};

/// Makes sure that a call that is reported as not run is not sent afterwards.
#[derive(Debug, Default)]
pub(super) struct SendGate(Mutex<State>);

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The call's key is not claimed yet, and an earlier attempt may have run.
    #[default]
    Unclaimed,
    /// The call has not been sent.
    Unsent,
    /// The call may have been sent.
    Sent,
    /// The call is aborted and must not be sent.
    Closed,
}

impl SendGate {
    /// Records that no earlier attempt with the call's key has run.
    pub(super) fn open(&self) {
        self.change(|state| match state {
            State::Unclaimed => State::Unsent,
            other => other,
        });
    }

    /// Records that the call is about to be sent; returns whether it may be.
    pub(super) fn pass(&self) -> bool {
        let before = self.change(|state| match state {
            State::Closed => State::Closed,
            _ => State::Sent,
        });
        before != State::Closed
    }

    /// Aborts the call; returns whether it or an earlier attempt may have run.
    pub(super) fn close(&self) -> Verdict {
        match self.change(|_| State::Closed) {
            State::Unsent => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Changes the state and returns the one before.
    fn change(&self, change: impl FnOnce(State) -> State) -> State {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let before = *state;
        *state = change(before);
        before
    }
}
