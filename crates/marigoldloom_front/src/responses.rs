//! Responses to callers, from answers and refusals of the engine.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use marigoldloom_query::answer::{Answer, Part, Reason};
use marigoldloom_query::refusal::{Refusal, RunStatus};

use crate::body::{self, Memory};

/// Converts the answer of one upstream into an unchanged HTTP response, whose body uses `memory`.
///
/// # Errors
///
/// [`body::Error::NoMemory`] if too little is left.
pub(crate) fn into_response(
    part: Part,
    memory: &Memory,
) -> Result<Response<Full<Bytes>>, body::Error> {
    let body = body::hold(part.body.0, memory)?;
    let mut response = Response::new(Full::new(body));
    if let Some(head) = part.head {
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }
    Ok(response)
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
