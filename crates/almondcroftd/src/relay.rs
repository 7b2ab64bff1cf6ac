//! Relays one generation from an engine to a caller.

mod job;
mod response;
mod source;

use crate::app::App;
use crate::http::{CallErrorKind, Outbound};
use crate::lifecycle::Lifecycle;
use crate::metrics::StreamHistograms;
use crate::runtime::{sleep, spawn, within};
use almondcroft_core::membership::Evidence;
use almondcroft_core::router::RefusalReason;
use almondcroft_core::{ResumeHandle, Sequencer, TargetId, Timestamp, TokenOrder, Verdict};
use almondcroft_proto::Problem;
use almondcroft_proto::engine::{Chunk, DONE, GENERATIONS_PATH};
use almondcroft_proto::sse::Event;
use response::CollectedResponse;
use serde_json::json;
use smol_str::SmolStr;
use source::{Source, SourceError};
use std::sync::Arc;
use std::time::Duration;
use trillium::Method;

pub(crate) use job::Job;

/// Time for an engine to accept a request or a resume.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of reconnects without a new token after which a generation is aborted.
const MAX_IDLE_RECONNECTS: u32 = 60;

/// Number of attempts to reach an engine for a resume before it counts as unreachable.
const RESUME_ATTEMPTS: u32 = 3;

/// Time between two attempts to reach an engine.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Tokens between two progress reports to the router.
const PROGRESS_INTERVAL_TOKENS: u64 = 16;

/// Problem types after which another engine may be tried if no token was delivered.
const RETRYABLE: [&str; 3] = ["engine-lost", "engine-refused", "engine-error"];

/// Delays before a call that cancels a generation is repeated.
///
/// Two engines may work on one generation for 400 ms.
const CANCEL_DELAYS: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(500),
];

/// Shortest time between two reconnects without a new token.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Longest time between two reconnects without a new token.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Relays one generation; each token is delivered once and in order, and all come from the same
/// generation.
pub(crate) struct Relay {
    app: Arc<App>,
    job: Job,
    target: TargetId,
    url: SmolStr,
    region: SmolStr,
    generation: SmolStr,
    sequencer: Sequencer,
    source: Option<Source>,
    idle_reconnects: u32,
    started: Timestamp,
    last_token: Timestamp,
    longest_stall: Duration,
    histograms: StreamHistograms,
    finished: bool,
    /// Whether the router no longer holds the request.
    released: bool,
}

/// Runs a future until it ends, `limit` has passed or the daemon aborts its requests.
async fn run_bounded<T>(
    lifecycle: &Lifecycle,
    limit: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    lifecycle.until_aborted(within(limit, future)).await?
}

/// Sends a call that cancels a generation; returns the status of its response, or zero.
async fn cancel_once(outbound: &Outbound, url: &str) -> u16 {
    let call = outbound.call_fresh(Method::Delete, url, &[], Vec::new(), OPEN_TIMEOUT);
    let Ok(conn) = call.await else {
        return 0;
    };
    conn.status().map_or(0, |status| status as u16)
}

/// Reasons why a generation cannot be resumed at its engine.
enum ResumeError {
    /// The engine does not know the generation.
    Unknown,
    /// The engine cannot be reached.
    Unreachable,
    /// The engine accepts connections but does not respond.
    Silent,
}

impl Relay {
    pub(crate) fn new(app: Arc<App>, job: Job) -> Self {
        let now = app.clock.now();
        let histograms = app
            .metrics
            .stream_histograms(&job.route.customer, &job.route.service);
        Self {
            app,
            histograms,
            job,
            target: SmolStr::default(),
            url: SmolStr::default(),
            region: SmolStr::default(),
            generation: SmolStr::default(),
            sequencer: Sequencer::new(0),
            source: None,
            idle_reconnects: 0,
            started: now,
            last_token: now,
            longest_stall: Duration::ZERO,
            finished: false,
            released: false,
        }
    }

