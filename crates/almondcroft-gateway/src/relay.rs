//! A stream of events from a target to its caller, through moves between targets.

use crate::adapter::{Continuation, SendMeta};
use crate::call::Call;
use crate::caller::Caller;
use crate::clock;
use crate::dispatch::{Record, check_crash, send_meta};
use crate::exchange::Exchange;
use crate::link::{Link, LinkError};
use crate::logging::millis;
use crate::mover::{self, Moved};
use crate::runtime::{sleep, within};
use crate::state::{Gateway, Ticket, lock};
use almondcroft_core::gateway::Choice;
use almondcroft_core::{TargetId, Timestamp, Verdict};
use almondcroft_proto::http1::EventSplitter;
use async_channel::Receiver;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Events between two reports of progress to the fleet.
const PROGRESS_STEP: u64 = 8;

/// Time to wait for a move whose source has ended the stream.
const MOVE_TIME: Duration = Duration::from_secs(3);

/// Time for a target to take over a generation.
const RESUME_TIME: Duration = Duration::from_secs(3);

/// Time without an event after which a target is looked at; a preempted generation is silent too.
const SILENCE: Duration = Duration::from_secs(1);

/// Time to learn whether a silent target takes connections.
const LOOK_TIME: Duration = Duration::from_millis(400);

/// Time for the rest of a stream to arrive after its source has stopped.
const REST_TIME: Duration = Duration::from_millis(150);

/// Time for the engine that keeps a copy to take over while the source still runs; the users' rules
/// let both work for 400 ms.
const SWITCH_TIME: Duration = Duration::from_millis(300);

/// Time to learn which other targets leave with one, before it is decided where a generation goes
/// on: news of those that leave together comes within some 50 ms.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// Names a copy: the target that holds it and its name there.
type Copy = (SocketAddr, String);

/// Tells what happened next on a stream.
enum Step {
    /// More bytes were read.
    Read,
    /// The stream ended whole.
    Whole,
    /// The stream broke.
    Broken(LinkError),
    /// Nothing came for too long.
    Silent,
    /// The target was told to be about to go.
    Noticed,
    /// It is time to leave the target.
    Leaving,
    /// The source of a move has stopped, or the move failed.
    Moved(Option<Moved>),
    /// Time is up.
    Late,
}

