//! Relays a stream of events from a target to its caller, across migrations between targets.

mod restart;
mod resume;

use crate::call::Call;
use crate::caller::ResponseWriter;
use crate::clock;
use crate::connection::ConnectionError;
use crate::dispatch::RequestLog;
use crate::exchange::Exchange;
use crate::migration::{Migrated, MigrationEnd, RunningMigration};
use crate::run_guard::RunGuard;
use crate::run_stop::RunStops;
use crate::runtime::sleep;
use crate::state::{Gateway, PlacementGuard, lock};
use crate::target_run::TargetRun;
use almondcroft_core::gateway::Choice;
use almondcroft_core::{RequestId, TargetId, Timestamp};
use almondcroft_proto::http1::{EventSplitter, StreamEvent};
use async_channel::Receiver;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of events between two progress reports to the fleet.
const PROGRESS_INTERVAL: u64 = 8;

/// Time without an event after which a target is probed; a preempted generation is silent too.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the remainder of a stream to arrive after its source has stopped.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay after a leave notice before a generation is resumed or migrated.
///
/// Notices of targets that leave together arrive within about 50 ms. Waiting for them avoids a
/// destination that is leaving too.
const LEAVE_DELAY: Duration = Duration::from_millis(60);

/// The next step of a relay.
enum Step {
    /// Bytes were read.
    BytesRead,
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken(ConnectionError),
    /// Nothing arrived for too long.
    Silent,
    /// The target started to leave.
    LeaveNotice,
    /// The delay after the leave notice is over.
    Leave,
    /// A migration has ended.
    MigrationEnded(MigrationEnd),
    /// The deadline, or the time for the remainder of the stream, has passed.
    TimedOut,
}

/// How a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEnd {
    /// The whole stream was sent or queued, with this status.
    Complete(u16),
    /// The caller received a part of the stream, or has left.
    Incomplete,
    /// The stream ended before its first event, for this reason; the caller has received nothing.
    Unstarted(&'static str),
}

