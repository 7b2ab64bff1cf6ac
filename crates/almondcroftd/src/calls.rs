//! Calls to plain services, which run at most once if they may not be repeated.

mod send_gate;

use crate::app::App;
use crate::claims;
use crate::http::{CallError, CallErrorKind, Outbound};
use crate::runtime::sleep;
use almondcroft_core::config::{Service, Terms};
use almondcroft_core::ledger::{Claim, ClaimAnswer, Entry, Outcome, hash_body, hash_key, key_time};
use almondcroft_core::membership::Evidence;
use almondcroft_core::router::RouteRequest;
use almondcroft_core::{CustomerId, RequestId, TargetId, Timestamp, Verdict};
use almondcroft_proto::Problem;
use send_gate::SendGate;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use trillium::Method;
use trillium_client::Conn;

/// Largest response of a plain service, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Shortest time between two polls for the outcome of a call that another request runs.
const MIN_POLL_DELAY: Duration = Duration::from_millis(20);

/// Longest time between two polls for the outcome of a call that another request runs.
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// Divisor of the retention that gives the safety margin of a key's age.
///
/// A key must be younger than the retention by this margin, so that its claim is certainly still
/// stored.
const KEY_MARGIN_DIVISOR: u32 = 4;

/// Response of a plain service.
#[derive(Debug)]
pub(crate) struct PlainResponse {
    pub(crate) status: u16,
    pub(crate) media_type: Option<SmolStr>,
    pub(crate) body: Vec<u8>,
}

/// Call to a plain service.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) service: Service,
    pub(crate) terms: Terms,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) media_type: Option<SmolStr>,
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<String>,
    pub(crate) deadline: Timestamp,
}

impl Call {
    /// Runs the call in a separate task, which completes even if the returned future is dropped.
    ///
    /// If the daemon aborts its requests, the call fails at once with the verdict known by then.
    pub(crate) async fn run(self, app: Arc<App>) -> Result<PlainResponse, Problem> {
        let guard = app.lifecycle.track();
        let gate = Arc::new(SendGate::default());
        let (sender, receiver) = async_channel::bounded(1);
        let (task_app, task_gate) = (Arc::clone(&app), Arc::clone(&gate));
        crate::runtime::spawn(async move {
            let result = self.perform(&task_app, &task_gate).await;
            let _ = sender.send(result).await;
            drop(guard);
        });
        match app.lifecycle.until_aborted(receiver.recv()).await {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(Problem::new(500, "internal", Verdict::MayHaveRun)),
            None => Err(stopping(gate.close())),
        }
    }

    async fn perform(&self, app: &Arc<App>, gate: &SendGate) -> Result<PlainResponse, Problem> {
        app.retry_budget().record_request();
        match &self.key {
            Some(key) if !self.service.idempotent => self.run_once(app, key, gate).await,
            _ => {
                gate.open();
                self.run_idempotent(app, gate).await
            }
        }
    }

    fn route(&self, app: &App) -> RouteRequest {
        RouteRequest {
            id: uuid::Uuid::new_v4().to_string().into(),
            customer: self.customer.clone(),
            service: self.service.id.clone(),
            priority: self.terms.priority,
            worth: self.terms.worth,
            deadline: self.deadline,
            prompt: 0,
            prefix: None,
            region: app.settings.region.clone(),
            max_tokens: None,
            known_length: None,
        }
    }

