//! HTTP responses to refused requests: status, headers and body.

use std::time::Duration;

use derive_more::derive;
use http_types::{StatusCode, headers};
use marigoldloom_claims::refusal as claim;
use marigoldloom_http::message;
use marigoldloom_query::refusal::{Kind, Refusal, RunStatus};
use serde::Serialize;

/// A malformed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Invalid {
    /// The path is not `/v1/services/{service}/{route}`.
    #[display("no such path; queries go to /v1/services/SERVICE/ROUTE")]
    Path,
    /// The method is not POST.
    #[display("the method must be POST")]
    Method,
    /// A required header is missing.
    #[display("header {name} is missing")]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A header has an invalid value.
    #[display("header {name}: {rule}")]
    Header {
        /// Name of the header.
        name: &'static str,
        /// Valid values.
        rule: &'static str,
    },
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorResponse<'a> {
    error: ErrorBody<'a>,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorBody<'a> {
    kind: &'a str,
    message: String,
    run: RunStatus,
    retry_after_ms: Option<u64>,
}

/// Returns the response to a malformed request, which has not run.
pub fn invalid_response(error: &Invalid) -> message::Response {
    let status = match error {
        Invalid::Path => StatusCode::NotFound,
        Invalid::Method => StatusCode::MethodNotAllowed,
        Invalid::Missing { .. } | Invalid::Header { .. } => StatusCode::BadRequest,
    };
    let body = ErrorBody {
        kind: "invalid_request",
        message: error.to_string(),
        run: RunStatus::NotRun,
        retry_after_ms: None,
    };
    message::Response::json_body(status, &ErrorResponse { error: body })
}

/// Returns the response to a refused request.
pub fn response(refusal: &Refusal) -> message::Response {
    let response = message::Response::json_body(kind_status(refusal.kind), refusal);
    with_retry_after(response, refusal.retry_after)
}

/// Returns the response to a request whose claim on its idempotency key was refused.
pub fn claim_response(refusal: claim::Refusal) -> message::Response {
    let run = match refusal.run_status() {
        claim::RunStatus::NotRun => RunStatus::NotRun,
        claim::RunStatus::Unknown => RunStatus::Unknown,
    };
    let (status, kind) = claim_status(refusal);
    let body = ErrorBody {
        kind,
        message: refusal.to_string(),
        run,
        retry_after_ms: None,
    };
    message::Response::json_body(status, &ErrorResponse { error: body })
}

/// Adds the header `Retry-After`, in whole seconds rounded up.
pub fn with_retry_after(
    mut response: message::Response,
    retry_after: Option<Duration>,
) -> message::Response {
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        response
            .head
            .insert_header(headers::RETRY_AFTER, seconds.to_string());
    }
    response
}

/// Returns the name of a refusal's kind in response bodies and metrics.
pub fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::UnknownService => "unknown_service",
        Kind::UnknownRoute => "unknown_route",
        Kind::UnknownVersion => "unknown_version",
        Kind::KeyRequired => "key_required",
        Kind::KeyRefused => "key_refused",
        Kind::Expired => "expired",
        Kind::Quarantined => "quarantined",
        Kind::Crashed => "crashed",
        Kind::Unavailable => "unavailable",
        Kind::Overloaded => "overloaded",
        Kind::Draining => "draining",
        Kind::NotReady => "not_ready",
        Kind::Unclaimed => "unclaimed",
        Kind::KeyUsed => "key_used",
    }
}

fn kind_status(kind: Kind) -> StatusCode {
    match kind {
        Kind::UnknownService | Kind::UnknownRoute => StatusCode::NotFound,
        Kind::KeyRequired | Kind::KeyRefused => StatusCode::BadRequest,
        Kind::KeyUsed => StatusCode::Conflict,
        Kind::Quarantined => StatusCode::UnprocessableEntity,
        Kind::Overloaded => StatusCode::TooManyRequests,
        Kind::Crashed => StatusCode::BadGateway,
        Kind::Expired => StatusCode::GatewayTimeout,
        Kind::UnknownVersion
        | Kind::Unavailable
        | Kind::Draining
        | Kind::NotReady
        | Kind::Unclaimed => StatusCode::ServiceUnavailable,
    }
}

fn claim_status(refusal: claim::Refusal) -> (StatusCode, &'static str) {
    match refusal {
        claim::Refusal::InvalidKey => (StatusCode::BadRequest, "invalid_key"),
        claim::Refusal::KeyReused => (StatusCode::Conflict, "key_reused"),
        claim::Refusal::ClaimHeld => (StatusCode::Conflict, "key_used"),
        claim::Refusal::BucketFull => (StatusCode::ServiceUnavailable, "claims_full"),
        claim::Refusal::NoClaim { .. } => (StatusCode::ServiceUnavailable, "unclaimed"),
        claim::Refusal::BucketUnreadable => (StatusCode::ServiceUnavailable, "claims_unreadable"),
        claim::Refusal::Late { .. } => (StatusCode::GatewayTimeout, "expired"),
        claim::Refusal::NotRun => (StatusCode::ServiceUnavailable, "unavailable"),
        claim::Refusal::OutcomeUnknown => (StatusCode::GatewayTimeout, "outcome_unknown"),
    }
}
