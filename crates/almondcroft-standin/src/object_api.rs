//! A test double of the platform's object API.

use crate::request::{json_response, query_param, read_body, replace_from_body, reset_connection};
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_proto::object::{KeyList, OBJECTS_PATH, WATCH_PATH};
use almondcroftd::{Clock, sleep};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use trillium::{Conn, Method};

/// Largest object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Time between two polls of a watched object.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for which a watch is held open, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// Fault switches of the object API; all are off by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Refuse every call with 503.
    pub down: bool,
    /// Accept calls and never respond.
    pub silent: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but whose responses are lost.
    pub lose_answers: u64,
    /// Return the previous version of each object that has one.
    pub stale_reads: bool,
}

/// Numbers of calls by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and listings.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Conditional writes rejected because the version did not match.
    pub conflicts: u64,
    /// Bytes written.
    pub bytes_written: u64,
}

/// Settings of the object API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Initial faults.
    #[serde(default)]
    pub faults: StoreFaults,
}

#[derive(Debug, Clone)]
struct Object {
    version: u64,
    bytes: Vec<u8>,
    previous: Option<(u64, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Object>,
    version: u64,
    faults: StoreFaults,
    counts: CallCounts,
}

/// Objects, faults and call counts of a running object API.
#[derive(Debug, Default)]
pub struct StoreState {
    inner: Mutex<Inner>,
}

impl StoreState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }
}

/// Starts an object API.
///
/// # Errors
///
/// Returns a [`ServerError`] if the object API cannot listen at the address.
pub fn start(settings: StoreSettings) -> Result<(Server, Arc<StoreState>), ServerError> {
    let state = Arc::new(StoreState::default());
    state.set_faults(settings.faults);
    let handler_state = Arc::clone(&state);
    let clock = Clock::new();
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handler_state);
        async move { route(conn, state, clock).await }
    };
    let server = Server::start(settings.listen, CrashFlag::default(), handler)?;
    Ok((server, state))
}

async fn route(conn: Conn, state: Arc<StoreState>, clock: Clock) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Get, "/admin/counts") => return json_response(conn, &state.counts()),
        (Method::Put, "/admin/faults") => {
            return replace_from_body(conn, |faults| state.set_faults(faults)).await;
        }
        _ => {}
    }
    let faults = state.lock().faults.clone();
    if faults.silent {
        sleep(Duration::from_hours(1)).await;
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return conn.with_status(503).halt();
    }
    if let Some(key) = path.strip_prefix(WATCH_PATH) {
        return watch(conn, &state, clock, key).await;
    }
    let Some(key) = path.strip_prefix(OBJECTS_PATH) else {
        return conn.with_status(404).halt();
    };
    match conn.method() {
        Method::Get if key.is_empty() => list(conn, &state),
        Method::Get => get(conn, &state, key),
        Method::Put => put(conn, &state, key).await,
        Method::Delete => delete(conn, &state, key),
        _ => conn.with_status(405).halt(),
    }
}

fn list(conn: Conn, state: &StoreState) -> Conn {
    let prefix: String = query_param(&conn, "prefix").unwrap_or_default();
    let mut inner = state.lock();
    inner.counts.reads += 1;
    let keys = inner
        .objects
        .keys()
        .filter(|key| key.starts_with(&prefix))
        .cloned()
        .collect();
    drop(inner);
    json_response(conn, &KeyList { keys })
}

fn get(conn: Conn, state: &StoreState, key: &str) -> Conn {
    let mut inner = state.lock();
    inner.counts.reads += 1;
    let serve_stale = inner.faults.stale_reads;
    let Some(object) = inner.objects.get(key) else {
        return conn.with_status(404).halt();
    };
    let (version, bytes) = match &object.previous {
        Some((version, bytes)) if serve_stale => (*version, bytes.clone()),
        _ => (object.version, object.bytes.clone()),
    };
    drop(inner);
    object_response(conn, version, bytes)
}

fn object_response(mut conn: Conn, version: u64, bytes: Vec<u8>) -> Conn {
    conn.response_headers_mut()
        .insert("etag", version.to_string());
    conn.with_status(200).with_body(bytes).halt()
}

async fn put(mut conn: Conn, state: &StoreState, key: &str) -> Conn {
    let bytes = read_body(&mut conn).await;
    store_object(conn, state, key, bytes)
}

fn store_object(conn: Conn, state: &StoreState, key: &str, bytes: Vec<u8>) -> Conn {
    if bytes.len() > MAX_OBJECT_BYTES {
        return conn.with_status(413).halt();
    }
    let headers = conn.request_headers();
    let absent = headers.get_str("if-none-match").is_some();
    let expected = headers.get_str("if-match").map(str::to_owned);
    let mut inner = state.lock();
    inner.counts.writes += 1;
    inner.counts.bytes_written += bytes.len() as u64;
    let current = inner.objects.get(key).map(|object| object.version);
    let mismatch = absent && current.is_some()
        || expected
            .is_some_and(|expected| current.map(|version| version.to_string()) != Some(expected));
    if mismatch {
        inner.counts.conflicts += 1;
        return conn.with_status(412).halt();
    }
    inner.version += 1;
    let version = inner.version;
    let previous = inner
        .objects
        .remove(key)
        .map(|object| (object.version, object.bytes));
    let object = Object {
        version,
        bytes,
        previous,
    };
    inner.objects.insert(key.to_owned(), object);
    if inner.faults.lose_answers > 0 {
        inner.faults.lose_answers -= 1;
        drop(inner);
        return reset_connection(conn);
    }
    drop(inner);
    object_response(conn, version, Vec::new())
}

fn delete(conn: Conn, state: &StoreState, key: &str) -> Conn {
    let mut inner = state.lock();
    inner.counts.writes += 1;
    let existed = inner.objects.remove(key).is_some();
    drop(inner);
    conn.with_status(if existed { 204 } else { 404 }).halt()
}

async fn watch(conn: Conn, state: &StoreState, clock: Clock, key: &str) -> Conn {
    state.lock().counts.watches += 1;
    let after: u64 = query_param(&conn, "after").unwrap_or(0);
    let hold: u64 = query_param(&conn, "hold_ms").unwrap_or(MAX_HOLD_MS);
    let end = clock.now() + Duration::from_millis(hold.min(MAX_HOLD_MS));
    loop {
        match poll_watch(state, key, after) {
            WatchPoll::Unavailable => return conn.with_status(503).halt(),
            WatchPoll::Newer(object) => return object_response(conn, object.version, object.bytes),
            WatchPoll::Unchanged if clock.now() >= end => return conn.with_status(204).halt(),
            WatchPoll::Unchanged => {}
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

enum WatchPoll {
    Unavailable,
    Newer(Object),
    Unchanged,
}

fn poll_watch(state: &StoreState, key: &str, after: u64) -> WatchPoll {
    let inner = state.lock();
    if inner.faults.down || inner.faults.silent {
        return WatchPoll::Unavailable;
    }
    let found = inner
        .objects
        .get(key)
        .filter(|object| object.version > after);
    found
        .cloned()
        .map_or(WatchPoll::Unchanged, WatchPoll::Newer)
}
