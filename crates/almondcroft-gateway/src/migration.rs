//! Migration of a running generation to another engine.
//!
//! The KV cache is copied while the generation runs; a last, short copy stops the generation. The
//! stream of the source then ends, and the relay resumes at the destination.

use crate::adapter::ControlCall;
use crate::call::Call;
use crate::clock;
use crate::exchange::{CONNECT_TIMEOUT, target_round_trip};
use crate::logging::millis;
use crate::pool::{self, Purpose};
use crate::runtime::{sleep, spawn, within};
use crate::state::{ExtraPermit, Gateway, lock};
use crate::target_connect::Destination;
use almondcroft_core::gateway::{Choice, ExtraSend, Fleet};
use almondcroft_core::{RequestId, Timestamp};
use async_channel::{Receiver, bounded};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout of one copy; the copies of several generations queue on a link.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);

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

/// Timeout of the call that frees a copy.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response to a copy call, in bytes.
const MAX_RESPONSE_BODY: usize = 64 * 1024;

/// The destination of a migrated generation, and the handle of the copy from which it resumes.
///
/// One resumption has been taken from the retry budget.
pub(crate) struct Migrated {
    pub(crate) target: Choice,
    pub(crate) handle: SmolStr,
    /// Whether the source has stopped; unknown if the response to the last copy was lost.
    pub(crate) has_stopped: bool,
    pub(crate) permit: Option<ExtraPermit>,
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
) -> Option<Receiver<Option<Migrated>>> {
    let config = gateway.config()?;
    let engine = config.pools.get(&call.service)?.engine.as_ref()?;
    if !engine.supports_migration {
        return None;
    }
    let (sender, receiver) = bounded(1);
    let migration = Migration {
        gateway: Arc::clone(gateway),
        call: Arc::clone(call),
        request: request.clone(),
        source: source.clone(),
        reason,
        events: Arc::clone(events),
        events_before: events.load(Ordering::Relaxed),
    };
    spawn(async move {
        let result = migration.run().await;
        // The receiver is gone if the stream has ended meanwhile.
        let _ = sender.try_send(result);
    });
    Some(receiver)
}

/// The result of an attempt to migrate a generation to one target.
enum MigrationAttempt {
    /// The source has stopped, or may have.
    Migrated(Migrated),
    /// The destination has no room.
    NoRoom,
    /// The source does not know the generation, is gone or goes on, or the generation could not be resumed.
    Failed,
}

struct Migration {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    request: RequestId,
    source: Choice,
    reason: MigrationReason,
    events: Arc<AtomicU64>,
    /// Number of events at the start of the migration.
    events_before: u64,
}

impl Migration {
    async fn run(&self) -> Option<Migrated> {
        let started_at = clock::now();
        self.wait_while(|fleet, now| fleet.copy_wait(&self.request, started_at, now))
            .await;
        for _ in 0..MAX_ATTEMPTS {
            let now = clock::now();
            if now > started_at + ATTEMPT_WINDOW {
                break;
            }
            let target = lock(&self.gateway.fleet).choose_migration_target(&self.request, now);
            let Some(target) = target else {
                self.log_copy("ahead", "no-destination", None, now);
                self.release_link();
                sleep(RETRY_DELAY).await;
                continue;
            };
            let backup = lock(&self.gateway.fleet).backup_target(&self.request);
            let mut copied = None;
            let result = self.migrate_to(target, started_at, &mut copied).await;
            if let MigrationAttempt::Migrated(migrated) = result {
                return Some(migrated);
            }
            lock(&self.gateway.fleet).set_backup(&self.request, backup.as_ref());
            if let Some(handle) = copied {
                self.free_copy(&handle).await;
            }
            if matches!(result, MigrationAttempt::Failed) {
                break;
            }
        }
        self.release_link();
        None
    }

