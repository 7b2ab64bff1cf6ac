//! What every request of a caller goes through first.

use super::auth::{self, CustomerGuard};
use crate::app::App;
use crate::lifecycle::ActiveGuard;
use crate::runtime::within;
use almondcroft_core::config::{Config, Customer, Service, ServiceKind, Terms};
use almondcroft_core::{RequestId, Timestamp, Verdict};
use almondcroft_proto::Problem;
use almondcroft_proto::caller::{DEADLINE_HEADER, REQUEST_ID_HEADER, is_request_id};
use futures_lite::AsyncReadExt;
use std::sync::Arc;
use std::time::Duration;
use trillium::Conn;

/// Holds a request that has been let in; it counts as in flight until it is dropped.
pub(crate) struct Intake {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<Config>,
    pub(crate) customer: Customer,
    pub(crate) arrived: Timestamp,
    _active: ActiveGuard,
    _counted: CustomerGuard,
}

impl Intake {
    /// Checks who calls and whether the customer may have one more request in flight.
    pub(crate) fn admit(conn: &Conn, app: &Arc<App>) -> Result<Self, Problem> {
        let id = request_id(conn);
        let named = |problem: Problem| problem.request_id(&id);
        let config = app.config();
        let customer = auth::customer(conn, &config).map_err(named)?.clone();
        let counted = CustomerGuard::enter(app, &customer).map_err(named)?;
        Ok(Self {
            config,
            customer,
            arrived: app.clock.now(),
            _active: app.lifecycle.enter(),
            _counted: counted,
            id,
        })
    }

    /// Finds a service and the terms on which the customer may call it.
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

    /// Returns when the answer must be whole; a caller can only shorten the contract's time.
    pub(crate) fn deadline(&self, conn: &Conn, terms: &Terms) -> Result<Timestamp, Problem> {
        let contract = Duration::from_millis(terms.deadline_ms);
        let Some(text) = conn.request_headers().get_str(DEADLINE_HEADER) else {
            return Ok(self.arrived + contract);
        };
        let asked = text.parse().ok().filter(|millis: &u64| *millis > 0);
        let Some(millis) = asked else {
            return Err(self
                .problem(400, "bad-deadline", Verdict::NotRun)
                .detail("must be a whole number of milliseconds above zero")
                .field(DEADLINE_HEADER));
        };
        Ok(self.arrived + contract.min(Duration::from_millis(millis)))
    }

    /// Reads the body within its bounds of size and time.
    pub(crate) async fn body(&self, conn: &mut Conn, app: &App) -> Result<Vec<u8>, Problem> {
        let limits = &app.settings.limits;
        let most = limits.body_bytes;
        let read = async {
            let mut bytes = Vec::new();
            let body = conn.request_body().await;
            let mut reader = body.take(most as u64 + 1);
            reader.read_to_end(&mut bytes).await.map(|_| bytes)
        };
        match within(limits.body_time, read).await {
            Some(Ok(bytes)) if bytes.len() <= most => Ok(bytes),
            Some(Ok(_)) => Err(self
                .problem(413, "body-too-large", Verdict::NotRun)
                .detail(format!("the body is longer than {most} bytes"))
                .field("body")),
            Some(Err(_)) => Err(self
                .problem(400, "body-unreadable", Verdict::NotRun)
                .detail("the body did not arrive whole")
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