    /// Opens the stream of a new or resumed generation and returns its first event.
    ///
    /// If an engine fails before the first event of a new generation, another one is tried, within
    /// the retry budget and the deadline.
    pub(crate) async fn open(&mut self) -> Result<Event, Problem> {
        self.app.retry_budget().record_request();
        let first = match self.job.resume.take() {
            Some(handle) => self.open_resumed(handle).await,
            None => self.open_new().await,
        };
        first?.ok_or_else(|| self.problem(502, "engine-empty", Verdict::Ran))
    }

    async fn open_resumed(&mut self, handle: ResumeHandle) -> Result<Option<Event>, Problem> {
        let Some(address) = self.app.routing.address(&handle.target) else {
            return Err(self.problem(410, "generation-gone", Verdict::Ran));
        };
        self.target = handle.target;
        self.url = address.url;
        self.region = address.region;
        self.generation = handle.generation;
        self.sequencer = Sequencer::new(handle.offset + 1);
        self.next().await
    }

    async fn open_new(&mut self) -> Result<Option<Event>, Problem> {
        let mut failed: Option<TargetId> = None;
        let mut may_have_run: Option<Problem> = None;
        loop {
            if let Err(problem) = self.place(failed.as_ref()).await {
                return Err(may_have_run.unwrap_or(problem));
            }
            let problem = match self.start().await {
                Ok(()) => match self.next().await {
                    Ok(event) => return Ok(event),
                    Err(problem) => problem,
                },
                Err(problem) => problem,
            };
            let now = self.app.clock.now();
            self.app
                .routing
                .finish(&self.job.route.service, &self.job.route.id, false, now);
            let retryable = RETRYABLE.contains(&problem.kind.as_str());
            let blocked = self
                .app
                .quarantine()
                .remaining(self.job.fingerprint, now)
                .is_some();
            let before_deadline = now < self.job.route.deadline;
            // That the last attempt did not run says nothing about the ones before.
            let problem = match may_have_run.take() {
                Some(earlier) if problem.verdict == Verdict::NotRun => earlier,
                _ => problem,
            };
            if !retryable || blocked || !before_deadline || !self.app.retry_budget().try_take() {
                self.released = true;
                return Err(problem);
            }
            log::info!(
                event = "retry",
                request = self.job.request.as_str(),
                target = self.target.as_str(),
                verdict = problem.verdict.as_str();
                "engine failed before the first token"
            );
            if problem.verdict != Verdict::NotRun {
                // A generation runs on without its connection.
                self.source = None;
                self.cancel(false);
                may_have_run = Some(problem);
            }
            failed = Some(std::mem::take(&mut self.target));
            self.released = false;
        }
    }

    /// Submits the request to the router and waits until it has chosen a target.
    async fn place(&mut self, failed: Option<&TargetId>) -> Result<(), Problem> {
        let now = self.app.clock.now();
        let route = self.job.route.clone();
        let placement = match failed {
            Some(failed) => self.app.routing.resubmit(route, failed, now),
            None => self.app.routing.submit(route, now),
        };
        let remaining = self.job.route.deadline.saturating_sub(now);
        let placed = async { placement.recv().await.ok() };
        let placed = run_bounded(&self.app.lifecycle, remaining, placed).await;
        let waited = self.app.clock.now().saturating_sub(now);
        self.histograms.queue_wait.observe(waited.as_secs_f64());
        let target = match placed {
            Some(Some(Ok(target))) => target,
            Some(Some(Err((reason, retry_after)))) => {
                self.released = true;
                return Err(self.refusal(reason, retry_after));
            }
            _ => {
                self.withdraw();
                return Err(self
                    .problem(503, "no-capacity", Verdict::NotRun)
                    .detail("no engine had capacity before the deadline")
                    .retry_after(2));
            }
        };
        let address = self.app.routing.address(&target);
        self.target = target;
        let address = address.ok_or_else(|| self.problem(503, "no-target", Verdict::NotRun))?;
        self.url = address.url;
        self.region = address.region;
        log::info!(
            event = "dispatch",
            request = self.job.request.as_str(),
            customer = self.job.route.customer.as_str(),
            target = self.target.as_str();
            ""
        );
        Ok(())
    }

