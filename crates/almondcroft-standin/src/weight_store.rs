//! A test double of the rate-limited store of model weights.

use crate::request::json_response;
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_core::Timestamp;
use almondcroftd::Clock;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::Conn;

/// Sliding window over which reads are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Settings of the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Largest number of reads in a second.
    pub reads_per_second: usize,
}

/// Starts a weight store; reads above the rate limit get status 429.
///
/// # Errors
///
/// Returns a [`ServerError`] if the weight store cannot listen at the address.
pub fn start(settings: &WeightSettings) -> Result<Server, ServerError> {
    let limit = settings.reads_per_second;
    let clock = Clock::new();
    let recent: Arc<Mutex<VecDeque<Timestamp>>> = Arc::default();
    let handler = move |conn: Conn| {
        let recent = Arc::clone(&recent);
        async move {
            let now = clock.now();
            let mut recent = recent.lock().unwrap_or_else(PoisonError::into_inner);
            while recent.front().is_some_and(|at| *at + WINDOW <= now) {
                recent.pop_front();
            }
            if recent.len() >= limit {
                return conn.with_status(429).halt();
            }
            recent.push_back(now);
            let model = conn.path().trim_start_matches("/weights/").to_owned();
            json_response(conn, &serde_json::json!({"model": model}))
        }
    };
    Server::start(settings.listen, CrashFlag::default(), handler)
}
