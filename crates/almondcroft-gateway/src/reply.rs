//! Replies of the gateway's own, for requests without a target's response.

use almondcroft_core::Verdict;
use almondcroft_proto::Problem;
use almondcroft_proto::http1::Headers;
use almondcroft_proto::problem::{PROBLEM_MEDIA_TYPE, VERDICT_HEADER};
use smol_str::SmolStr;
use std::time::Duration;

/// A reply that the gateway makes itself.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) kind: &'static str,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl Reply {
    /// Creates a reply to a request that neither ran nor will run; the caller may retry it.
    pub(crate) const fn refused(kind: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            kind,
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a reply to an invalid request, which did not run.
    pub(crate) const fn rejected(status: u16, kind: &'static str) -> Self {
        Self {
            status,
            kind,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Creates a reply to a request that failed and may have run.
    pub(crate) const fn failed(status: u16, kind: &'static str) -> Self {
        Self {
            status,
            kind,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// Returns the headers and the body.
    pub(crate) fn to_parts(&self, id: Option<&SmolStr>) -> (Headers, Vec<u8>) {
        let mut problem = Problem::new(self.status, self.kind, self.verdict);
        let mut headers = Headers::default();
        headers.push("content-type", PROBLEM_MEDIA_TYPE.as_bytes());
        headers.push(VERDICT_HEADER, self.verdict.as_str().as_bytes());
        if let Some(time) = self.retry_after {
            headers.push(
                "retry-after",
                format!("{:.2}", time.as_secs_f64()).as_bytes(),
            );
            problem = problem.retry_after(time.as_secs().max(1));
        }
        if let Some(id) = id {
            problem = problem.request_id(id);
        }
        (headers, problem.to_json().into_bytes())
    }
}

/// Returns the usual reason phrase of a status.
pub(crate) const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