    /// Removes the request from the router.
    fn withdraw(&mut self) {
        let now = self.app.clock.now();
        self.app
            .routing
            .finish(&self.job.route.service, &self.job.route.id, false, now);
        self.released = true;
    }

    /// Returns the problem for a request that the router refused.
    fn refusal(&self, reason: RefusalReason, retry_after: Duration) -> Problem {
        let (kind, detail) = match reason {
            RefusalReason::Late => ("late", "it cannot complete before its deadline"),
            RefusalReason::QueueFull => ("queue-full", "too many requests are waiting"),
            RefusalReason::Overload => ("overload", "it would have to wait too long for capacity"),
            RefusalReason::NoTarget => ("no-target", "no target of the service can be used"),
        };
        self.app.metrics.count_refusal(kind);
        self.problem(503, kind, Verdict::NotRun)
            .detail(detail)
            .retry_after(retry_after.as_secs().max(1))
    }

    /// Sends the request to the chosen engine.
    async fn start(&mut self) -> Result<(), Problem> {
        self.generation = format!("gen-{}", uuid::Uuid::new_v4()).into();
        self.sequencer = Sequencer::new(0);
        self.source = None;
        self.idle_reconnects = 0;
        let mut body = self.job.body.clone();
        body.rest
            .insert("request_id".into(), json!(self.generation));
        let bytes = serde_json::to_vec(&body).expect("a request serializes");
        let path = if self.job.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let url = format!("{}{path}", self.url);
        let headers = [("content-type", "application/json")];
        let call = self
            .app
            .outbound
            .call_fresh(Method::Post, &url, &headers, bytes, OPEN_TIMEOUT);
        let now = self.app.clock.now();
        let remaining = self.job.route.deadline.saturating_sub(now);
        let response = run_bounded(&self.app.lifecycle, remaining, Box::pin(call));
        let Some(response) = response.await else {
            // The engine may have started the generation, which is then aborted.
            return Ok(());
        };
        match response {
            Ok(conn) => match conn.status().map_or(0, |status| status as u16) {
                200 => {
                    self.source = Some(Source::new(conn));
                    Ok(())
                }
                429 | 503 => Err(self.problem(503, "engine-refused", Verdict::NotRun)),
                status => Err(self.engine_error(status)),
            },
            Err(error) if error.kind == CallErrorKind::Refused => {
                self.app.observe_target(&self.target, Evidence::Refused);
                Err(self.problem(502, "engine-lost", error.verdict))
            }
            Err(error) => {
                // The engine may have started the generation, which is then resumed by its id.
                self.app.observe_target(&self.target, Evidence::TimedOut);
                log::info!(event = "open-failed", target = self.target.as_str(), error:% = error; "");
                Ok(())
            }
        }
    }

    /// Returns the problem for a response without a stream.
    ///
    /// Only a 4xx status means that the request did not run.
    fn engine_error(&self, status: u16) -> Problem {
        let rejected = (400..500).contains(&status);
        let (kind, verdict) = if rejected {
            ("engine-rejected", Verdict::NotRun)
        } else {
            ("engine-error", Verdict::MayHaveRun)
        };
        self.problem(502, kind, verdict)
            .detail(format!("the engine responded with status {status}"))
    }

