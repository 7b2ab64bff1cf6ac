//! A stand-in for the platform's object API.

use crate::request::{body, broken, json, query, replace};
use crate::server::{Death, Server, ServerError};
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

/// Time between two looks of a watch.
const WATCH_POLL: Duration = Duration::from_millis(5);

/// Longest time that a watch waits, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// Faults of the object API; all are off by default.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Refuse every call with 503.
    pub down: bool,
    /// Answer nothing at all.
    pub silent: bool,
    /// Time that each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes whose answer is lost after they took effect.
    pub lose_answers: u64,
    /// Answer reads with the version before the last.
    pub stale_reads: bool,
}

/// Counts calls by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and listings.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that had no effect because the version was another.
    pub conflicts: u64,
    /// Bytes written.
    pub bytes_written: u64,
}

/// States where the object API listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address to listen at; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Faults from the start.
    #[serde(default)]
    pub faults: StoreFaults,
}

#[derive(Debug, Clone)]
struct Object {
    version: u64,
    bytes: Vec<u8>,
    before: Option<(u64, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Object>,
    version: u64,
    faults: StoreFaults,
    counts: CallCounts,
}

/// Holds the objects, the faults and the counts.
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

    /// Returns the counts of calls.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }
}

/// Starts an object API.
///
/// # Errors
///
/// Returns a [`ServerError`] if the address is taken.
pub fn start(settings: StoreSettings) -> Result<(Server, Arc<StoreState>), ServerError> {
    let state = Arc::new(StoreState::default());
    state.set_faults(settings.faults);
    let handling = Arc::clone(&state);
    let clock = Clock::new();
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handling);
        async move { route(conn, state, clock).await }
    };
    let server = Server::start(settings.listen, Death::default(), handler)?;
    Ok((server, state))
}

async fn route(conn: Conn, state: Arc<StoreState>, clock: Clock) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Get, "/admin/counts") => return json(conn, &state.counts()),
        (Method::Put, "/admin/faults") => {
            return replace(conn, |faults| state.set_faults(faults)).await;
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
    let prefix: String = query(&conn, "prefix").unwrap_or_default();
    let mut inner = state.lock();
    inner.counts.reads += 1;
    let keys = inner
        .objects
        .keys()
        .filter(|key| key.starts_with(&prefix))
        .cloned()
        .collect();
    drop(inner);
    json(conn, &KeyList { keys })
}

fn get(conn: Conn, state: &StoreState, key: &str) -> Conn {
    let mut inner = state.lock();
    inner.counts.reads += 1;
    let outdated = inner.faults.stale_reads;
    let Some(object) = inner.objects.get(key) else {
        return conn.with_status(404).halt();
    };
    let (version, bytes) = match &object.before {
        Some((version, bytes)) if outdated => (*version, bytes.clone()),
        _ => (object.version, object.bytes.clone()),
    };
    drop(inner);
    answer(conn, version, bytes)
}

fn answer(mut conn: Conn, version: u64, bytes: Vec<u8>) -> Conn {
    conn.response_headers_mut()
        .insert("etag", version.to_string());
    conn.with_status(200).with_body(bytes).halt()
}

async fn put(mut conn: Conn, state: &StoreState, key: &str) -> Conn {
    let bytes = body(&mut conn).await;
    replace_object(conn, state, key, bytes)
}

fn replace_object(conn: Conn, state: &StoreState, key: &str, bytes: Vec<u8>) -> Conn {
    if bytes.len() > MAX_OBJECT_BYTES {
        return conn.with_status(413).halt();
    }
    let headers = conn.request_headers();
    let absent = headers.get_str("if-none-match").is_some();
    let wanted = headers.get_str("if-match").map(str::to_owned);
    let mut inner = state.lock();
    inner.counts.writes += 1;
    inner.counts.bytes_written += bytes.len() as u64;
    let current = inner.objects.get(key).map(|object| object.version);
    let wrong = absent && current.is_some()
        || wanted.is_some_and(|wanted| current.map(|version| version.to_string()) != Some(wanted));
    if wrong {
        inner.counts.conflicts += 1;
        return conn.with_status(412).halt();
    }
    inner.version += 1;
    let version = inner.version;
    let before = inner
        .objects
        .remove(key)
        .map(|object| (object.version, object.bytes));
    let object = Object {
        version,
        bytes,
        before,
    };
    inner.objects.insert(key.to_owned(), object);
    if inner.faults.lose_answers > 0 {
        inner.faults.lose_answers -= 1;
        drop(inner);
        return broken(conn);
    }
    drop(inner);
    answer(conn, version, Vec::new())
}

fn delete(conn: Conn, state: &StoreState, key: &str) -> Conn {
    let mut inner = state.lock();
    inner.counts.writes += 1;
    let known = inner.objects.remove(key).is_some();
    drop(inner);
    conn.with_status(if known { 204 } else { 404 }).halt()
}

async fn watch(conn: Conn, state: &StoreState, clock: Clock, key: &str) -> Conn {
    state.lock().counts.watches += 1;
    let after: u64 = query(&conn, "after").unwrap_or(0);
    let hold: u64 = query(&conn, "hold_ms").unwrap_or(MAX_HOLD_MS);
    let end = clock.now() + Duration::from_millis(hold.min(MAX_HOLD_MS));
    loop {
        match look(state, key, after) {
            Look::Down => return conn.with_status(503).halt(),
            Look::Newer(object) => return answer(conn, object.version, object.bytes),
            Look::Same if clock.now() >= end => return conn.with_status(204).halt(),
            Look::Same => {}
        }
        sleep(WATCH_POLL).await;
    }
}

enum Look {
    Down,
    Newer(Object),
    Same,
}

fn look(state: &StoreState, key: &str, after: u64) -> Look {
    let inner = state.lock();
    if inner.faults.down || inner.faults.silent {
        return Look::Down;
    }
    let found = inner
        .objects
        .get(key)
        .filter(|object| object.version > after);
    found.cloned().map_or(Look::Same, Look::Newer)
}