/// Relays one stream; each event is sent on once and in order.
pub(crate) struct Relay<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Arc<Call>,
    ticket: Ticket,
    choice: Choice,
    backup: Option<TargetId>,
    exchange: Exchange,
    splitter: EventSplitter,
    piece: Vec<u8>,
    last: u64,
    notice: Receiver<()>,
    /// Time at which the target is to be left.
    leave_at: Option<Timestamp>,
    moving: Option<Receiver<Option<Moved>>>,
    moved: Option<Moved>,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(
        gateway: &'a Arc<Gateway>,
        call: &'a Arc<Call>,
        ticket: Ticket,
        choice: Choice,
        backup: Option<TargetId>,
        exchange: Exchange,
    ) -> Self {
        let notice = gateway.watch_target(&ticket.request);
        Self {
            gateway,
            call,
            ticket,
            choice,
            backup,
            exchange,
            splitter: EventSplitter::default(),
            piece: Vec::new(),
            last: 0,
            notice,
            leave_at: None,
            moving: None,
            moved: None,
        }
    }

    /// Relays to the end; returns whether the caller got all of it.
    pub(crate) async fn run(mut self, caller: &mut Caller, record: &mut Record) -> bool {
        if lock(&self.gateway.fleet).is_leaving(&self.choice.target) {
            self.leave(record).await;
        }
        loop {
            let broken = match self.step().await {
                Step::Read => {
                    if !self.send_events(caller, record).await {
                        record.end(0, "caller-gone");
                        return false;
                    }
                    None
                }
                Step::Whole if self.is_stopping() && self.ends_with_connection() => Some("ended"),
                Step::Whole => return self.finish(caller, record).await,
                Step::Broken(error) => Some(error.kind()),
                Step::Silent => {
                    self.look(record).await;
                    None
                }
                Step::Noticed => {
                    self.leave_at = Some(clock::now() + SETTLE_TIME);
                    None
                }
                Step::Leaving => {
                    self.leave_at = None;
                    self.leave(record).await;
                    None
                }
                Step::Moved(moved) => {
                    self.moving = None;
                    self.moved = moved;
                    None
                }
                Step::Late if self.moved.is_some() && !self.call.left(clock::now()).is_zero() => {
                    Some("stopped")
                }
                Step::Late => {
                    record.end(0, "timeout");
                    return false;
                }
            };
            if let Some(reason) = broken
                && !self.go_on(record, reason).await
            {
                self.gateway.metrics.count_move("lost");
                let begun = caller.has_begun();
                record.end(0, if begun { "broken-off" } else { "broken" });
                return false;
            }
        }
    }

    /// Leaves a target that is about to go: at once to the engine that keeps a copy, else by a move.
    ///
    /// The source runs on until the copy's engine has taken over, so a copy that turns out to be
    /// missing loses nothing.
    async fn leave(&mut self, record: &mut Record) {
        if self.is_stopping() {
            return;
        }
        let keeper = self.keeper();
        let switched = match keeper {
            Some((choice, copy)) => self.resume(&choice, copy, SWITCH_TIME, record).await,
            None => false,
        };
        if switched {
            self.gateway.metrics.count_move("switched");
        } else {
            self.start_move();
        }
    }

    /// Returns the engine that keeps a copy, unless it is about to go as well.
    fn keeper(&self) -> Option<(Choice, Copy)> {
        let fleet = lock(&self.gateway.fleet);
        let target = self.backup.as_ref().filter(|id| !fleet.is_leaving(id))?;
        let choice = fleet.choice_for(target)?;
        let copy = (choice.address, self.call.name().to_owned());
        Some((choice, copy))
    }

    /// Returns whether a move may have ended the stream.
    const fn is_stopping(&self) -> bool {
        self.moving.is_some() || self.moved.is_some()
    }

    /// Looks at a target that sends nothing.
    ///
    /// A generation that waits for memory is silent as well, and ending it would lose it. So the
    /// stream is kept: a target that takes a connection is asked to move it, and one that does not is
    /// left only for an engine that takes over.
    async fn look(&mut self, record: &mut Record) {
        record.fault(&self.choice.target, "silent", Verdict::MayHaveRun);
        let reached = Link::connect(self.choice.address, LOOK_TIME).await.is_ok();
        if reached {
            self.start_move();
        } else if let Some((choice, copy)) = self.keeper()
            && self.resume(&choice, copy, SWITCH_TIME, record).await
        {
            self.gateway.metrics.count_move("switched");
        }
    }

    async fn step(&mut self) -> Step {
        let left = self.call.left(clock::now());
        if left.is_zero() {
            return Step::Late;
        }
        self.piece.clear();
        let stopped = self.moved.is_some();
        let quiet = !self.is_stopping() && SILENCE < left;
        let read = async {
            match self.exchange.read(&mut self.piece).await {
                Ok(true) => Step::Read,
                Ok(false) => Step::Whole,
                Err(error) => Step::Broken(error),
            }
        };
        let notice = async {
            if let Some(at) = self.leave_at {
                sleep(at.saturating_sub(clock::now())).await;
                return Step::Leaving;
            }
            match self.notice.recv().await {
                Ok(()) => Step::Noticed,
                Err(_) => std::future::pending().await,
            }
        };
        let moved = async {
            match &self.moving {
                Some(result) => Step::Moved(result.recv().await.ok().flatten()),
                None => std::future::pending().await,
            }
        };
        let late = async {
            if stopped {
                sleep(REST_TIME.min(left)).await;
                Step::Late
            } else if quiet {
                sleep(SILENCE).await;
                Step::Silent
            } else {
                sleep(left).await;
                Step::Late
            }
        };
        let news = futures_lite::future::or(notice, moved);
        futures_lite::future::or(read, futures_lite::future::or(news, late)).await
    }

    /// Sends on the events that are whole; returns whether the caller is still there.
    async fn send_events(&mut self, caller: &mut Caller, record: &mut Record) -> bool {
        let mut bytes = Vec::new();
        for event in self.splitter.push(&self.piece) {
            if let Some(id) = event.id {
                if id <= self.last {
                    continue;
                }
                self.last = id;
                record.events += 1;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        if bytes.is_empty() {
            return true;
        }
        record.progress();
        if record.events.is_multiple_of(PROGRESS_STEP) {
            self.note_progress(record.events);
        }
        if caller.has_begun() {
            caller.piece(&bytes).await.is_ok()
        } else {
            caller.begin(&self.exchange.head, &bytes).await.is_ok()
        }
    }

    fn note_progress(&self, events: u64) {
        let stride = self.gateway.config().map_or(1, |config| {
            let engine = config.pools.get(&self.call.service);
            let engine = engine.and_then(|pool| pool.engine.as_ref());
            engine.map_or(1, |engine| engine.event_tokens)
        });
        let tokens = u32::try_from(events).unwrap_or(u32::MAX);
        lock(&self.gateway.fleet)
            .record_progress(&self.ticket.request, tokens.saturating_mul(stride));
    }

    fn ends_with_connection(&self) -> bool {
        self.exchange.decoder.is_close_delimited()
    }

    async fn finish(self, caller: &mut Caller, record: &mut Record) -> bool {
        let rest = self.splitter.pending().to_vec();
        let begun = caller.has_begun();
        let sent = if begun {
            rest.is_empty() || caller.piece(&rest).await.is_ok()
        } else {
            caller.begin(&self.exchange.head, &rest).await.is_ok()
        };
        let whole = sent && caller.end().await.is_ok();
        record.end(
            self.exchange.head.status,
            if whole { "answered" } else { "caller-gone" },
        );
        let now = clock::now();
        lock(&self.gateway.fleet)
            .record_success(&self.choice.target, now.saturating_sub(self.call.arrived));
        lock(&self.gateway.quarantine).record_success(self.call.fingerprint);
        self.exchange.finish(self.gateway);
        whole
    }

    fn start_move(&mut self) {
        if self.moving.is_none() {
            self.moving = mover::start(self.gateway, self.call, &self.ticket.request, &self.choice);
        }
    }

    /// Goes on at another target after the stream broke; returns whether it does.
    async fn go_on(&mut self, record: &mut Record, reason: &str) -> bool {
        if let Some(result) = self.moving.take() {
            let result = async { result.recv().await.ok().flatten() };
            self.moved = within(MOVE_TIME, result).await.flatten();
        }
        let moved = self.moved.take();
        if moved.is_none() {
            record.fault(&self.choice.target, reason, Verdict::MayHaveRun);
            lock(&self.gateway.fleet).record_failure(&self.choice.target, true, clock::now());
            check_crash(self.gateway, self.call, &self.choice);
        }
        for (choice, copy) in self.places(moved) {
            if self.resume(&choice, copy, RESUME_TIME, record).await {
                self.gateway.metrics.count_move("resumed");
                return true;
            }
        }
        false
    }

    /// Lists where the generation can go on, best first.
    fn places(&self, moved: Option<Moved>) -> Vec<(Choice, Copy)> {
        let mut places = Vec::new();
        if let Some(moved) = moved {
            let copy = (self.choice.address, moved.handle.to_string());
            places.push((moved.target, copy.clone()));
            places.push((self.choice.clone(), copy));
        }
        places.extend(self.keeper());
        places
    }

    /// Goes on at a target from a copy; the former stream is kept unless the target takes over.
    async fn resume(
        &mut self,
        choice: &Choice,
        copy: Copy,
        limit: Duration,
        record: &mut Record,
    ) -> bool {
        let now = clock::now();
        if !self
            .gateway
            .take_retry(&self.call.service, self.call.name(), now)
        {
            return false;
        }
        let backup = lock(&self.gateway.fleet).choose_backup_target(&self.ticket.request, now);
        let backup = backup.filter(|other| other.target != choice.target);
        let send = SendMeta {
            resume: Some(Continuation {
                holder: copy.0,
                handle: copy.1.into(),
                after: self.last,
            }),
            ..send_meta(self.call, choice, backup.as_ref(), now)
        };
        record.sent(choice, backup.as_ref(), now);
        let limit = limit.min(send.left);
        let opened = Exchange::open(self.gateway, self.call, choice.address, &send, limit).await;
        let exchange = match opened {
            Ok(exchange) if exchange.head.status == 200 && exchange.meta.signed => exchange,
            Ok(exchange) => {
                let kind = if exchange.meta.not_run {
                    "resume-refused"
                } else {
                    "resume-failed"
                };
                record.fault(&choice.target, kind, Verdict::NotRun);
                return false;
            }
            Err(error) => {
                record.fault(&choice.target, error.kind, error.verdict);
                return false;
            }
        };
        let took = clock::now().saturating_sub(now);
        log::info!(event = "moved", request = self.call.name(),
            from = self.choice.target.as_str(), target_id = choice.target.as_str(),
            after = self.last, took_ms = millis(took); "");
        let mut fleet = lock(&self.gateway.fleet);
        let works = fleet.record_migration(&self.ticket.request, &choice.target, now + took);
        fleet.set_backup(
            &self.ticket.request,
            backup.as_ref().map(|choice| &choice.target),
        );
        drop(fleet);
        self.gateway.deliver(works);
        self.exchange = exchange;
        self.splitter = EventSplitter::default();
        self.choice = choice.clone();
        self.backup = backup.map(|choice| choice.target);
        if lock(&self.gateway.fleet).is_leaving(&self.choice.target) {
            self.start_move();
        }
        true
    }
}