    /// Returns the next event for the caller, or `None` once the generation is complete.
    pub(crate) async fn next(&mut self) -> Result<Option<Event>, Problem> {
        loop {
            if self.finished {
                return Ok(None);
            }
            let now = self.app.clock.now();
            let remaining = self.job.route.deadline.saturating_sub(now);
            if remaining.is_zero() {
                return Err(self.abort(504, "deadline"));
            }
            if self.app.lifecycle.is_aborted() {
                return Err(self.abort(503, "stopping"));
            }
            if self.source.is_none() {
                // A silent engine must delay neither the deadline nor a stop.
                let lifecycle = Arc::clone(&self.app.lifecycle);
                let reconnect = Box::pin(self.reconnect());
                let reconnected = run_bounded(&lifecycle, remaining, reconnect).await;
                reconnected.unwrap_or(Ok(()))?;
                continue;
            }
            let silence = self.app.settings.limits.silence.min(remaining);
            match self.read_event(silence).await {
                Ok(event) => {
                    if let Some(event) = self.accept_event(event) {
                        return Ok(Some(event));
                    }
                }
                Err(error) => self.drop_source(error),
            }
        }
    }

    /// Returns the next event for the caller that has already been read from the engine.
    pub(crate) fn next_buffered(&mut self) -> Option<Event> {
        while !self.finished {
            let event = self.source.as_mut()?.next_buffered()?;
            if let Some(event) = self.accept_event(event) {
                return Some(event);
            }
        }
        None
    }

    async fn read_event(&mut self, silence: Duration) -> Result<Event, SourceError> {
        let lifecycle = Arc::clone(&self.app.lifecycle);
        let Some(source) = &mut self.source else {
            return Err(SourceError::Ended);
        };
        let aborted = async {
            futures_lite::future::or(lifecycle.wait_aborted(), sleep(silence)).await;
            Err(SourceError::TimedOut)
        };
        let mut next = std::pin::pin!(source.next());
        match futures_lite::future::poll_once(&mut next).await {
            Some(event) => event,
            None => futures_lite::future::or(next, aborted).await,
        }
    }

    fn drop_source(&mut self, error: SourceError) {
        let kind = match error {
            SourceError::TimedOut => "silent",
            SourceError::Ended => "ended",
            SourceError::Broken => "broken",
        };
        self.record_fault(kind);
        self.source = None;
    }

    fn record_fault(&self, kind: &str) {
        self.app.metrics.count_stream_fault(kind);
        log::info!(
            event = "stream-fault",
            request = self.job.request.as_str(),
            target = self.target.as_str(),
            kind = kind,
            offset = self.sequencer.next();
            ""
        );
    }

    /// Checks an event of the engine and returns the event for the caller, if there is one.
    fn accept_event(&mut self, event: Event) -> Option<Event> {
        if event.data == DONE {
            // The stream ended before the last token, which is then read over a new connection.
            self.source = None;
            return None;
        }
        let chunk = serde_json::from_str::<Chunk>(&event.data);
        let offset = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let (Ok(chunk), Some(offset)) = (chunk, offset) else {
            self.record_fault("malformed");
            self.source = None;
            return None;
        };
        if chunk.id != self.generation {
            self.record_fault("crossed");
            return None;
        }
        match self.sequencer.accept(offset) {
            TokenOrder::Duplicate => return None,
            TokenOrder::Gap { .. } => {
                self.record_fault("gap");
                self.source = None;
                return None;
            }
            TokenOrder::Next => {}
        }
        self.record_token(offset, event.data.len());
        if chunk.finish_reason().is_some() {
            self.complete();
        }
        Some(Event {
            id: Some(self.handle(offset)),
            event: None,
            data: event.data,
        })
    }

    fn handle(&self, offset: u64) -> String {
        let handle = ResumeHandle {
            customer: self.job.route.customer.clone(),
            service: self.job.route.service.clone(),
            target: self.target.clone(),
            generation: self.generation.clone(),
            offset,
            chat: self.job.chat,
        };
        handle.seal(&self.app.handle_key)
    }

