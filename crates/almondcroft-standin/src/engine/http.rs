//! HTTP interface of the simulated engine, which steps it in real time.

use super::{Engine, EngineFaults, EngineSpec, Generation, draw_output_length, token_text};
use crate::request::{json_response, query_param, read_body, replace_from_body, reset_connection};
use crate::server::{CrashFlag, Server, ServerError};
use almondcroft_core::Timestamp;
use almondcroft_proto::caller::CompletionRequest;
use almondcroft_proto::engine::{DONE, GENERATIONS_PATH, LOAD_PATH, LoadResponse};
use almondcroft_proto::sse::Event;
use almondcroftd::http::{BodySender, stream_body};
use almondcroftd::{Clock, sleep, spawn};
use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use trillium::{Conn, Method};

/// Time between two polls for work while the engine is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time for which a finished generation can still be resumed.
const OUTPUT_RETENTION: Duration = Duration::from_secs(30);

/// Number of past load reports kept, so that delayed ones can be returned.
const MAX_LOAD_REPORTS: usize = 4096;

/// Length of the comment that opens a stream, in bytes; it makes the first event leave the server
/// without delay.
const OPENING_COMMENT_BYTES: usize = 2048;

/// Approximate bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Median output length of requests that do not state one, in tokens.
const MEDIAN_LENGTH: f64 = 120.0;

/// Request field that states the exact output length, in tokens.
const LENGTH_FIELD: &str = "standin_tokens";

/// Settings of an engine process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Size and speed.
    #[serde(default)]
    pub spec: EngineSpec,
    /// Initial faults.
    #[serde(default)]
    pub faults: EngineFaults,
    /// Whether a simulated crash ends the process.
    #[serde(default)]
    pub exit_on_death: bool,
}

struct Output {
    seed: u64,
    chat: bool,
    produced: u64,
    finished: Option<Timestamp>,
    readers: Vec<Sender<()>>,
    attached: usize,
}

struct Inner {
    engine: Engine,
    outputs: HashMap<SmolStr, Output>,
    faults: EngineFaults,
    /// Number of times that `freeze_streams` was set; readers opened before the last one freeze.
    freeze_epoch: u64,
    reports: VecDeque<(Timestamp, LoadResponse)>,
}

struct State {
    inner: Mutex<Inner>,
    clock: Clock,
    crashed: CrashFlag,
    crash_sender: Sender<()>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self) {
        let _ = self.crash_sender.try_send(());
    }
}

/// Starts an engine.
///
/// # Errors
///
/// Returns a [`ServerError`] if the engine cannot listen at the address.
pub fn start(settings: EngineSettings) -> Result<Arc<Server>, ServerError> {
    let crashed = CrashFlag::default();
    let (crash_sender, crash_receiver) = async_channel::bounded(1);
    let state = Arc::new(State {
        inner: Mutex::new(Inner {
            engine: Engine::new(settings.spec),
            outputs: HashMap::new(),
            faults: settings.faults,
            freeze_epoch: 0,
            reports: VecDeque::new(),
        }),
        clock: Clock::new(),
        crashed: crashed.clone(),
        crash_sender,
    });
    let handler_state = Arc::clone(&state);
    let handler = move |conn: Conn| {
        let state = Arc::clone(&handler_state);
        async move { route(conn, state).await }
    };
    let server = Arc::new(Server::start(settings.listen, crashed, handler)?);
    spawn(run(state));
    spawn(wait_for_crash(
        Arc::clone(&server),
        crash_receiver,
        settings.exit_on_death,
    ));
    Ok(server)
}

async fn wait_for_crash(server: Arc<Server>, crash_receiver: Receiver<()>, exit: bool) {
    if crash_receiver.recv().await.is_ok() {
        if exit {
            std::process::exit(101);
        }
        server.crash().await;
    }
}

