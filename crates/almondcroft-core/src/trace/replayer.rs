//! Replay of a trace through the router.

use super::{TraceEvent, TraceHeader, TraceLine};
use crate::Timestamp;
use crate::router::{Decision, Router};

/// A trace line whose replay led to other decisions than recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Line number; the header is line 1.
    pub line: usize,
    /// Decisions that were recorded.
    pub recorded: Vec<Decision>,
    /// Decisions of the replay.
    pub replayed: Vec<Decision>,
}

/// Replays the events of a trace through a router.
#[derive(Debug)]
pub struct Replayer {
    router: Router,
    line: usize,
}

impl Replayer {
    /// Creates a replayer from the header of a trace.
    #[must_use]
    pub fn new(header: &TraceHeader) -> Self {
        Self {
            router: Router::new(header.options, header.seed),
            line: 1,
        }
    }

    /// Applies one event to the router and returns its decisions.
    pub fn apply(router: &mut Router, event: TraceEvent, now: Timestamp) -> Vec<Decision> {
        match event {
            TraceEvent::Targets { targets } => {
                router.set_targets(targets);
                router.tick(now)
            }
            TraceEvent::Objective { objective } => {
                router.set_objective(objective);
                Vec::new()
            }
            TraceEvent::Vms { vms } => {
                router.set_vm_count(vms);
                Vec::new()
            }
            TraceEvent::Submit { request } => router.submit(request, now),
            TraceEvent::Resubmit { request, failed } => router.resubmit(request, &failed, now),
            TraceEvent::Report { target, report } => {
                router.record_reported_load(&target, report, now)
            }
            TraceEvent::Usable { target, usable } => router.set_usable(&target, usable, now),
            TraceEvent::Progress { request, produced } => {
                router.record_progress(&request, produced, now);
                Vec::new()
            }
            TraceEvent::Finished { request, complete } => {
                router.record_finish(&request, complete, now)
            }
            TraceEvent::Tick => router.tick(now),
        }
    }

    /// Replays one line and returns its difference from the recorded decisions, if any.
    pub fn replay_line(&mut self, line: TraceLine) -> Option<Difference> {
        self.line += 1;
        let replayed = Self::apply(&mut self.router, line.event, line.at);
        if replayed == line.decisions {
            return None;
        }
        Some(Difference {
            line: self.line,
            recorded: line.decisions,
            replayed,
        })
    }
}
