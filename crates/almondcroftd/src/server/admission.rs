//! Admission of callers' requests.

use super::auth::{self, CustomerGuard};
use super::request_body::{BodyError, HeldBytes, read_body};
use crate::app::App;
use crate::runtime::within;
use almondcroft_core::config::{Config, Customer, Service, ServiceKind, Terms};
use almondcroft_core::{RequestId, Timestamp, Verdict};
use almondcroft_proto::Problem;
use almondcroft_proto::caller::{DEADLINE_HEADER, REQUEST_ID_HEADER, is_request_id};
use std::sync::Arc;
use std::time::Duration;
use trillium::Conn;

/// Request that has been admitted; it counts against its customer's limit until it is dropped.
pub(crate) struct AdmittedRequest {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<Config>,
    pub(crate) customer: Customer,
    pub(crate) arrived_at: Timestamp,
    /// What its body takes of the memory for all bodies.
    held_bytes: HeldBytes,
    _customer_guard: CustomerGuard,
}

impl AdmittedRequest {
    /// Authenticates the customer and checks its limit of concurrent requests.
    pub(crate) fn admit(conn: &Conn, app: &Arc<App>) -> Result<Self, Problem> {
        let id = request_id(conn);
        let with_id = |problem: Problem| problem.request_id(&id);
        let config = app.config();
        let customer = auth::authenticate(conn, &config).map_err(with_id)?.clone();
        let customer_guard = CustomerGuard::acquire(app, &customer).map_err(with_id)?;
        Ok(Self {
            config,
            customer,
            arrived_at: app.clock.now(),
            held_bytes: HeldBytes::default(),
            _customer_guard: customer_guard,
            id,
        })
    }

    /// Returns a service and the terms of the customer's contract for it.
    pub(crate) fn service(
        &self,
        id: &str,
        kind: ServiceKind,
        field: &str,
    ) -> Result<(Service, Terms), Problem> {
        let service = self
            .config
            .services
            .get(id)
            .filter(|found| found.kind == kind);
        let terms = self.config.terms(&self.customer, id);
        match (service, terms) {
            (Some(service), Some(terms)) => Ok((service.clone(), terms.clone())),
            _ => Err(self
                .problem(404, "unknown-service", Verdict::NotRun)
                .detail("the customer's contract covers no such service")
                .field(field)),
        }
    }

    /// Returns the time by which the response must be complete.
    ///
    /// A caller can only shorten the deadline of the contract. A request that may take longer than this VM
    /// runs is refused.
    pub(crate) fn deadline(
        &self,
        conn: &Conn,
        app: &App,
        terms: &Terms,
    ) -> Result<Timestamp, Problem> {
        let deadline = self.stated_deadline(conn, terms)?;
        if app.lifecycle.admits_until(deadline) {
            return Ok(deadline);
        }
        Err(self
            .problem(503, "stopping", Verdict::NotRun)
            .detail("the VM stops before the deadline of the request")
            .retry_after(1))
    }

    fn stated_deadline(&self, conn: &Conn, terms: &Terms) -> Result<Timestamp, Problem> {
        let contract = Duration::from_millis(terms.deadline_ms);
        let Some(text) = conn.request_headers().get_str(DEADLINE_HEADER) else {
            return Ok(self.arrived_at + contract);
        };
        let requested = text.parse().ok().filter(|millis: &u64| *millis > 0);
        let Some(millis) = requested else {
            return Err(self
                .problem(400, "bad-deadline", Verdict::NotRun)
                .detail("must be a whole number of milliseconds above zero")
                .field(DEADLINE_HEADER));
        };
        Ok(self.arrived_at + contract.min(Duration::from_millis(millis)))
    }

    /// Reads the body within its limits of size and time.
    pub(crate) async fn body(&self, conn: &mut Conn, app: &App) -> Result<Vec<u8>, Problem> {
        let limits = &app.settings.limits;
        let max_bytes = limits.body_bytes;
        let read = read_body(conn, max_bytes, &self.held_bytes);
        let read = app.lifecycle.until_aborted(within(limits.body_time, read));
        let Some(read) = read.await else {
            return Err(self
                .problem(503, "stopping", Verdict::NotRun)
                .detail("the VM stopped before the body had arrived")
                .retry_after(1));
        };
        match read {
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(BodyError::NoMemory)) => Err(self
                .problem(503, "memory", Verdict::NotRun)
                .detail("the VM has no room for the body beside those of other requests")
                .retry_after(1)),
            Some(Err(BodyError::TooLarge)) => Err(self
                .problem(413, "body-too-large", Verdict::NotRun)
                .detail(format!("the body is longer than {max_bytes} bytes"))
                .field("body")),
            Some(Err(BodyError::Unreadable)) => Err(self
                .problem(400, "body-unreadable", Verdict::NotRun)
                .detail("the body is incomplete")
                .field("body")),
            None => Err(self
                .problem(408, "body-too-slow", Verdict::NotRun)
                .detail("the body did not arrive in time")
                .field("body")),
        }
    }

    /// Creates a problem with the request's id.
    pub(crate) fn problem(&self, status: u16, kind: &str, verdict: Verdict) -> Problem {
        Problem::new(status, kind, verdict).request_id(&self.id)
    }
}

fn request_id(conn: &Conn) -> RequestId {
    let sent = conn.request_headers().get_str(REQUEST_ID_HEADER);
    match sent.filter(|text| is_request_id(text)) {
        Some(text) => text.into(),
        None => uuid::Uuid::now_v7().to_string().into(),
    }
}
