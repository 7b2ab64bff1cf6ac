//! Migration of a running generation to another engine.
//!
//! The KV cache is copied while the generation runs; a last, short copy stops the generation. The
//! stream of the source then ends, and the relay resumes at the destination.

pub(crate) mod copy_calls;

use crate::call::Call;
use crate::clock;
use crate::pool::{self, Purpose};
use crate::runtime::{sleep, spawn};
use crate::state::{ExtraPermit, Gateway, lock};
use almondcroft_core::gateway::{Choice, ExtraSend, Fleet};
use almondcroft_core::{RequestId, Timestamp};
use async_channel::{Receiver, Sender, bounded};
use copy_calls::{COPY_TIMEOUT, CopyCalls, CopyResponse, StopResult};
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Maximum number of destinations that are tried.
///
/// Another one is tried only if the previous one had no room or none was available.
const MAX_ATTEMPTS: u32 = 16;

/// Time from the start of a migration during which destinations are tried.
const ATTEMPT_WINDOW: Duration = Duration::from_millis(1_600);

/// Delay before the next attempt if there is no destination; requests that end in the meantime free
/// capacity.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Maximum duration of a copy that did not queue behind others on the link.
const UNQUEUED_COPY_TIME: Duration = Duration::from_millis(70);

/// Time from the start of a migration by which the source is stopped, however busy its link is.
///
/// Targets announce a shutdown at least 1.5 s ahead.
const STOP_DEADLINE: Duration = Duration::from_millis(1_100);

/// Time, beside the longest pause that the route permits, for a target that answers copy calls to send an event of a
/// generation that it runs; without one it has preempted the generation.
const EVENT_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of calls to stop a generation; another one is sent if no response shows whether it has stopped.
const MAX_STOP_CALLS: u32 = 3;

/// The destination of a migrated generation, and the handle of the copy from which it resumes.
///
/// One resumption has been taken from the retry budget.
pub(crate) struct Migrated {
    pub(crate) target: Choice,
    pub(crate) handle: SmolStr,
    pub(crate) permit: Option<ExtraPermit>,
}

/// How a migration ended.
pub(crate) struct MigrationEnd {
    /// Whether the source has stopped the generation.
    pub(crate) has_stopped: bool,
    /// Whether a call to stop the generation was sent that no response has answered, so that it may have stopped, or may
    /// stop later.
    pub(crate) has_unanswered_stop: bool,
    /// The copy to resume from if the source has stopped, or once its stream breaks off.
    pub(crate) copy: Option<Migrated>,
}

impl MigrationEnd {
    /// The generation goes on at its source, and there is no copy of it.
    const FAILED: Self = Self {
        has_stopped: false,
        has_unanswered_stop: false,
        copy: None,
    };

    /// Nothing is known of the source.
    pub(crate) const UNKNOWN: Self = Self {
        has_unanswered_stop: true,
        ..Self::FAILED
    };
}

/// A migration that has not ended.
pub(crate) struct RunningMigration {
    /// Receives its end.
    pub(crate) end: Receiver<MigrationEnd>,
    reason: MigrationReason,
    /// Number of events at its start.
    events_before: u64,
    has_asked_to_stop: Arc<AtomicBool>,
}

impl RunningMigration {
    /// Stops waiting; returns whether the source may have been asked to stop the generation.
    pub(crate) fn abandon(self) -> bool {
        drop(self.end);
        self.has_asked_to_stop.load(Ordering::SeqCst)
    }

    /// Returns whether a stream that ends after a number of events may have been stopped, or cut off by an engine that
    /// leaves or does not work any more.
    pub(crate) fn may_have_cut(&self, events: u64) -> bool {
        self.reason == MigrationReason::Leave
            || events == self.events_before
            || self.has_asked_to_stop.load(Ordering::SeqCst)
    }
}

/// Why a generation is migrated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MigrationReason {
    /// Its target is leaving.
    Leave,
    /// Its target sends no events; it may have preempted the generation.
    Silence,
}

impl MigrationReason {
    /// Returns the form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Leave => "leave",
            Self::Silence => "silence",
        }
    }
}