/// Steps the engine in real time.
async fn run(state: Arc<State>) {
    while !state.crashed.is_set() {
        let now = state.clock.now();
        let idle = state.lock().engine.is_idle();
        if idle {
            record_load_report(&state, now);
            sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        let step = state.lock().engine.step();
        sleep(step.time).await;
        if !publish(&state, step.tokens, now) {
            state.crash();
            return;
        }
        record_load_report(&state, now);
    }
}

/// Records new tokens and wakes their readers; returns false if a fault crashes the engine.
fn publish(state: &State, tokens: Vec<(SmolStr, u64, bool)>, now: Timestamp) -> bool {
    let mut inner = state.lock();
    let die_at = inner.faults.die_at_token;
    for (id, offset, last) in tokens {
        if inner.faults.die_before_token || die_at.is_some_and(|limit| offset >= limit) {
            return false;
        }
        let Some(output) = inner.outputs.get_mut(&id) else {
            continue;
        };
        output.produced = offset + 1;
        if last {
            output.finished = Some(now);
        }
        output.readers.retain(|reader| !reader.is_closed());
        for reader in &output.readers {
            let _ = reader.try_send(());
        }
    }
    inner.outputs.retain(|_, output| {
        output.attached > 0 || output.finished.is_none_or(|at| at + OUTPUT_RETENTION > now)
    });
    true
}

fn record_load_report(state: &State, now: Timestamp) {
    let mut inner = state.lock();
    let report = LoadResponse {
        age_ms: 0,
        running: u32::try_from(inner.engine.running()).unwrap_or(u32::MAX),
        waiting: u32::try_from(inner.engine.waiting()).unwrap_or(u32::MAX),
        kv_used: inner.engine.kv_used(),
        kv_total: inner.engine.kv_total(),
        preemptions: inner.engine.preemptions(),
        leaving: false,
    };
    inner.reports.push_back((now, report));
    if inner.reports.len() > MAX_LOAD_REPORTS {
        inner.reports.pop_front();
    }
}

async fn route(conn: Conn, state: Arc<State>) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Post, "/v1/completions") => generate(conn, state, false).await,
        (Method::Post, "/v1/chat/completions") => generate(conn, state, true).await,
        (Method::Get, LOAD_PATH) => load_report(conn, &state),
        (Method::Put, "/admin/faults") => set_faults(conn, &state).await,
        (Method::Get, "/admin/state") => admin_state(conn, &state),
        (method, path) => match path.strip_prefix(GENERATIONS_PATH) {
            Some(id) if method == Method::Get => resume(conn, &state, id),
            Some(id) if method == Method::Delete => cancel(conn, &state, id),
            _ => conn.with_status(404).halt(),
        },
    }
}

async fn set_faults(conn: Conn, state: &Arc<State>) -> Conn {
    replace_from_body(conn, |faults: EngineFaults| {
        let mut inner = state.lock();
        if faults.freeze_streams {
            inner.freeze_epoch += 1;
        }
        inner.faults = faults;
    })
    .await
}

fn admin_state(conn: Conn, state: &State) -> Conn {
    let inner = state.lock();
    let value = serde_json::json!({
        "running": inner.engine.running(),
        "waiting": inner.engine.waiting(),
        "generations": inner.outputs.len(),
        "preemptions": inner.engine.preemptions(),
    });
    drop(inner);
    json_response(conn, &value)
}

fn load_report(conn: Conn, state: &State) -> Conn {
    let now = state.clock.now();
    let inner = state.lock();
    let lag = Duration::from_millis(inner.faults.report_lag_ms);
    let wanted = now.saturating_sub(lag);
    let found = inner.reports.iter().rev().find(|(at, _)| *at <= wanted);
    let (at, mut report) = found
        .or(inner.reports.front())
        .copied()
        .unwrap_or((now, LoadResponse::default()));
    report.age_ms = u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(0);
    report.leaving = inner.faults.leaving;
    drop(inner);
    json_response(conn, &report)
}

async fn generate(mut conn: Conn, state: Arc<State>, chat: bool) -> Conn {
    let bytes = read_body(&mut conn).await;
    let Ok(request) = CompletionRequest::decode(&bytes, chat) else {
        return conn.with_status(400).halt();
    };
    match accept(&state, &request, chat) {
        Acceptance::Stream(id) => stream_response(conn, &state, id, 0),
        Acceptance::Refuse => conn.with_status(503).halt(),
        Acceptance::Crash => {
            state.crash();
            // The listener closes before the connection is reset, as when a process crashes.
            sleep(Duration::from_millis(100)).await;
            reset_connection(conn)
        }
    }
}

enum Acceptance {
    Stream(SmolStr),
    Refuse,
    Crash,
}

