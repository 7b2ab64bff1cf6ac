//! Responses with a problem or JSON.

use almondcroft_core::Verdict;
use almondcroft_proto::Problem;
use almondcroft_proto::caller::REQUEST_ID_HEADER;
use almondcroft_proto::problem::{PROBLEM_MEDIA_TYPE, VERDICT_HEADER};
use trillium::Conn;

/// Responds with a problem.
pub(crate) fn problem(mut conn: Conn, problem: &Problem) -> Conn {
    let headers = conn.response_headers_mut();
    headers.insert("content-type", PROBLEM_MEDIA_TYPE);
    headers.insert(VERDICT_HEADER, problem.verdict.as_str());
    if let Some(seconds) = problem.retry_after_s {
        headers.insert("retry-after", seconds.to_string());
    }
    if let Some(id) = &problem.request_id {
        headers.insert(REQUEST_ID_HEADER, id.to_string());
    }
    conn.with_status(problem.status)
        .with_body(problem.to_json())
        .halt()
}

/// Responds with JSON.
pub(crate) fn json(mut conn: Conn, status: u16, body: String) -> Conn {
    conn.response_headers_mut()
        .insert("content-type", "application/json");
    conn.with_status(status).with_body(body).halt()
}

/// Responds to a request for a path that does not exist.
pub(crate) fn unknown_path(conn: Conn) -> Conn {
    let not_found = Problem::new(404, "unknown-path", Verdict::NotRun)
        .detail("there is no such path")
        .field("path");
    problem(conn, &not_found)
}
