//! Calls to plain services.

use super::admission::AdmittedRequest;
use super::reply;
use crate::app::App;
use crate::calls::{Call, PlainResponse};
use almondcroft_core::Verdict;
use almondcroft_core::config::ServiceKind;
use almondcroft_proto::Problem;
use almondcroft_proto::caller::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, is_idempotency_key};
use almondcroft_proto::problem::VERDICT_HEADER;
use std::sync::Arc;
use trillium::Conn;

/// Handles a call to `{service}/{path}`.
pub(crate) async fn handle(mut conn: Conn, app: &Arc<App>, rest: &str) -> Conn {
    let admitted = match AdmittedRequest::admit(&conn, app) {
        Ok(admitted) => admitted,
        Err(problem) => return reply_with_problem(conn, app, &problem),
    };
    let call = match prepare(&mut conn, app, &admitted, rest).await {
        Ok(call) => call,
        Err(problem) => return reply_with_problem(conn, app, &problem),
    };
    // The call continues if the caller disconnects, so that its outcome is recorded for a retry.
    match call.run(Arc::clone(app)).await {
        Ok(response) => respond(conn, &admitted, response),
        Err(problem) => reply_with_problem(conn, app, &problem.request_id(&admitted.id)),
    }
}

fn reply_with_problem(conn: Conn, app: &App, problem: &Problem) -> Conn {
    app.metrics.count_verdict(problem.verdict);
    reply::problem(conn, problem)
}

fn respond(mut conn: Conn, admitted: &AdmittedRequest, response: PlainResponse) -> Conn {
    let headers = conn.response_headers_mut();
    headers.insert(REQUEST_ID_HEADER, admitted.id.to_string());
    headers.insert(VERDICT_HEADER, Verdict::Ran.as_str());
    if let Some(media_type) = response.media_type {
        headers.insert("content-type", media_type.to_string());
    }
    conn.with_status(response.status)
        .with_body(response.body)
        .halt()
}

async fn prepare(
    conn: &mut Conn,
    app: &Arc<App>,
    admitted: &AdmittedRequest,
    rest: &str,
) -> Result<Call, Problem> {
    let (id, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, terms) = admitted.service(id, ServiceKind::Plain, "service")?;
    let deadline = admitted.deadline(conn, app, &terms)?;
    let key = conn.request_headers().get_str(IDEMPOTENCY_KEY_HEADER);
    let key = key.map(str::to_owned);
    if !service.idempotent && key.as_deref().is_none_or(|key| !is_idempotency_key(key)) {
        return Err(admitted
            .problem(400, "key-missing", Verdict::NotRun)
            .detail("this service may not be repeated: send an Idempotency-Key of 1 to 128 bytes")
            .field(IDEMPOTENCY_KEY_HEADER));
    }
    let query = conn.querystring();
    let path = if query.is_empty() {
        format!("/{path}")
    } else {
        format!("/{path}?{query}")
    };
    let media_type = conn.request_headers().get_str("content-type");
    let media_type = media_type.map(Into::into);
    let method = conn.method();
    let body = admitted.body(conn, app).await?;
    Ok(Call {
        request: admitted.id.clone(),
        customer: admitted.customer.id.clone(),
        service,
        terms,
        method,
        path,
        media_type,
        body,
        key,
        deadline,
    })
}
