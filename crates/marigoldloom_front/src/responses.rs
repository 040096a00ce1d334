//! Responses to callers, from answers and refusals of the engine.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use marigoldloom_query::answer::{Answer, Part, Reason};
use marigoldloom_query::refusal::{Refusal, RunStatus};

/// Converts the answer of one upstream into an unchanged HTTP response.
pub(crate) fn into_response(part: Part) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(part.body.0)));
    if let Some(head) = part.head {
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }
    response
}

/// HTTP status for a refusal. 503 states that the request has not run; with the others it may
/// have run.
pub(crate) const fn refusal_status(refusal: &Refusal) -> StatusCode {
    match (refusal.run, refusal.reason) {
        (RunStatus::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (RunStatus::Unknown, Some(Reason::TimedOut)) => StatusCode::GATEWAY_TIMEOUT,
        (RunStatus::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}

/// Whether a query without enough parts may have run on an upstream.
pub(crate) fn run_status(answer: &Answer) -> RunStatus {
    let mut missing = answer.coverage.missing.iter();
    match answer.results.is_empty() && missing.all(|m| m.reason == Reason::Unwilling) {
        true => RunStatus::NotRun,
        false => RunStatus::Unknown,
    }
}
