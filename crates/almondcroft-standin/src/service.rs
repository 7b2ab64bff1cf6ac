//! A test double of a plain HTTP service that records every execution.

use crate::request::{json_response, read_body, replace_from_body, reset_connection};
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_proto::engine::{LOAD_PATH, LoadResponse};
use almondcroftd::sleep;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::{Conn, Method};

/// Fault switches of a plain service; all are off by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent"
)]
pub struct ServiceFaults {
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Reset the connection before the call is executed.
    pub break_before: bool,
    /// Reset the connection after the call was executed.
    pub break_after: bool,
    /// Execute the call and never respond.
    pub hang: bool,
    /// Report in the load response that the service is leaving.
    pub leaving: bool,
}

/// Settings of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Initial faults.
    #[serde(default)]
    pub faults: ServiceFaults,
}

/// One recorded execution of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Method and path.
    pub call: String,
    /// The idempotency key, if one was sent.
    pub key: Option<String>,
    /// The body, as text.
    pub body: String,
}

/// Recorded executions and current faults of a running service.
#[derive(Debug, Default)]
pub struct ServiceState {
    executions: Mutex<Vec<Execution>>,
    faults: Mutex<ServiceFaults>,
}

impl ServiceState {
    /// Returns all executions in order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn faults(&self) -> ServiceFaults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn execute(&self, execution: Execution) -> usize {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions.push(execution);
        executions.len()
    }
}

/// Starts a plain service.
///
/// # Errors
///
/// Returns a [`ServerError`] if the service cannot listen at the address.
pub fn start(settings: ServiceSettings) -> Result<(Server, Arc<ServiceState>), ServerError> {
    let state = Arc::new(ServiceState::default());
    state.set_faults(settings.faults);
    let handler_state = Arc::clone(&state);
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handler_state);
        async move { route(conn, state).await }
    };
    let server = Server::start(settings.listen, CrashFlag::default(), handler)?;
    Ok((server, state))
}

async fn route(conn: Conn, state: Arc<ServiceState>) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, LOAD_PATH) => {
            let report = LoadResponse {
                leaving: state.faults().leaving,
                ..LoadResponse::default()
            };
            json_response(conn, &report)
        }
        (Method::Get, "/admin/executions") => json_response(conn, &state.executions()),
        (Method::Put, "/admin/faults") => {
            replace_from_body(conn, |faults| state.set_faults(faults)).await
        }
        _ => call(conn, &state).await,
    }
}

async fn call(mut conn: Conn, state: &ServiceState) -> Conn {
    let faults = state.faults();
    let bytes = read_body(&mut conn).await;
    if faults.break_before {
        return reset_connection(conn);
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    let key = conn.request_headers().get_str("idempotency-key");
    let execution = Execution {
        call: format!("{} {}", conn.method(), conn.path()),
        key: key.map(str::to_owned),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    };
    let number = state.execute(execution);
    if faults.hang {
        sleep(Duration::from_hours(1)).await;
    }
    if faults.break_after {
        return reset_connection(conn);
    }
    json_response(conn, &serde_json::json!({"execution": number}))
}