/// Starts the migration of a generation.
///
/// `events` counts the events that its stream has delivered. The result arrives once the source has stopped or the
/// migration has failed. Returns `None` if the engines do not support migration.
pub(crate) fn start(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    request: &RequestId,
    source: &Choice,
    reason: MigrationReason,
    events: &Arc<AtomicU64>,
) -> Option<RunningMigration> {
    if !copy_calls::are_supported(gateway, call) {
        return None;
    }
    let (sender, receiver) = bounded(1);
    let migration = Migration {
        calls: CopyCalls::new((gateway, call), request, source, reason.as_str()),
        reason,
        events: Arc::clone(events),
        events_before: events.load(Ordering::Relaxed),
        has_asked_to_stop: Arc::default(),
        end: sender,
    };
    let running = RunningMigration {
        end: receiver,
        reason,
        events_before: migration.events_before,
        has_asked_to_stop: Arc::clone(&migration.has_asked_to_stop),
    };
    spawn(async move {
        let end = migration.run().await;
        // The receiver is gone if the stream has ended meanwhile.
        let _ = migration.end.try_send(end);
    });
    Some(running)
}

/// The result of an attempt to migrate a generation to one target.
enum MigrationAttempt {
    /// The source has stopped or may have, or there is a copy to resume from.
    Ended(MigrationEnd),
    /// The destination has no room.
    NoRoom,
    /// The source does not know the generation, is gone or goes on, or the generation could not be resumed.
    Failed,
}

struct Migration {
    calls: CopyCalls,
    reason: MigrationReason,
    events: Arc<AtomicU64>,
    /// Number of events at the start of the migration.
    events_before: u64,
    /// Set before the first call to stop the generation is sent.
    has_asked_to_stop: Arc<AtomicBool>,
    /// Takes the end of the migration; closed once nobody waits for it.
    end: Sender<MigrationEnd>,
}

impl Migration {
    async fn run(&self) -> MigrationEnd {
        let started_at = clock::now();
        self.wait_while(|fleet, now| fleet.copy_wait(&self.calls.request, started_at, now))
            .await;
        for _ in 0..MAX_ATTEMPTS {
            let now = clock::now();
            if now > started_at + ATTEMPT_WINDOW {
                break;
            }
            let target =
                lock(&self.calls.gateway.fleet).choose_migration_target(&self.calls.request, now);
            let Some(target) = target else {
                self.calls.log_copy("ahead", "no-destination", None, now);
                self.release_link();
                sleep(RETRY_DELAY).await;
                continue;
            };
            let backup = lock(&self.calls.gateway.fleet).backup_target(&self.calls.request);
            let mut copied = None;
            let result = self.migrate_to(target, started_at, &mut copied).await;
            if let MigrationAttempt::Ended(end) = result {
                if end.copy.is_none() {
                    lock(&self.calls.gateway.fleet)
                        .set_backup(&self.calls.request, backup.as_ref());
                }
                return end;
            }
            lock(&self.calls.gateway.fleet).set_backup(&self.calls.request, backup.as_ref());
            if let Some(handle) = copied {
                self.calls.free_copy(&handle).await;
            }
            if matches!(result, MigrationAttempt::Failed) {
                break;
            }
        }
        self.release_link();
        MigrationEnd::FAILED
    }