/// Relays one stream; each event is forwarded once and in order.
pub(crate) struct Relay<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Arc<Call>,
    /// The place at the target; `None` while another one is sought.
    placement_guard: Option<PlacementGuard>,
    /// Identifies the place to the fleet.
    placement_id: RequestId,
    choice: Choice,
    backup: Option<TargetId>,
    exchange: Exchange,
    run: TargetRun,
    /// Number of targets that ran the request or may have run it.
    run_count: u32,
    /// Targets at which the stream was not complete.
    avoid: Vec<TargetId>,
    /// The runs at targets before.
    stops: RunStops,
    /// The run whose stream is read.
    run_guard: RunGuard,
    splitter: EventSplitter,
    /// Whether the current stream has delivered a whole event.
    has_events: bool,
    buffer: Vec<u8>,
    last_event: u64,
    /// Number of events that arrived.
    events: Arc<AtomicU64>,
    /// Time of the last event, or at which a target that sends none was probed.
    progress_at: Timestamp,
    leave_notice: Receiver<()>,
    /// Time at which to move the generation off the leaving target.
    leave_at: Option<Timestamp>,
    migration: Option<RunningMigration>,
    /// Whether the target started to leave during the migration.
    missed_notice: bool,
    /// The copy to resume from, as the source has stopped.
    migrated: Option<Migrated>,
    /// Whether the target was asked to stop the generation by a call that was not answered.
    may_have_stopped: bool,
    /// A copy to resume from if the stream breaks off.
    copied: Option<Migrated>,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(
        gateway: &'a Arc<Gateway>,
        call: &'a Arc<Call>,
        placement_guard: PlacementGuard,
        choice: Choice,
        backup: Option<TargetId>,
        (exchange, run): (Exchange, TargetRun),
    ) -> Self {
        let leave_notice = gateway.subscribe_leave_notice(&placement_guard.request);
        let run_guard = RunGuard::new((gateway, call), &placement_guard.request, &choice);
        Self {
            gateway,
            call,
            placement_id: placement_guard.request.clone(),
            placement_guard: Some(placement_guard),
            choice,
            backup,
            exchange,
            run,
            run_count: 1,
            avoid: Vec::new(),
            stops: RunStops::default(),
            run_guard,
            splitter: EventSplitter::default(),
            has_events: false,
            buffer: Vec::new(),
            last_event: call.last_event().unwrap_or_default(),
            events: Arc::default(),
            progress_at: clock::now(),
            leave_notice,
            leave_at: None,
            migration: None,
            missed_notice: false,
            migrated: None,
            may_have_stopped: false,
            copied: None,
        }
    }

    /// Sets the targets at which the request ran before, or was not run, and the runs that are being stopped.
    pub(crate) fn after(mut self, run_count: u32, avoid: &[TargetId], stops: &RunStops) -> Self {
        self.stops = stops.clone();
        self.run_count = run_count + 1;
        self.avoid = avoid.to_vec();
        self
    }

    /// Relays the stream to its end.
    pub(crate) async fn run(
        mut self,
        writer: &mut ResponseWriter,
        request_log: &mut RequestLog,
    ) -> RelayEnd {
        if lock(&self.gateway.fleet).is_leaving(&self.choice.target) {
            self.leave_target(request_log).await;
        }
        loop {
            let broken = match self.next_step().await {
                Step::BytesRead => match self.splitter.push(&self.buffer) {
                    Ok(events) => {
                        if !self.send_events(events, writer, request_log).await {
                            request_log.log_end(0, "caller-gone");
                            return RelayEnd::Incomplete;
                        }
                        None
                    }
                    Err(error) => Some(ConnectionError::from(error).kind()),
                },
                Step::Complete => {
                    let rest_bytes = self.splitter.pending().len();
                    request_log.log_close_delimited(&self.exchange.decoder, rest_bytes);
                    let defect = self.end_defect();
                    if defect.is_none() {
                        return self.finish(writer, request_log).await;
                    }
                    defect
                }
                Step::Broken(error) => Some(error.kind()),
                Step::Silent if self.may_have_stopped && self.has_copy() => Some("stopped"),
                Step::Silent => {
                    self.progress_at = clock::now();
                    self.probe_target(request_log).await;
                    None
                }
                Step::LeaveNotice => {
                    self.leave_at = Some(clock::now() + LEAVE_DELAY);
                    None
                }
                Step::Leave => {
                    self.leave_at = None;
                    self.leave_target(request_log).await;
                    None
                }
                Step::MigrationEnded(end) => {
                    self.migration = None;
                    self.record_migration_end(end);
                    None
                }
                Step::TimedOut
                    if self.migrated.is_some() && !self.call.time_left(clock::now()).is_zero() =>
                {
                    Some("stopped")
                }
                Step::TimedOut => {
                    // The target ends the run at the deadline.
                    self.run_guard.disarm();
                    if !writer.has_started() {
                        return RelayEnd::Unstarted("timeout");
                    }
                    request_log.log_end(0, "timeout");
                    return RelayEnd::Incomplete;
                }
            };
            if let Some(reason) = broken
                && !self.recover_stream(request_log, reason).await
            {
                if !writer.has_started() {
                    return RelayEnd::Unstarted(reason);
                }
                if self.restart_stream(request_log).await {
                    continue;
                }
                self.gateway.metrics.count_migration("lost");
                request_log.log_end(0, "broken-off");
                return RelayEnd::Incomplete;
            }
        }
    }

    /// Returns why the end of the stream is not the end of the generation; `None` if it is.
    ///
    /// The end of a connection proves less than a length or a last chunk: an engine that crashes or
    /// stops a generation closes its connections too.
    fn end_defect(&self) -> Option<&'static str> {
        if self.splitter.is_inside_event() {
            Some("partial-event")
        } else if !self.is_close_delimited() {
            None
        } else if self.may_have_been_cut() {
            Some("ended")
        } else if !self.has_events {
            Some("empty")
        } else {
            None
        }
    }

    /// Returns whether the target may have stopped or cut off the generation, so that the end of a connection is no end.
    fn may_have_been_cut(&self) -> bool {
        let events = self.events.load(Ordering::Relaxed);
        let migration = self.migration.as_ref();
        self.may_have_stopped
            || self.migrated.is_some()
            || self.missed_notice
            || migration.is_some_and(|migration| migration.may_have_cut(events))
    }

    /// Returns whether a migration is running or has stopped the source.
    const fn is_migrating(&self) -> bool {
        self.migration.is_some() || self.migrated.is_some()
    }

    async fn next_step(&mut self) -> Step {
        let time_left = self.call.time_left(clock::now());
        if time_left.is_zero() {
            return Step::TimedOut;
        }
        self.buffer.clear();
        let source_stopped = self.migrated.is_some();
        // Bytes that complete no event are no progress.
        let silent_for = clock::now().saturating_sub(self.progress_at);
        let silence_left = SILENCE_TIMEOUT.saturating_sub(silent_for);
        let detects_silence = !self.is_migrating() && SILENCE_TIMEOUT < time_left;
        let read = async {
            match self.exchange.read(&mut self.buffer).await {
                Ok(true) => Step::BytesRead,
                Ok(false) if self.exchange.is_past_end(self.call.time_left(clock::now())) => {
                    Step::TimedOut
                }
                Ok(false) => Step::Complete,
                Err(error) => Step::Broken(error),
            }
        };
        let leave = async {
            if let Some(at) = self.leave_at {
                sleep(at.saturating_sub(clock::now())).await;
                return Step::Leave;
            }
            match self.leave_notice.recv().await {
                Ok(()) => Step::LeaveNotice,
                Err(_) => std::future::pending().await,
            }
        };
        let migration_end = async {
            match &self.migration {
                Some(migration) => {
                    let end = migration.end.recv().await;
                    Step::MigrationEnded(end.unwrap_or(MigrationEnd::UNKNOWN))
                }
                None => std::future::pending().await,
            }
        };
        let timeout = async {
            if source_stopped {
                sleep(REMAINDER_TIMEOUT.min(time_left)).await;
                Step::TimedOut
            } else if detects_silence {
                sleep(silence_left).await;
                Step::Silent
            } else {
                sleep(time_left).await;
                Step::TimedOut
            }
        };
        let signals = futures_lite::future::or(leave, migration_end);
        futures_lite::future::or(read, futures_lite::future::or(signals, timeout)).await
    }

    /// Forwards the complete events; returns whether the caller is still connected.
    async fn send_events(
        &mut self,
        events: Vec<StreamEvent>,
        writer: &mut ResponseWriter,
        request_log: &mut RequestLog,
    ) -> bool {
        let mut bytes = Vec::new();
        for event in events {
            self.has_events = true;
            self.events.fetch_add(1, Ordering::Relaxed);
            self.progress_at = clock::now();
            self.run.record_start();
            if let Some(id) = event.id {
                if id <= self.last_event {
                    continue;
                }
                self.last_event = id;
                request_log.event_count += 1;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if bytes.is_empty() {
            return true;
        }
        request_log.record_progress();
        if request_log.event_count.is_multiple_of(PROGRESS_INTERVAL) {
            self.report_progress(request_log.event_count);
        }
        let sent = if writer.has_started() {
            writer.send_part(&bytes).await.is_ok()
        } else {
            writer
                .start_response(&self.exchange.head, bytes)
                .await
                .is_ok()
        };
        // The caller may have been slow to read.
        self.progress_at = clock::now();
        sent
    }

    fn report_progress(&self, event_count: u64) {
        let stride = self.gateway.config().map_or(1, |config| {
            let engine = config.pools.get(&self.call.service);
            let engine = engine.and_then(|pool| pool.engine.as_ref());
            engine.map_or(1, |engine| engine.event_tokens)
        });
        let tokens = u32::try_from(event_count).unwrap_or(u32::MAX);
        lock(&self.gateway.fleet).record_progress(
            &self.placement_id,
            tokens.saturating_mul(stride),
            clock::now(),
        );
    }

    fn is_close_delimited(&self) -> bool {
        self.exchange.decoder.is_close_delimited()
    }

    async fn finish(
        mut self,
        writer: &mut ResponseWriter,
        request_log: &mut RequestLog,
    ) -> RelayEnd {
        self.run_guard.disarm();
        let remainder = self.splitter.pending().to_vec();
        let started = writer.has_started();
        let sent = if started {
            remainder.is_empty() || writer.send_part(&remainder).await.is_ok()
        } else {
            writer
                .start_response(&self.exchange.head, remainder)
                .await
                .is_ok()
        };
        let complete = sent && writer.finish_response().await.is_ok();
        self.run.record_completion();
        let now = clock::now();
        lock(&self.gateway.fleet).record_success(
            &self.choice.target,
            now.saturating_sub(self.call.received_at),
        );
        lock(&self.gateway.quarantine).record_survival(self.call.fingerprint, clock::now());
        let status = self.exchange.head.status;
        self.exchange.finish(self.gateway);
        if complete {
            RelayEnd::Complete(status)
        } else {
            request_log.log_end(status, "caller-gone");
            RelayEnd::Incomplete
        }
    }
}