    fn record_token(&mut self, offset: u64, bytes: usize) {
        let now = self.app.clock.now();
        let gap = now.saturating_sub(self.last_token);
        if offset == 0 {
            self.histograms.first_token.observe(gap.as_secs_f64());
        } else {
            self.histograms.gap.observe(gap.as_secs_f64());
        }
        if self.region != self.app.settings.region {
            self.app.metrics.count_link_bytes(&self.region, bytes);
        }
        self.longest_stall = self.longest_stall.max(gap);
        self.last_token = now;
        self.idle_reconnects = 0;
        if offset.is_multiple_of(PROGRESS_INTERVAL_TOKENS) {
            let produced = u32::try_from(offset + 1).unwrap_or(u32::MAX);
            self.app.routing.record_progress(
                &self.job.route.service,
                &self.job.route.id,
                produced,
                now,
            );
        }
    }

    fn complete(&mut self) {
        self.finished = true;
        self.released = true;
        let now = self.app.clock.now();
        let produced = u32::try_from(self.sequencer.next()).unwrap_or(u32::MAX);
        let route = &self.job.route;
        self.app
            .routing
            .record_progress(&route.service, &route.id, produced, now);
        self.app
            .routing
            .finish(&route.service, &route.id, true, now);
        let total = now.saturating_sub(self.started);
        self.histograms.completion.observe(total.as_secs_f64());
        self.histograms
            .stall
            .observe(self.longest_stall.as_secs_f64());
        log::info!(
            event = "complete",
            request = self.job.request.as_str(),
            customer = route.customer.as_str(),
            target = self.target.as_str(),
            tokens = produced,
            stall_ms = u64::try_from(self.longest_stall.as_millis()).unwrap_or(u64::MAX);
            ""
        );
    }

    /// Opens a new connection to the same generation, starting at the next token.
    async fn reconnect(&mut self) -> Result<(), Problem> {
        self.idle_reconnects += 1;
        if self.idle_reconnects > MAX_IDLE_RECONNECTS {
            return Err(self.abort(502, "engine-silent"));
        }
        if self.idle_reconnects > 1 {
            let factor = 1 << (self.idle_reconnects - 2).min(6);
            sleep((MIN_RECONNECT_DELAY * factor).min(MAX_RECONNECT_DELAY)).await;
        }
        match self.resume_source().await {
            Ok(source) => {
                self.source = Some(source);
                Ok(())
            }
            // The deadline bounds the attempts at a silent engine, which take their time by themselves.
            Err(ResumeError::Silent) => {
                self.idle_reconnects = 0;
                Ok(())
            }
            Err(error) => Err(self.engine_lost(&error)),
        }
    }

    async fn resume_source(&self) -> Result<Source, ResumeError> {
        let offset = self.sequencer.next();
        let url = format!(
            "{}{GENERATIONS_PATH}{}?from={offset}",
            self.url, self.generation
        );
        for attempt in 0..RESUME_ATTEMPTS {
            if attempt > 0 {
                sleep(RESUME_DELAY).await;
            }
            let call =
                self.app
                    .outbound
                    .call_fresh(Method::Get, &url, &[], Vec::new(), OPEN_TIMEOUT);
            match call.await {
                Ok(conn) => match conn.status().map_or(0, |status| status as u16) {
                    200 => return Ok(Source::new(conn)),
                    404 => return Err(ResumeError::Unknown),
                    _ => {}
                },
                Err(error) => {
                    let evidence = match error.kind {
                        CallErrorKind::Refused => Evidence::Refused,
                        CallErrorKind::TimedOut | CallErrorKind::Broken => Evidence::TimedOut,
                    };
                    self.app.observe_target(&self.target, evidence);
                    // A process that is only silent still holds the generation, which no other engine can
                    // continue. Before the first token, another engine is tried instead.
                    let has_connected = error.verdict != Verdict::NotRun;
                    if error.kind == CallErrorKind::TimedOut && has_connected && offset > 0 {
                        return Err(ResumeError::Silent);
                    }
                }
            }
        }
        Err(ResumeError::Unreachable)
    }