    /// Tries targets until one responds, within the deadline and the retry budget.
    async fn run_idempotent(
        &self,
        app: &Arc<App>,
        gate: &SendGate,
    ) -> Result<PlainResponse, Problem> {
        let mut failed = None;
        let mut may_have_run: Option<Problem> = None;
        loop {
            let mut error = match self.attempt(app, gate, failed.as_ref()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            // That the last attempt did not run says nothing about the ones before.
            if error.problem.verdict == Verdict::NotRun {
                error.problem = may_have_run.clone().unwrap_or(error.problem);
            } else {
                may_have_run = Some(error.problem.clone());
            }
            let before_deadline = app.clock.now() < self.deadline;
            let Some(target) = error.target.filter(|_| before_deadline) else {
                return Err(error.problem);
            };
            if !app.retry_budget().try_take() {
                return Err(error.problem);
            }
            failed = Some(target);
        }
    }

    /// Claims the key, then sends the call to one target.
    async fn run_once(
        &self,
        app: &Arc<App>,
        key: &str,
        gate: &SendGate,
    ) -> Result<PlainResponse, Problem> {
        let now = app.clock.now();
        let retention = app.settings.ledger.retention;
        let max_age = retention / KEY_MARGIN_DIVISOR * (KEY_MARGIN_DIVISOR - 1);
        if key_time(key).is_some_and(|time| time + max_age < now) {
            return Err(key_expired());
        }
        let claim = Claim {
            key: hash_key(&self.customer, &self.service.id, key),
            body: hash_body(self.method.as_str(), &self.path, &self.body),
            nonce: rand::random(),
            vm: app.settings.vm.clone(),
            incarnation: app.incarnation,
            at: now,
            issued_at: key_time(key),
            deadline: self.deadline,
        };
        if let Some(outcome) = self.wait_for_claim(app, &claim).await? {
            return replay_outcome(outcome);
        }
        // If more than the margin has passed, for instance in a pause of the process, the claim may no
        // longer be stored.
        if app.clock.now().saturating_sub(now) > retention / KEY_MARGIN_DIVISOR {
            return Err(Problem::new(503, "paused", Verdict::NotRun));
        }
        gate.open();
        self.run_claimed(app, &claim, gate).await
    }

    /// Waits until the claim is granted or an earlier run of the call has an outcome.
    ///
    /// Returns `None` if the claim is granted, and otherwise the outcome of the earlier run.
    async fn wait_for_claim(
        &self,
        app: &Arc<App>,
        claim: &Claim,
    ) -> Result<Option<Outcome>, Problem> {
        let mut delay = MIN_POLL_DELAY;
        loop {
            let claim_deadline = app.clock.now() + app.settings.limits.claim_time;
            let answer = claims::claim(app, claim.clone(), claim_deadline).await;
            match answer {
                ClaimAnswer::Granted => return Ok(None),
                ClaimAnswer::Done(outcome) => return Ok(Some(outcome)),
                ClaimAnswer::Mismatch => return Err(mismatch()),
                ClaimAnswer::Unavailable { loaded } => {
                    release_claim(app, claim);
                    return Err(claim_unavailable(loaded));
                }
                ClaimAnswer::Running {
                    vm,
                    incarnation,
                    deadline,
                } => {
                    let now = app.clock.now();
                    let is_local = vm == app.settings.vm;
                    let has_ended = if is_local {
                        incarnation != app.incarnation
                    } else {
                        app.members.has_ended(&vm, incarnation, now)
                    };
                    if has_ended || now >= deadline || now + delay >= self.deadline {
                        return Err(outcome_unknown());
                    }
                }
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_POLL_DELAY);
        }
    }

    async fn run_claimed(
        &self,
        app: &Arc<App>,
        claim: &Claim,
        gate: &SendGate,
    ) -> Result<PlainResponse, Problem> {
        let mut failed: Option<TargetId> = None;
        loop {
            match self.attempt(app, gate, failed.as_ref()).await {
                Ok(response) => {
                    let outcome =
                        Outcome::new(response.status, response.media_type.clone(), &response.body);
                    record_outcome(app, claim, outcome);
                    return Ok(response);
                }
                Err(error) if error.problem.verdict == Verdict::NotRun => {
                    let before_deadline = app.clock.now() < self.deadline;
                    if before_deadline && error.target.is_some() && app.retry_budget().try_take() {
                        failed = error.target;
                        continue;
                    }
                    release_claim(app, claim);
                    return Err(error.problem);
                }
                Err(error) => {
                    record_outcome(app, claim, Outcome::unknown());
                    return Err(error.problem);
                }
            }
        }
    }

    /// Sends the call to one target.
    async fn attempt(
        &self,
        app: &Arc<App>,
        gate: &SendGate,
        failed: Option<&TargetId>,
    ) -> Result<PlainResponse, AttemptError> {
        let route = self.route(app);
        let now = app.clock.now();
        let placement = match failed {
            Some(failed) => app.routing.resubmit(route.clone(), failed, now),
            None => app.routing.submit(route.clone(), now),
        };
        let Ok(Ok(target)) = placement.recv().await else {
            return Err(AttemptError {
                target: None,
                problem: Problem::new(503, "no-target", Verdict::NotRun)
                    .detail("no target of the service can be used")
                    .retry_after(1),
            });
        };
        if !gate.pass() {
            let now = app.clock.now();
            app.routing.finish(&self.service.id, &route.id, false, now);
            return Err(AttemptError {
                target: None,
                problem: stopping(Verdict::NotRun),
            });
        }
        log::info!(
            event = "dispatch",
            request = self.request.as_str(),
            customer = self.customer.as_str(),
            target = target.as_str();
            ""
        );
        let result = self.send(app, &target).await;
        let now = app.clock.now();
        app.routing.finish(&self.service.id, &route.id, false, now);
        result.map_err(|error| {
            let evidence = match error.kind {
                CallErrorKind::Refused => Evidence::Refused,
                CallErrorKind::TimedOut | CallErrorKind::Broken => Evidence::TimedOut,
            };
            app.observe_target(&target, evidence);
            AttemptError {
                target: Some(target.clone()),
                problem: Problem::new(502, "target-failed", error.verdict)
                    .detail(error.to_string())
                    .retry_after(1),
            }
        })
    }

    async fn send(&self, app: &Arc<App>, target: &str) -> Result<PlainResponse, CallError> {
        let Some(address) = app.routing.address(target) else {
            return Err(CallError {
                kind: CallErrorKind::Refused,
                verdict: Verdict::NotRun,
            });
        };
        let url = format!("{}{}", address.url, self.path);
        let mut headers = vec![("x-request-id", self.request.as_str())];
        if let Some(media_type) = &self.media_type {
            headers.push(("content-type", media_type));
        }
        if let Some(key) = &self.key {
            headers.push(("idempotency-key", key));
        }
        let limit = self.deadline.saturating_sub(app.clock.now());
        let body = self.body.clone();
        // Responses of plain services name no request. On a connection that is used again, a late second response to
        // an earlier call would be taken for the one to this call.
        let conn = app
            .outbound
            .call_fresh(self.method, &url, &headers, body, limit)
            .await?;
        let limit = self.deadline.saturating_sub(app.clock.now());
        Ok(PlainResponse {
            status: conn.status().map_or(502, |status| status as u16),
            media_type: media_type(&conn),
            body: Outbound::read_body(conn, MAX_RESPONSE_BYTES, limit).await?,
        })
    }
}

/// Returns the response that the first run recorded.
fn replay_outcome(outcome: Outcome) -> Result<PlainResponse, Problem> {
    let status = outcome.status.ok_or_else(outcome_unknown)?;
    Ok(PlainResponse {
        status,
        media_type: outcome.media,
        body: outcome.body.unwrap_or_default().into_bytes(),
    })
}

/// Failure of an attempt and the target at which it failed.
struct AttemptError {
    target: Option<TargetId>,
    problem: Problem,
}

fn media_type(conn: &Conn) -> Option<SmolStr> {
    conn.response_headers()
        .get_str("content-type")
        .map(Into::into)
}

fn record_outcome(app: &Arc<App>, claim: &Claim, outcome: Outcome) {
    let entry = Entry::Outcome {
        key: claim.key,
        nonce: claim.nonce,
        outcome,
    };
    claims::record(app, entry);
}

fn release_claim(app: &Arc<App>, claim: &Claim) {
    let entry = Entry::Release {
        key: claim.key,
        nonce: claim.nonce,
    };
    claims::record(app, entry);
}

/// Returns the problem for a call that was not made because its key could not be claimed.
fn claim_unavailable(loaded: bool) -> Problem {
    let (verdict, detail) = if loaded {
        let detail = "the key could not be claimed, so the call was not made";
        (Verdict::NotRun, detail)
    } else {
        // The log is not readable, so it may hold an earlier attempt with the key.
        let detail = "this attempt was not made, but it is not known whether an earlier one was";
        (Verdict::MayHaveRun, detail)
    };
    Problem::new(503, "store-unavailable", verdict)
        .detail(detail)
        .retry_after(2)
}

fn stopping(verdict: Verdict) -> Problem {
    Problem::new(503, "stopping", verdict)
        .detail("the VM stopped before the call completed")
        .retry_after(1)
}

fn outcome_unknown() -> Problem {
    Problem::new(409, "outcome-unknown", Verdict::MayHaveRun)
        .detail("an earlier attempt with this key may have run; its outcome is not known")
}

fn mismatch() -> Problem {
    Problem::new(422, "key-reused", Verdict::NotRun)
        .detail("this key was used with another request")
        .field("idempotency-key")
}

fn key_expired() -> Problem {
    Problem::new(422, "key-expired", Verdict::NotRun)
        .detail("this key is older than the time for which keys are stored")
        .field("idempotency-key")
}