    /// Asks the fleet how long to wait, and waits, until it says not at all.
    async fn wait_while(&self, wait: impl Fn(&Fleet, Timestamp) -> Duration) {
        loop {
            let wait = wait(&lock(&self.calls.gateway.fleet), clock::now());
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }

    /// Leaves the source's link to other generations.
    fn release_link(&self) {
        lock(&self.calls.gateway.fleet).release_link(&self.calls.request);
        self.calls.gateway.request_gossip();
    }

    /// Attempts to migrate the generation to one target.
    ///
    /// The generation stalls during its last copy, which may queue behind other copies on the link.
    /// So it waits until the fleet knows of no other first copies, and new tokens are copied again while
    /// it runs, until a copy does not queue or time is short. `copy_handle` names the copy at the destination.
    async fn migrate_to(
        &self,
        target: Choice,
        started_at: Timestamp,
        copy_handle: &mut Option<SmolStr>,
    ) -> MigrationAttempt {
        lock(&self.calls.gateway.fleet).set_migration_target(&self.calls.request, &target.target);
        self.calls.gateway.request_gossip();
        let resumption = Purpose::Request {
            id: self.calls.call.external_id(),
            run_once: true,
        };
        let service = &self.calls.call.service;
        pool::preconnect(&self.calls.gateway, target.address, service, resumption);
        loop {
            let copy_started_at = clock::now();
            let copied = self.calls.copy(target.address, false).await;
            self.calls
                .log_copy("ahead", copied.outcome(), Some(&target), copy_started_at);
            match copied {
                CopyResponse::Answered(200, body) => {
                    self.release_link();
                    *copy_handle = self
                        .calls
                        .gateway
                        .dialect
                        .read_copy_handle(&body)
                        .or(copy_handle.take());
                }
                CopyResponse::Answered(503 | 409, _) => return self.record_no_room(&target),
                _ => return MigrationAttempt::Failed,
            }
            let elapsed = clock::now().saturating_sub(copy_started_at);
            self.wait_while(|fleet, now| fleet.stop_wait(&self.calls.request, started_at, now))
                .await;
            let is_last =
                elapsed < UNQUEUED_COPY_TIME || clock::now() + elapsed > started_at + STOP_DEADLINE;
            if is_last || self.has_resumed() {
                break;
            }
        }
        let stop_started_at = clock::now();
        let permit = match self.prepare_stop(started_at).await {
            Ok(permit) => permit,
            Err(reason) => {
                self.calls
                    .log_copy("kept", reason, Some(&target), stop_started_at);
                return MigrationAttempt::Failed;
            }
        };
        let (result, has_unanswered_stop) = self.stop_source(&target).await;
        let has_stopped = matches!(result, StopResult::Stopped(_));
        let handle = match result {
            StopResult::Stopped(handle) => Some(handle),
            StopResult::Unknown | StopResult::Unreached => copy_handle.take(),
            StopResult::Busy => return self.record_no_room(&target),
            StopResult::NoRun => return MigrationAttempt::Failed,
        };
        let copy = handle.map(|handle| Migrated {
            target,
            handle,
            permit: Some(permit),
        });
        MigrationAttempt::Ended(MigrationEnd {
            has_stopped,
            has_unanswered_stop,
            copy,
        })
    }

    /// Asks the source to stop the generation and to copy the rest, until a response shows whether it has; also returns
    /// whether one of the calls was not answered.
    ///
    /// The source closes the stream of a generation that it stops in the same way as that of one that has ended. So a
    /// call that it may have received counts until a response shows that it has stopped; a refusal of a later call does
    /// not show that the first one had no effect.
    async fn stop_source(&self, target: &Choice) -> (StopResult, bool) {
        let (first_sent_at, mut is_unanswered) = (clock::now(), false);
        for _ in 0..MAX_STOP_CALLS {
            // Set before the check, so that a relay that stops waiting sees each call that is sent afterwards.
            self.has_asked_to_stop.store(true, Ordering::SeqCst);
            if self.end.is_closed() {
                // The stream has ended, and the generation may go on at the source by another way.
                return (StopResult::NoRun, is_unanswered);
            }
            let sent_at = clock::now();
            let response = self.calls.copy(target.address, true).await;
            self.calls
                .log_copy("last", response.outcome(), Some(target), sent_at);
            let is_busy = matches!(response, CopyResponse::Answered(409, _));
            match self.calls.read_stop(&response) {
                StopResult::Unknown => is_unanswered = true,
                StopResult::NoRun if is_unanswered => break,
                result if !is_unanswered || matches!(result, StopResult::Stopped(_)) => {
                    return (result, is_unanswered);
                }
                _ => {}
            }
            if clock::now() > first_sent_at + COPY_TIMEOUT {
                break;
            }
            if is_busy {
                // It may be busy with the first call.
                sleep(RETRY_DELAY).await;
            }
        }
        (StopResult::Unknown, is_unanswered)
    }

    /// Returns whether a generation that is migrated for a silence has sent events since.
    ///
    /// One whose target is leaving is migrated all the same.
    fn has_resumed(&self) -> bool {
        self.reason == MigrationReason::Silence
            && !lock(&self.calls.gateway.fleet).is_leaving(&self.calls.source.target)
            && self.events.load(Ordering::Relaxed) != self.events_before
    }

    /// Takes the resumption of the generation from the retry budget, before it is stopped.
    ///
    /// Returns why it must go on at its source: a generation that was stopped and may not be resumed is lost.
    async fn prepare_stop(&self, started_at: Timestamp) -> Result<ExtraPermit, &'static str> {
        if self.reason == MigrationReason::Silence {
            let permitted_pause = self.calls.call.route.gap_objective.unwrap_or_default();
            sleep(permitted_pause + EVENT_MARGIN).await;
        }
        if self.has_resumed() {
            return Err("resumed-by-itself");
        }
        loop {
            let now = clock::now();
            let request = self.calls.call.external_id();
            let service = &self.calls.call.service;
            let taken = self
                .calls
                .gateway
                .take_retry(ExtraSend::Resumption, service, request);
            if let Some(permit) = taken.await {
                return Ok(permit);
            }
            if self.reason == MigrationReason::Silence || now > started_at + STOP_DEADLINE {
                return Err("no-budget");
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn record_no_room(&self, target: &Choice) -> MigrationAttempt {
        lock(&self.calls.gateway.fleet).record_refusal(&target.target, clock::now());
        MigrationAttempt::NoRoom
    }
}