    /// Asks the fleet how long to wait, and waits, until it says not at all.
    async fn wait_while(&self, wait: impl Fn(&Fleet, Timestamp) -> Duration) {
        loop {
            let wait = wait(&lock(&self.gateway.fleet), clock::now());
            if wait.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }

    /// Leaves the source's link to other generations.
    fn release_link(&self) {
        lock(&self.gateway.fleet).release_link(&self.request);
        self.gateway.request_gossip();
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
        lock(&self.gateway.fleet).set_migration_target(&self.request, &target.target);
        self.gateway.request_gossip();
        let resumption = Purpose::Request {
            id: self.call.external_id(),
            run_once: true,
        };
        let service = &self.call.service;
        pool::preconnect(&self.gateway, target.address, service, resumption);
        loop {
            let copy_started_at = clock::now();
            let copied = self.copy(target.address, false).await;
            self.log_copy(
                "ahead",
                copy_outcome(copied.as_ref()),
                Some(&target),
                copy_started_at,
            );
            match copied {
                Some((200, body)) => {
                    self.release_link();
                    *copy_handle = self
                        .gateway
                        .dialect
                        .read_copy_handle(&body)
                        .or(copy_handle.take());
                }
                Some((503 | 409, _)) => return self.record_no_room(&target),
                Some(_) | None => return MigrationAttempt::Failed,
            }
            let elapsed = clock::now().saturating_sub(copy_started_at);
            self.wait_while(|fleet, now| fleet.stop_wait(&self.request, started_at, now))
                .await;
            let is_last =
                elapsed < UNQUEUED_COPY_TIME || clock::now() + elapsed > started_at + STOP_DEADLINE;
            if is_last || self.has_resumed() {
                break;
            }
        }
        let stop_started_at = clock::now();
        let permit = match self.prepare_stop(started_at).await {
            Ok(permit) => Some(permit),
            Err(reason) => {
                self.log_copy("kept", reason, Some(&target), stop_started_at);
                return MigrationAttempt::Failed;
            }
        };
        let stop_started_at = clock::now();
        let stopped = self.copy(target.address, true).await;
        self.log_copy(
            "last",
            copy_outcome(stopped.as_ref()),
            Some(&target),
            stop_started_at,
        );
        let Some((status, body)) = stopped else {
            return copy_handle
                .take()
                .map_or(MigrationAttempt::Failed, |handle| {
                    MigrationAttempt::Migrated(Migrated {
                        target,
                        handle,
                        has_stopped: false,
                        permit,
                    })
                });
        };
        match (status, self.gateway.dialect.read_copy_handle(&body)) {
            (200 | 503, Some(handle)) => MigrationAttempt::Migrated(Migrated {
                target,
                handle,
                has_stopped: true,
                permit,
            }),
            // Without a handle the generation was not stopped.
            (503 | 409, None) => self.record_no_room(&target),
            _ => MigrationAttempt::Failed,
        }
    }

    /// Returns whether a generation that is migrated for a silence has sent events since.
    ///
    /// One whose target is leaving is migrated all the same.
    fn has_resumed(&self) -> bool {
        self.reason == MigrationReason::Silence
            && !lock(&self.gateway.fleet).is_leaving(&self.source.target)
            && self.events.load(Ordering::Relaxed) != self.events_before
    }

    /// Takes the resumption of the generation from the retry budget, before it is stopped.
    ///
    /// Returns why it must go on at its source: a generation that was stopped and may not be resumed is lost.
    async fn prepare_stop(&self, started_at: Timestamp) -> Result<ExtraPermit, &'static str> {
        if self.reason == MigrationReason::Silence {
            let permitted_pause = self.call.route.gap_objective.unwrap_or_default();
            sleep(permitted_pause + EVENT_MARGIN).await;
        }
        if self.has_resumed() {
            return Err("resumed-by-itself");
        }
        loop {
            let now = clock::now();
            let request = self.call.external_id();
            let service = &self.call.service;
            let taken = self
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

    /// Frees the copy of a generation that goes on at its source.
    async fn free_copy(&self, handle: &str) {
        let freed_at = clock::now();
        let call = self.gateway.dialect.free_copy_call(handle);
        let response = within(FREE_TIMEOUT, self.send_copy_call(&call, true)).await;
        let outcome = match response.flatten() {
            Some((200..300, _)) => "freed",
            Some((404, _)) => "unknown",
            Some(_) => "failed",
            None => "unreachable",
        };
        self.log_copy("free", outcome, None, freed_at);
    }

    fn resident_tokens(&self) -> u32 {
        lock(&self.gateway.fleet).resident_tokens(&self.request)
    }

    fn record_no_room(&self, target: &Choice) -> MigrationAttempt {
        lock(&self.gateway.fleet).record_refusal(&target.target, clock::now());
        MigrationAttempt::NoRoom
    }

    async fn copy(&self, to: SocketAddr, last: bool) -> Option<(u16, Vec<u8>)> {
        let external_id = self.call.external_id();
        let call = self.gateway.dialect.copy_call(external_id, to, last);
        within(COPY_TIMEOUT, self.send_copy_call(&call, last))
            .await
            .flatten()
    }

    async fn send_copy_call(&self, call: &ControlCall, last: bool) -> Option<(u16, Vec<u8>)> {
        let address = self.source.address;
        let regions = self.gateway.allowed_regions(&self.call);
        let destination = Destination {
            regions: &regions,
            target: &self.source.target,
            address,
            request: self.call.external_id(),
            time_left: COPY_TIMEOUT,
        };
        let purpose = Purpose::UnidentifiedCall;
        let connected = pool::connect(&self.gateway, destination, purpose, CONNECT_TIMEOUT);
        let (mut connection, _) = connected.await.ok()?;
        if !last {
            // The next copy follows at once, and must not wait for its connection.
            pool::preconnect(&self.gateway, address, &self.call.service, purpose);
        }
        let response = target_round_trip(
            &self.gateway,
            &mut connection,
            address,
            call,
            MAX_RESPONSE_BODY,
        );
        let (head, body) = response.await.ok()?;
        let meta = self.gateway.dialect.read_response(&head);
        if meta.leaving {
            self.gateway
                .observe_response(&self.source.target, &head, &meta);
        }
        if head.keeps_alive() {
            pool::release(
                &self.gateway,
                address,
                &self.call.service,
                connection,
                meta.keep_alive,
            );
        }
        Some((head.status, body))
    }

    fn log_copy(
        &self,
        phase: &str,
        outcome: &str,
        target: Option<&Choice>,
        copy_started_at: Duration,
    ) {
        let elapsed = clock::now().saturating_sub(copy_started_at);
        log::info!(event = "copy", request = self.call.external_id(),
            from = self.source.target.as_str(),
            target_id = target.map_or("-", |choice| choice.target.as_str()), part = phase, outcome = outcome,
            reason = self.reason.as_str(), tokens = self.resident_tokens(),
            beside = target.map_or(0, |choice| choice.request_count), took_ms = millis(elapsed); "");
    }
}

const fn copy_outcome(response: Option<&(u16, Vec<u8>)>) -> &'static str {
    match response {
        Some((200, _)) => "copied",
        Some((404, _)) => "no-run",
        Some((409, _)) => "busy",
        Some((503, _)) => "no-room",
        Some(_) => "failed",
        None => "unreachable",
    }
}
