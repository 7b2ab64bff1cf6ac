//! A stand-in for the rate-limited store of model weights.

use crate::request::json;
use crate::server::{Death, Server, ServerError};
use almondcroft_core::Timestamp;
use almondcroftd::Clock;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::Conn;

/// Span over which reads are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// States where the weight store listens and what it allows.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightSettings {
    /// Address to listen at; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Reads that are allowed in a second.
    pub reads_per_second: usize,
}

/// Starts a weight store; reads above the rate are refused with 429.
///
/// # Errors
///
/// Returns a [`ServerError`] if the address is taken.
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
            json(conn, &serde_json::json!({"model": model}))
        }
    };
    Server::start(settings.listen, Death::default(), handler)
}
