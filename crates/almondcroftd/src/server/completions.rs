//! Chat completions and text completions.

use super::admission::AdmittedRequest;
use super::reply;
use crate::app::App;
use crate::http::{BodySender, stream_body};
use crate::relay::{Job, Relay};
use crate::runtime::{spawn, within};
use almondcroft_core::config::ServiceKind;
use almondcroft_core::router::RouteRequest;
use almondcroft_core::{HandleError, ResumeHandle, Verdict};
use almondcroft_proto::Problem;
use almondcroft_proto::caller::{CompletionRequest, REQUEST_ID_HEADER, RESUME_HEADER};
use almondcroft_proto::engine::DONE;
use almondcroft_proto::sse::Event;
use serde_json::json;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use trillium::{Conn, Method};

/// Size of the comment that opens a stream, in bytes.
///
/// The comment fills the rest of the response head's buffer, which would otherwise delay the first
/// event.
const OPENING_BYTES: usize = 2048;

/// Time without a token after which a comment is sent, to detect a caller that has disconnected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of a prompt that count as its shared prefix.
const PREFIX_BYTES: usize = 256;

/// Handles a completion request.
pub(crate) async fn handle(conn: Conn, app: &Arc<App>, chat: bool) -> Conn {
    let resume = conn.request_headers().get_str(RESUME_HEADER).is_some();
    let method = conn.method();
    if method != Method::Post && !(resume && method == Method::Get) {
        let problem = Problem::new(405, "method", Verdict::NotRun).field("method");
        return reply::problem(conn, &problem);
    }
    let admitted = match AdmittedRequest::admit(&conn, app) {
        Ok(admitted) => admitted,
        Err(problem) => return reply_with_problem(conn, app, &problem),
    };
    let mut conn = conn;
    let started = if resume {
        resume_job(&conn, app, &admitted, chat)
    } else {
        new_job(&mut conn, app, &admitted, chat).await
    };
    let (job, stream) = match started {
        Ok(started) => started,
        Err(problem) => return reply_with_problem(conn, app, &problem),
    };
    run(conn, app, admitted, job, stream).await
}

fn reply_with_problem(conn: Conn, app: &App, problem: &Problem) -> Conn {
    app.metrics.count_verdict(problem.verdict);
    reply::problem(conn, problem)
}

