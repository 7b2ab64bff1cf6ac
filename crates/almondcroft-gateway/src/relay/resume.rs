//! Moves a stream to an engine that holds a copy of its KV cache.

use super::{REMAINDER_TIMEOUT, Relay};
use crate::adapter::{Continuation, SendMeta};
use crate::clock;
use crate::connection::Connection;
use crate::dispatch::{RequestLog, check_crash, check_dark, send_meta};
use crate::exchange::Exchange;
use crate::logging::millis;
use crate::migration::copy_calls;
use crate::migration::{self, Migrated, MigrationEnd, MigrationReason};
use crate::pool::{self, Purpose};
use crate::run_stop::{RunStop, STOP_WAIT, StopEnd};
use crate::runtime::{sleep, within};
use crate::state::{ExtraPermit, lock};
use crate::target_connect;
use almondcroft_core::gateway::{Choice, ExtraSend};
use almondcroft_core::{TargetId, Verdict};
use futures_lite::future::or;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

/// Time to wait for the result of a migration after its source has ended the stream.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for a target to resume a generation.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Connect timeout for probing a silent target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the engine with the backup to resume a generation that the source still runs, or keeps a copy of.
///
/// The platform permits both to run it for 400 ms.
const SWITCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which the source is asked to stop the generation.
///
/// The rest of the 400 ms is for the call, and for a VM that is late.
const STOP_DELAY: Duration = Duration::from_millis(100);

/// What came of the attempt to resume a generation from its backup while its source still ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Switch {
    /// It goes on from the backup.
    Resumed,
    /// It does not, and the source has stopped it or may have.
    Stopped,
    /// It goes on at the source.
    Kept,
}

/// Location of a copy of a generation's KV cache: the target that holds it, and its handle there.
type CopyLocation = (SocketAddr, String);