fn accept(state: &State, request: &CompletionRequest, chat: bool) -> Acceptance {
    let text = request.text();
    let mut inner = state.lock();
    if inner.faults.refuse {
        return Acceptance::Refuse;
    }
    let marker = inner.faults.crash_marker.as_ref();
    if marker.is_some_and(|marker| text.contains(marker)) {
        return Acceptance::Crash;
    }
    let field = |name: &str| request.rest.get(name);
    let id = field("request_id").and_then(|id| id.as_str());
    let id = id.map_or_else(|| uuid::Uuid::new_v4().to_string().into(), SmolStr::from);
    let seed = hash(&text);
    let stated = field(LENGTH_FIELD).and_then(serde_json::Value::as_u64);
    let length = stated.unwrap_or_else(|| draw_output_length(seed, MEDIAN_LENGTH));
    let limit = request.max_tokens.map_or(u64::MAX, u64::from);
    let priority = field("priority").and_then(serde_json::Value::as_u64);
    let priority = priority.and_then(|value| u8::try_from(value).ok());
    let prompt = (text.len() / BYTES_PER_TOKEN + 1) as u64;
    let generation = Generation::new(id.clone(), prompt, length.min(limit), state.clock.now())
        .priority(priority.unwrap_or(1));
    inner.engine.submit(generation);
    let output = Output {
        seed,
        chat,
        produced: 0,
        finished: None,
        readers: Vec::new(),
        attached: 0,
    };
    inner.outputs.insert(id.clone(), output);
    Acceptance::Stream(id)
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn resume(conn: Conn, state: &Arc<State>, id: &str) -> Conn {
    let from = query_param(&conn, "from").unwrap_or(0);
    if !state.lock().outputs.contains_key(id) {
        return conn.with_status(404).halt();
    }
    stream_response(conn, state, id.into(), from)
}

fn cancel(conn: Conn, state: &State, id: &str) -> Conn {
    let only_detached = query_param(&conn, "detached").unwrap_or(false);
    let mut inner = state.lock();
    let attached = inner
        .outputs
        .get(id)
        .is_some_and(|output| output.attached > 0);
    if only_detached && attached {
        return conn.with_status(409).halt();
    }
    let cancelled = inner.engine.cancel(id);
    inner.outputs.remove(id);
    drop(inner);
    conn.with_status(if cancelled { 204 } else { 404 }).halt()
}

fn stream_response(mut conn: Conn, state: &Arc<State>, id: SmolStr, from: u64) -> Conn {
    let (sender, body) = stream_body();
    let (wake, woken) = async_channel::bounded(1);
    let mut inner = state.lock();
    let freeze_epoch = inner.freeze_epoch;
    if let Some(output) = inner.outputs.get_mut(&id) {
        output.readers.push(wake);
        output.attached += 1;
    }
    drop(inner);
    let reader = Reader {
        state: Arc::clone(state),
        id,
        next_offset: from,
        freeze_epoch,
        woken,
    };
    spawn(reader.run(sender));
    conn.response_headers_mut()
        .insert("content-type", "text/event-stream");
    conn.with_status(200).with_body(body).halt()
}

struct Reader {
    state: Arc<State>,
    id: SmolStr,
    next_offset: u64,
    freeze_epoch: u64,
    woken: Receiver<()>,
}

enum OutputPoll {
    Events(Vec<u8>, bool),
    Wait,
    Frozen,
    Gone,
}

impl Reader {
    async fn run(mut self, sender: BodySender) {
        let mut opening = vec![b':'; OPENING_COMMENT_BYTES];
        opening.extend_from_slice(b"\n\n");
        if sender.send(Ok(opening)).await.is_ok() {
            self.forward_events(&sender).await;
        }
        if let Some(output) = self.state.lock().outputs.get_mut(&self.id) {
            output.attached = output.attached.saturating_sub(1);
        }
    }

    async fn forward_events(&mut self, sender: &BodySender) {
        loop {
            if self.state.crashed.is_set() {
                sender.reset(std::io::ErrorKind::ConnectionReset.into());
                return;
            }
            match self.poll_output() {
                OutputPoll::Gone => return,
                OutputPoll::Frozen => {
                    sleep(Duration::from_millis(200)).await;
                    if sender.is_closed() {
                        return;
                    }
                }
                OutputPoll::Wait => {
                    let woken = async {
                        let _ = self.woken.recv().await;
                    };
                    let timeout = sleep(Duration::from_millis(100));
                    futures_lite::future::or(woken, timeout).await;
                    if sender.is_closed() {
                        return;
                    }
                }
                OutputPoll::Events(bytes, ended) => {
                    if sender.send(Ok(bytes)).await.is_err() || ended {
                        return;
                    }
                }
            }
        }
    }

    fn poll_output(&mut self) -> OutputPoll {
        let inner = self.state.lock();
        if inner.freeze_epoch > self.freeze_epoch {
            return OutputPoll::Frozen;
        }
        let Some(output) = inner.outputs.get(&self.id) else {
            return OutputPoll::Gone;
        };
        let finished = output.finished.is_some();
        if self.next_offset >= output.produced && !finished {
            return OutputPoll::Wait;
        }
        let mut bytes = Vec::new();
        while self.next_offset < output.produced {
            let text = token_text(output.seed, self.next_offset);
            let data = chunk_json(&self.id, output.chat, &text, None);
            encode_event(&mut bytes, &inner.faults, self.next_offset, data);
            self.next_offset += 1;
        }
        if finished {
            let data = chunk_json(&self.id, output.chat, "", Some("stop"));
            encode_event(&mut bytes, &EngineFaults::default(), output.produced, data);
            bytes.extend_from_slice(format!("data: {DONE}\n\n").as_bytes());
        }
        OutputPoll::Events(bytes, finished)
    }
}

fn encode_event(bytes: &mut Vec<u8>, faults: &EngineFaults, offset: u64, data: String) {
    let applies = |every: Option<u64>| every.is_some_and(|every| offset % every == every - 1);
    if applies(faults.cross_every) {
        let foreign = Event {
            id: Some(offset.to_string()),
            event: None,
            data: self::chunk_json("gen-foreign", false, "foreign ", None),
        };
        foreign.encode_into(bytes);
    }
    if applies(faults.skip_every) {
        return;
    }
    let event = Event {
        id: Some(offset.to_string()),
        event: None,
        data,
    };
    event.encode_into(bytes);
    if applies(faults.duplicate_every) {
        event.encode_into(bytes);
    }
}

fn chunk_json(id: &str, chat: bool, text: &str, reason: Option<&str>) -> String {
    let choice = if chat {
        serde_json::json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": reason})
    };
    serde_json::json!({"id": id, "choices": [choice]}).to_string()
}