async fn new_job(
    conn: &mut Conn,
    app: &Arc<App>,
    admitted: &AdmittedRequest,
    chat: bool,
) -> Result<(Job, bool), Problem> {
    let body = admitted.body(conn, app).await?;
    let request = CompletionRequest::decode(&body, chat).map_err(|error| {
        admitted
            .problem(400, "bad-request", Verdict::NotRun)
            .detail(error.message)
            .field(&error.path)
    })?;
    let (service, terms) = admitted.service(&request.model, ServiceKind::Engine, "model")?;
    let deadline = admitted.deadline(conn, app, &terms)?;
    let fingerprint = fingerprint(&request);
    if let Some(left) = app.quarantine().remaining(fingerprint, admitted.arrived_at) {
        return Err(admitted
            .problem(422, "quarantined", Verdict::NotRun)
            .detail("this request crashed the targets that ran it")
            .retry_after(left.as_secs() + 1));
    }
    let text = request.text();
    let stream = request.stream;
    let route = RouteRequest {
        // The caller may choose its request id and reuse it; placement needs a unique one.
        id: uuid::Uuid::new_v4().to_string().into(),
        customer: admitted.customer.id.clone(),
        service: service.id.clone(),
        priority: terms.priority,
        worth: terms.worth,
        deadline,
        prompt: u32::try_from(text.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        prefix: text.get(..PREFIX_BYTES).map(hash_of),
        region: app.settings.region.clone(),
        max_tokens: request.max_tokens,
        known_length: None,
    };
    let job = Job {
        request: admitted.id.clone(),
        route,
        body: engine_body(request, &service.model.unwrap_or_default(), terms.priority),
        fingerprint,
        chat,
        resume: None,
    };
    Ok((job, stream))
}

fn engine_body(mut request: CompletionRequest, model: &str, priority: u8) -> CompletionRequest {
    request.model = model.into();
    request.stream = true;
    request.rest.insert("priority".into(), json!(priority));
    request
}

fn fingerprint(request: &CompletionRequest) -> u64 {
    hash_of(&serde_json::to_string(request).unwrap_or_default())
}

fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn resume_job(
    conn: &Conn,
    app: &Arc<App>,
    admitted: &AdmittedRequest,
    chat: bool,
) -> Result<(Job, bool), Problem> {
    let text = conn.request_headers().get_str(RESUME_HEADER);
    let opened = ResumeHandle::open(
        text.unwrap_or_default(),
        &app.handle_key,
        &admitted.customer.id,
    );
    let handle = opened.map_err(|error| {
        let status = if error == HandleError::WrongCustomer {
            403
        } else {
            400
        };
        admitted
            .problem(status, "bad-resume-handle", Verdict::NotRun)
            .detail(error.to_string())
            .field(RESUME_HEADER)
    })?;
    if handle.chat != chat {
        return Err(admitted
            .problem(400, "bad-resume-handle", Verdict::NotRun)
            .detail("the handle belongs to the other completion endpoint")
            .field(RESUME_HEADER));
    }
    let (_, terms) = admitted.service(&handle.service, ServiceKind::Engine, RESUME_HEADER)?;
    let route = RouteRequest {
        id: uuid::Uuid::new_v4().to_string().into(),
        customer: admitted.customer.id.clone(),
        service: handle.service.clone(),
        priority: terms.priority,
        worth: terms.worth,
        deadline: admitted.deadline(conn, app, &terms)?,
        prompt: 0,
        prefix: None,
        region: app.settings.region.clone(),
        max_tokens: None,
        known_length: None,
    };
    let job = Job {
        request: admitted.id.clone(),
        route,
        body: CompletionRequest::default(),
        fingerprint: 0,
        chat,
        resume: Some(handle),
    };
    Ok((job, true))
}

async fn run(
    mut conn: Conn,
    app: &Arc<App>,
    admitted: AdmittedRequest,
    job: Job,
    stream: bool,
) -> Conn {
    let mut relay = Relay::new(Arc::clone(app), job);
    // Nothing has been sent yet, so an error can still be a response without a stream.
    let opened = conn
        .inner_mut()
        .cancel_on_disconnect(Box::pin(relay.open()))
        .await;
    let first = match opened {
        None => {
            relay.abandon();
            return conn.halt();
        }
        Some(Err(problem)) => return reply_with_problem(conn, app, &problem),
        Some(Ok(first)) => first,
    };
    conn.response_headers_mut()
        .insert(REQUEST_ID_HEADER, admitted.id.to_string());
    if stream {
        return start_stream(conn, app, admitted, relay, first);
    }
    let collected = conn
        .inner_mut()
        .cancel_on_disconnect(Box::pin(relay.collect(first)))
        .await;
    match collected {
        None => {
            relay.abandon();
            conn.halt()
        }
        Some(Ok(body)) => reply::json(conn, 200, body),
        Some(Err(problem)) => reply_with_problem(conn, app, &problem),
    }
}

fn start_stream(
    mut conn: Conn,
    app: &Arc<App>,
    admitted: AdmittedRequest,
    relay: Relay,
    first: Event,
) -> Conn {
    let (sender, body) = stream_body();
    let headers = conn.response_headers_mut();
    headers.insert("content-type", "text/event-stream");
    headers.insert("cache-control", "no-cache");
    let app = Arc::clone(app);
    spawn(async move {
        forward_events(&app, relay, first, &sender).await;
        drop(admitted);
    });
    conn.with_status(200).with_body(body).halt()
}

/// Forwards events to the caller until the generation ends or the caller has disconnected.
async fn forward_events(app: &Arc<App>, mut relay: Relay, first: Event, sender: &BodySender) {
    let mut opening = vec![b':'; OPENING_BYTES];
    opening.extend_from_slice(b"\n\n");
    first.encode_into(&mut opening);
    let mut connected = send(app, sender, opening).await;
    while connected {
        let Some(item) = next_item(app, &mut relay, sender).await else {
            break;
        };
        let (mut bytes, is_last) = encode_item(app, item);
        // Events that the engine sent together are forwarded together.
        while let Some(event) = relay.next_buffered() {
            event.encode_into(&mut bytes);
        }
        connected = send(app, sender, bytes).await;
        if is_last {
            return;
        }
    }
    relay.abandon();
}

/// Returns the next item, or `None` if the caller has disconnected.
///
/// Comments are sent while no item arrives. They don't cancel the pending call to the relay.
async fn next_item(app: &Arc<App>, relay: &mut Relay, sender: &BodySender) -> Option<Item> {
    let mut item = std::pin::pin!(relay.next());
    loop {
        if let Some(item) = within(KEEP_ALIVE_INTERVAL, &mut item).await {
            return Some(item);
        }
        if !send(app, sender, b": waiting\n\n".to_vec()).await {
            return None;
        }
    }
}

/// Item that a relay yields.
type Item = Result<Option<Event>, Problem>;

/// Encodes an item; returns whether it is the last one.
fn encode_item(app: &App, item: Item) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    match item {
        Ok(Some(event)) => {
            event.encode_into(&mut bytes);
            (bytes, false)
        }
        Ok(None) => {
            bytes.extend_from_slice(format!("data: {DONE}\n\n").as_bytes());
            (bytes, true)
        }
        Err(problem) => {
            app.metrics.count_verdict(problem.verdict);
            error_event(&problem).encode_into(&mut bytes);
            (bytes, true)
        }
    }
}

/// Sends bytes to the caller; returns whether its connection is open.
async fn send(app: &App, sender: &BodySender, bytes: Vec<u8>) -> bool {
    if app.lifecycle.is_crashed() {
        sender.reset(std::io::ErrorKind::ConnectionReset.into());
        return false;
    }
    // The connection fails once the caller has accepted no byte for the write time.
    sender.send(Ok(bytes)).await.is_ok()
}

fn error_event(problem: &Problem) -> Event {
    Event {
        id: None,
        event: Some("error".into()),
        data: problem.to_json(),
    }
}