    /// Ends a generation that cannot be resumed at its engine and returns the problem.
    fn engine_lost(&mut self, error: &ResumeError) -> Problem {
        let has_tokens = self.sequencer.next() > 0;
        let verdict = if has_tokens {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        };
        if matches!(error, ResumeError::Unreachable) && self.job.fingerprint != 0 {
            let now = self.app.clock.now();
            let count = self
                .app
                .quarantine()
                .record_crash(self.job.fingerprint, now);
            log::warn!(event = "target-died", target = self.target.as_str(), crashes = count; "");
            let app = Arc::clone(&self.app);
            spawn(async move { crate::members::probe_neighbours(&app).await });
        }
        self.release();
        let detail = match error {
            ResumeError::Unknown => "the engine no longer knows the generation",
            ResumeError::Unreachable | ResumeError::Silent => "the engine cannot be reached",
        };
        self.problem(502, "engine-lost", verdict).detail(detail)
    }

    /// Ends the relay of a generation that may still run at the engine and returns the problem.
    fn abort(&mut self, status: u16, kind: &str) -> Problem {
        let verdict = if self.sequencer.next() > 0 {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        };
        // After a stop of this VM, the caller may resume the generation at another VM.
        if kind != "stopping" {
            self.cancel(false);
        }
        self.release();
        self.problem(status, kind, verdict)
            .detail("the generation did not complete at this VM")
            .retry_after(1)
    }

    /// Removes the request from the router unless that has been done.
    fn release(&mut self) {
        if !self.released {
            self.withdraw();
        }
    }

    /// Abandons a generation whose caller has disconnected.
    ///
    /// The engine is asked to stop after the resume grace, unless the caller has resumed elsewhere.
    pub(crate) fn abandon(&mut self) {
        if self.finished {
            return;
        }
        log::info!(event = "caller-gone", request = self.job.request.as_str(); "");
        self.source = None;
        self.cancel(true);
        self.release();
    }

    /// Asks the engine to stop the generation, after the resume grace if `wait` is set.
    fn cancel(&self, wait: bool) {
        if self.generation.is_empty() || self.app.lifecycle.is_crashed() {
            return;
        }
        let (app, request) = (Arc::clone(&self.app), self.job.request.clone());
        let url = format!(
            "{}{GENERATIONS_PATH}{}?detached={wait}",
            self.url, self.generation
        );
        spawn(async move {
            if wait {
                sleep(app.settings.limits.resume_grace).await;
            }
            for delay in [Duration::ZERO].into_iter().chain(CANCEL_DELAYS) {
                sleep(delay).await;
                match cancel_once(&app.outbound, &url).await {
                    200..=299 => return,
                    // The engine has read the request of a generation that was delivered, and knows that it has ended
                    // or goes on for a caller that has resumed it.
                    404 | 409 if wait => return,
                    _ => {}
                }
            }
            log::info!(event = "cancel-failed", request = request.as_str(), url = url.as_str(); "");
        });
    }

    /// Collects the whole generation into one response.
    pub(crate) async fn collect(&mut self, first: Event) -> Result<String, Problem> {
        let mut response = CollectedResponse::default();
        let mut event = Some(first);
        while let Some(current) = event {
            if !response.try_push(&current.data) {
                return Err(self.abort(502, "response-too-large"));
            }
            event = self.next().await?;
        }
        // The last event carries the finish reason, not a token.
        let tokens = self.sequencer.next().saturating_sub(1);
        let service = &self.job.route.service;
        Ok(response.into_json(&self.generation, service, self.job.chat, tokens))
    }

    fn problem(&self, status: u16, kind: &str, verdict: Verdict) -> Problem {
        Problem::new(status, kind, verdict).request_id(&self.job.request)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.release();
    }
}
