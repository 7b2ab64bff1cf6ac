//! A test double of the platform's VM list, which shows changes after a lag.

use crate::request::replace_from_body;
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_core::Timestamp;
use almondcroft_proto::vm_list::VmEntry;
use almondcroftd::Clock;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::{Conn, Method};

/// Settings of the VM list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Initial VMs.
    #[serde(default)]
    pub vms: Vec<VmEntry>,
    /// Time until readers see a change, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
}

/// Current and earlier states of the list.
#[derive(Debug)]
pub struct VmListState {
    history: Mutex<Vec<(Timestamp, String)>>,
    lag: Duration,
    clock: Clock,
}

impl VmListState {
    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, vms: &[VmEntry]) {
        self.set_text(encode(vms));
    }

    /// Replaces the list by a text, which may be no list.
    pub fn set_text(&self, text: String) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push((self.clock.now(), text));
    }

    fn visible(&self) -> String {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let until = self.clock.now().saturating_sub(self.lag);
        let seen = history.iter().rev().find(|(at, _)| *at <= until);
        seen.map(|(_, text)| text.clone()).unwrap_or_default()
    }
}

fn encode(vms: &[VmEntry]) -> String {
    serde_json::to_string(vms).expect("a VM list serializes")
}

/// Starts a VM list.
///
/// # Errors
///
/// Returns a [`ServerError`] if the VM list cannot listen at the address.
pub fn start(settings: &VmListSettings) -> Result<(Server, Arc<VmListState>), ServerError> {
    let state = Arc::new(VmListState {
        history: Mutex::new(vec![(Timestamp::ZERO, encode(&settings.vms))]),
        lag: Duration::from_millis(settings.lag_ms),
        clock: Clock::new(),
    });
    let handler_state = Arc::clone(&state);
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handler_state);
        async move {
            match (conn.method(), conn.path()) {
                (Method::Get, "/vms") => conn.with_status(200).with_body(state.visible()).halt(),
                (Method::Put, "/vms") => {
                    replace_from_body(conn, |vms: Vec<VmEntry>| state.set(&vms)).await
                }
                _ => conn.with_status(404).halt(),
            }
        }
    };
    let server = Server::start(settings.listen, CrashFlag::default(), handler)?;
    Ok((server, state))
}