impl Relay<'_> {
    /// Moves the generation off a leaving target.
    ///
    /// It is resumed from its backup at once if there is one, and migrated otherwise. The source
    /// keeps running until the engine with the backup has resumed, or keeps a copy, so nothing is lost if
    /// the backup is missing.
    pub(super) async fn leave_target(&mut self, request_log: &mut RequestLog) {
        if self.is_migrating() {
            self.missed_notice = true;
            return;
        }
        let backup_copy = self.backup_copy();
        let switch = match backup_copy {
            Some(option) => self.switch_to_backup(option, request_log).await,
            None => Switch::Kept,
        };
        match switch {
            Switch::Resumed => self.gateway.metrics.count_migration("switched"),
            Switch::Stopped => {}
            Switch::Kept => self.start_migration(MigrationReason::Leave),
        }
    }

    /// Returns the engine with the backup and the copy there, unless that engine is leaving too or wants
    /// no requests.
    pub(super) fn backup_copy(&self) -> Option<(Choice, CopyLocation)> {
        let fleet = lock(&self.gateway.fleet);
        let now = clock::now();
        let regions = self.gateway.allowed_regions(self.call);
        let usable = |id: &&TargetId| {
            !fleet.is_leaving(id)
                && !fleet.is_backing_off(id, now)
                && fleet.may_resume(id, &regions, now)
        };
        let target = self.backup.as_ref().filter(usable)?;
        let choice = fleet.choice_for(target)?;
        let copy = (choice.address, self.call.external_id().to_owned());
        Some((choice, copy))
    }

    /// Probes a target that sends nothing.
    ///
    /// A generation that waits for memory is silent too, and would be lost if its stream were
    /// closed. So the stream stays open: a target that accepts a connection is asked to migrate the
    /// generation, and one that does not is abandoned only once another engine has resumed it.
    pub(super) async fn probe_target(&mut self, request_log: &mut RequestLog) {
        let request = self.call.external_id();
        let reached =
            target_connect::is_reached(self.gateway, &self.choice, request, PROBE_TIMEOUT).await;
        request_log.log_silence(&self.choice.target, reached);
        if reached {
            self.start_migration(MigrationReason::Silence);
            return;
        }
        if !self.run.has_survived(clock::now()) {
            check_dark(self.gateway, self.call, &self.choice);
        }
        if let Some(option) = self.backup_copy()
            && self.replace_unreached(option, request_log).await
        {
            self.gateway.metrics.count_migration("switched");
        }
    }

    /// Resumes the generation from its backup in place of a target that is not reached; returns whether it succeeded.
    async fn replace_unreached(
        &mut self,
        option: (Choice, CopyLocation),
        request_log: &mut RequestLog,
    ) -> bool {
        let Some(permit) = self.take_resumption().await else {
            return false;
        };
        let source = self.choice.clone();
        let resumed = self
            .resume(option, permit, SWITCH_TIMEOUT, request_log)
            .await;
        if resumed {
            let run = (self.gateway, self.call);
            self.stops
                .stop(run, &self.placement_id, &source, true)
                .await;
        }
        resumed
    }

    /// Resumes the generation from its backup, and stops it at its source.
    ///
    /// The source is stopped once the engine with the backup has resumed, or after a while that both may run the generation.
    /// Until then nothing is lost if the backup is missing, and afterwards the source keeps a copy.
    async fn switch_to_backup(
        &mut self,
        option: (Choice, CopyLocation),
        request_log: &mut RequestLog,
    ) -> Switch {
        let Some(permit) = self.take_resumption().await else {
            return Switch::Kept;
        };
        let (gateway, call) = (self.gateway, self.call);
        let (source, request) = (self.choice.clone(), self.placement_id.clone());
        if copy_calls::are_supported(gateway, call) {
            let purpose = Purpose::UnidentifiedCall;
            pool::preconnect(gateway, source.address, &call.service, purpose);
        }
        let mut stream = self.exchange.detach();
        let mut stop = None;
        let stop_source = async {
            sleep(STOP_DELAY).await;
            stop = RunStop::start((gateway, call), &request, &source, true, true);
            if let Some(stop) = &stop {
                stop.wait_answered(STOP_WAIT).await;
                if stop.was_sent() && stop.end() != Some(StopEnd::NoRun) {
                    stream = None;
                }
            }
            pending().await
        };
        let resume = self.resume(option, permit, SWITCH_TIMEOUT, request_log);
        if or(resume, stop_source).await {
            drop(stream);
            let stop =
                stop.or_else(|| RunStop::start((gateway, call), &request, &source, true, false));
            if let Some(stop) = stop {
                self.stops.keep(stop);
            }
            return Switch::Resumed;
        }
        self.return_to_source(stop, stream).await
    }

    /// Returns to the source of a generation that was not resumed elsewhere: to its stream, or to the copy that it keeps if it
    /// was stopped.
    async fn return_to_source(
        &mut self,
        stop: Option<RunStop>,
        stream: Option<Connection>,
    ) -> Switch {
        self.exchange.attach(stream);
        let Some(stop) = stop else {
            return Switch::Kept;
        };
        if stop.end().is_none() && stop.was_sent() {
            stop.wait_answered(MIGRATION_TIMEOUT).await;
        }
        let end = stop.end();
        let was_sent = stop.was_sent();
        if let Some(StopEnd::Stopped(handle, target)) = end {
            self.migrated = Some(Migrated {
                target,
                handle,
                permit: None,
            });
            return Switch::Stopped;
        }
        self.may_have_stopped |= end.is_none() && was_sent;
        if end.is_some() || was_sent {
            self.stops.keep(stop);
            return Switch::Stopped;
        }
        self.may_have_stopped |= stop.cancel();
        Switch::Kept
    }

    /// Stops a run at a target from which nothing is read any more, so that the generation can go on elsewhere.
    pub(super) async fn stop_run(&self, choice: &Choice, has_begun: bool) {
        let run = (self.gateway, self.call);
        self.stops
            .stop(run, &self.placement_id, choice, has_begun)
            .await;
    }

    /// Records the end of a migration.
    ///
    /// A generation that may go on at its source is migrated once more if the source started to leave meanwhile, or was
    /// not reached by a call to stop it.
    pub(super) fn record_migration_end(&mut self, end: MigrationEnd) {
        let missed_notice = std::mem::take(&mut self.missed_notice);
        let was_unclear = end.has_unanswered_stop || end.copy.is_some();
        self.record_source(end);
        if self.migrated.is_some() {
            return;
        }
        if missed_notice {
            self.start_migration(MigrationReason::Leave);
        } else if was_unclear && lock(&self.gateway.fleet).is_leaving(&self.choice.target) {
            // The end of a stream that was stopped arrives by then.
            self.leave_at = Some(clock::now() + REMAINDER_TIMEOUT);
        }
    }

    /// Records what a migration has shown of the source, and the copy that it has made.
    fn record_source(&mut self, end: MigrationEnd) {
        self.may_have_stopped |= end.has_unanswered_stop;
        if end.has_stopped {
            self.migrated = end.copy;
        } else {
            self.copied = end.copy.or_else(|| self.copied.take());
        }
    }

    /// Returns whether there is a copy from which the generation can be resumed.
    pub(super) fn has_copy(&self) -> bool {
        self.copied.is_some() || self.backup_copy().is_some()
    }

    pub(super) fn start_migration(&mut self, reason: MigrationReason) {
        if self.migration.is_none() {
            self.migration = migration::start(
                self.gateway,
                self.call,
                &self.placement_id,
                &self.choice,
                reason,
                &self.events,
            );
        }
    }

    /// Resumes the generation after the stream broke off; returns whether it succeeded.
    ///
    /// The stream is closed first, so that its target does not work on beside the next one.
    pub(super) async fn recover_stream(
        &mut self,
        request_log: &mut RequestLog,
        reason: &str,
    ) -> bool {
        if let Some(migration) = self.migration.take() {
            match within(MIGRATION_TIMEOUT, migration.end.recv()).await {
                Some(Ok(end)) => self.record_source(end),
                // A call to stop the generation may be under way.
                _ => self.may_have_stopped |= migration.abandon(),
            }
        }
        // An engine works on as long as the connection is open, whatever is wrong with its stream.
        self.exchange.close();
        let is_stopped = self.migrated.is_some();
        let copied = self.copied.take();
        let mut migrated = self.migrated.take().or(copied);
        if migrated.is_none() {
            request_log.log_fault(&self.choice.target, reason, Verdict::MayHaveRun);
            let hard = !self.exchange.is_tunneled();
            lock(&self.gateway.fleet).record_failure(&self.choice.target, hard, clock::now());
            check_crash(
                self.gateway,
                self.call,
                &self.choice,
                &self.run,
                request_log.event_count,
            );
        }
        let goes_on = migrated.is_some() || self.backup_copy().is_some() || self.may_restart();
        if !is_stopped && goes_on {
            // Some engines work on without a connection.
            self.run_guard.disarm();
            self.stop_run(&self.choice, self.run.has_begun()).await;
        }
        // The migration has taken one resumption; a borrowed one may have run out.
        let mut taken = migrated
            .as_mut()
            .and_then(|migrated| migrated.permit.take());
        for option in self.resume_options(migrated) {
            let valid = taken.take().filter(|permit| permit.is_valid(clock::now()));
            let permit = match valid {
                Some(permit) => Some(permit),
                None => self.take_resumption().await,
            };
            let Some(permit) = permit else {
                return false;
            };
            if self
                .resume(option, permit, RESUME_TIMEOUT, request_log)
                .await
            {
                self.gateway.metrics.count_migration("resumed");
                return true;
            }
        }
        false
    }

    /// Lists the targets and copies from which the generation can be resumed, best first.
    pub(super) fn resume_options(&self, migrated: Option<Migrated>) -> Vec<(Choice, CopyLocation)> {
        let mut options = Vec::new();
        if let Some(migrated) = migrated {
            let copy = (self.choice.address, migrated.handle.to_string());
            options.push((migrated.target, copy.clone()));
            options.push((self.choice.clone(), copy));
        }
        options.extend(self.backup_copy());
        let regions = self.gateway.allowed_regions(self.call);
        let (fleet, now) = (lock(&self.gateway.fleet), clock::now());
        options.retain(|(choice, _)| {
            !fleet.is_backing_off(&choice.target, now)
                && fleet.may_resume(&choice.target, &regions, now)
        });
        drop(fleet);
        options
    }

    /// Takes a resumption from the retry budget, if it permits one.
    pub(super) async fn take_resumption(&self) -> Option<ExtraPermit> {
        let (service, request) = (&self.call.service, self.call.external_id());
        let taken = self
            .gateway
            .take_retry(ExtraSend::Resumption, service, request);
        taken.await
    }

    /// Resumes the generation at a target from a copy; returns whether it succeeded.
    ///
    /// The stream before is replaced only if the target resumes.
    pub(super) async fn resume(
        &mut self,
        (choice, copy): (Choice, CopyLocation),
        permit: ExtraPermit,
        timeout: Duration,
        request_log: &mut RequestLog,
    ) -> bool {
        let now = clock::now();
        let choice = &choice;
        let Ok(run) = self.run.readmit(self.call, &choice.target) else {
            request_log.log_fault(&choice.target, "part-quarantined", Verdict::NotRun);
            return false;
        };
        let backup = lock(&self.gateway.fleet).choose_backup_target(&self.placement_id, now);
        let backup = backup.filter(|other| other.target != choice.target);
        let send = SendMeta {
            resume: Some(Continuation {
                holder: copy.0,
                handle: copy.1.into(),
                last_event: self.last_event,
            }),
            ..send_meta(self.call, choice, backup.as_ref(), now)
        };
        request_log.log_send(choice, backup.as_ref(), now);
        // A call that stops an earlier run there may take effect once this one runs.
        let may_stop = self.stops.cancel(&choice.target);
        let timeout = timeout.min(send.time_left);
        let opened = Exchange::open(
            self.gateway,
            self.call,
            choice.address,
            &send,
            timeout,
            Some(permit),
        );
        let opened = opened.await;
        let exchange = match opened {
            Ok(exchange) if exchange.head.status == 200 && exchange.meta.stamped => exchange,
            Ok(exchange) => {
                if exchange.is_refusal() {
                    run.record_not_run();
                    request_log.log_fault(&choice.target, "resume-refused", Verdict::NotRun);
                } else {
                    request_log.log_fault(&choice.target, "resume-failed", Verdict::MayHaveRun);
                    drop(exchange);
                    self.stop_run(choice, true).await;
                }
                return false;
            }
            Err(error) => {
                request_log.log_fault(&choice.target, error.kind, error.verdict);
                if error.verdict == Verdict::NotRun {
                    run.record_not_run();
                    return false;
                }
                if error.kind != "target-timeout" {
                    let events = request_log.event_count;
                    check_crash(self.gateway, self.call, choice, &run, events);
                }
                self.stop_run(choice, false).await;
                return false;
            }
        };
        let elapsed = clock::now().saturating_sub(now);
        log::info!(event = "moved", request = self.call.external_id(),
            from = self.choice.target.as_str(), target_id = choice.target.as_str(),
            after = self.last_event, took_ms = millis(elapsed); "");
        let mut fleet = lock(&self.gateway.fleet);
        let placements = fleet.record_migration(&self.placement_id, &choice.target, now + elapsed);
        fleet.set_backup(
            &self.placement_id,
            backup.as_ref().map(|choice| &choice.target),
        );
        drop(fleet);
        self.gateway.deliver(placements);
        // A call to stop the generation that was not answered may take effect once it goes on at the same target.
        let may_stop = may_stop || self.may_have_stopped && self.choice.target == choice.target;
        self.replace_stream(exchange, run);
        self.may_have_stopped = may_stop;
        self.choice = choice.clone();
        self.run_guard.follow(choice);
        self.backup = backup.map(|choice| choice.target);
        if lock(&self.gateway.fleet).is_leaving(&self.choice.target) {
            self.start_migration(MigrationReason::Leave);
        }
        true
    }
}
