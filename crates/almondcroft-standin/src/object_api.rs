//! A test double of the platform's object API.

use crate::request::{json_response, query_param, read_body, replace_from_body, reset_connection};
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_core::{Era, Timestamp};
use almondcroft_proto::object::{ERA_HEADER, KeyList, OBJECTS_PATH, WATCH_PATH};
use almondcroftd::{Clock, sleep};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use trillium::{Conn, Method};

/// Largest object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Time between two polls of a watched object.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Greatest age of a copy from which the object API can be restored.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);

/// Era of an object API that was never restored.
const FIRST_ERA: Era = 1;

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

/// Age of the copy from which the object API is restored.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restoration {
    /// Age in milliseconds.
    pub age_ms: u64,
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
    /// Number of restorations.
    restorations: Era,
    /// The changes, oldest first.
    changes: VecDeque<Change>,
    faults: StoreFaults,
    counts: CallCounts,
}

/// A change of an object, with what it replaced.
#[derive(Debug)]
struct Change {
    at: Timestamp,
    key: String,
    before: Option<Object>,
    version_before: u64,
}

impl Inner {
    fn replace(&mut self, key: &str, object: Option<Object>, at: Timestamp) {
        let before = match object {
            Some(object) => self.objects.insert(key.to_owned(), object),
            None => self.objects.remove(key),
        };
        let change = Change {
            at,
            key: key.to_owned(),
            before,
            version_before: self.version,
        };
        self.changes.push_back(change);
        while self
            .changes
            .front()
            .is_some_and(|oldest| oldest.at + MAX_COPY_AGE < at)
        {
            self.changes.pop_front();
        }
    }

    /// Undoes all changes from a time on and begins a new era.
    fn restore(&mut self, at: Timestamp) {
        while let Some(change) = self.changes.pop_back_if(|change| change.at >= at) {
            match change.before {
                Some(object) => self.objects.insert(change.key, object),
                None => self.objects.remove(&change.key),
            };
            self.version = change.version_before;
        }
        self.restorations += 1;
    }
}

/// Objects, faults and call counts of a running object API.
#[derive(Debug, Default)]
pub struct StoreState {
    inner: Mutex<Inner>,
    clock: Clock,
}

impl StoreState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Comes back from a copy of a given age, in a new era; later writes are lost.
    pub fn restore(&self, age: Duration) {
        let at = self.clock.now().saturating_sub(age);
        self.lock().restore(at);
    }

    fn era(&self) -> Era {
        FIRST_ERA + self.lock().restorations
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
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handler_state);
        async move {
            let era = state.era();
            let mut conn = route(conn, Arc::clone(&state)).await;
            if state.era() != era {
                return reset_connection(conn);
            }
            conn.response_headers_mut()
                .insert(ERA_HEADER, era.to_string());
            conn
        }
    };
    let server = Server::start(settings.listen, CrashFlag::default(), handler)?;
    Ok((server, state))
}

async fn route(conn: Conn, state: Arc<StoreState>) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Get, "/admin/counts") => return json_response(conn, &state.counts()),
        (Method::Put, "/admin/faults") => {
            return replace_from_body(conn, |faults| state.set_faults(faults)).await;
        }
        (Method::Put, "/admin/restore") => {
            let restore = |Restoration { age_ms }| state.restore(Duration::from_millis(age_ms));
            return replace_from_body(conn, restore).await;
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
        return watch(conn, &state, key).await;
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
    let version = inner.version + 1;
    let previous = inner.objects.get(key);
    let previous = previous.map(|object| (object.version, object.bytes.clone()));
    let object = Object {
        version,
        bytes,
        previous,
    };
    inner.replace(key, Some(object), state.clock.now());
    inner.version = version;
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
    let existed = inner.objects.contains_key(key);
    if existed {
        inner.replace(key, None, state.clock.now());
    }
    drop(inner);
    conn.with_status(if existed { 204 } else { 404 }).halt()
}

async fn watch(conn: Conn, state: &StoreState, key: &str) -> Conn {
    state.lock().counts.watches += 1;
    let after: u64 = query_param(&conn, "after").unwrap_or(0);
    let hold: u64 = query_param(&conn, "hold_ms").unwrap_or(MAX_HOLD_MS);
    let end = state.clock.now() + Duration::from_millis(hold.min(MAX_HOLD_MS));
    loop {
        match poll_watch(state, key, after) {
            WatchPoll::Unavailable => return conn.with_status(503).halt(),
            WatchPoll::Newer(object) => return object_response(conn, object.version, object.bytes),
            WatchPoll::Unchanged if state.clock.now() >= end => {
                return conn.with_status(204).halt();
            }
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
