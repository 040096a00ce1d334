//! Encodes subqueries as HTTP requests and parses HTTP responses.

use std::str::FromStr;
use std::time::Duration;

use derive_more::derive;
use http_types::{Method, StatusCode};
use marigoldloom_http::message as http;
use marigoldloom_records::service;

use crate::message;
use crate::upstream;

/// Path of a subquery, sent with POST.
pub const QUERY_PATH: &str = "/v1/query";

/// Path of a cancellation, sent with POST.
pub const CANCEL_PATH: &str = "/v1/cancel";

/// Path of the upstream's report about itself, read with GET.
pub const STATUS_PATH: &str = "/v1/status";

/// Header with the caller's request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the subquery id in hexadecimal.
pub const SUBQUERY_ID: &str = "x-subquery-id";

/// Header with the shard number.
pub const SHARD: &str = "x-shard";

/// Header with the snapshot as `version@epoch`.
pub const SNAPSHOT: &str = "x-snapshot";

/// Header with the time until the deadline in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Header with the service name.
pub const SERVICE: &str = "x-service";

/// Header with the route name.
pub const ROUTE: &str = "x-route";

/// Header with the idempotency key of a subquery that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Reply header: number of requests running or queued.
pub const LOAD: &str = "x-load";

/// Reply header: number of requests that the upstream claims to run at the same time.
pub const CAPACITY: &str = "x-capacity";

/// Reply header: id of the process, different after each start.
pub const START_ID: &str = "x-start-id";

/// Reply header: `ready`, `cold` or `draining`.
pub const STATE: &str = "x-state";

/// Header of responses: time for which the upstream wants no requests from the recipient, in
/// milliseconds; missing if it doesn't say.
pub const PAUSE: &str = "x-pause-ms";

/// Reply header of a 504: [`NOT_RUN`] if the deadline had passed before the subquery ran.
pub const RUN_STATUS: &str = "x-run";

/// Value of [`RUN_STATUS`] if the subquery was not run.
pub const NOT_RUN: &str = "not_run";

/// Headers of a subquery that the reply must repeat, so that it can be matched to the
/// subquery, shard and snapshot.
pub const ECHOED: [&str; 4] = [REQUEST_ID, SUBQUERY_ID, SHARD, SNAPSHOT];

/// A header of a subquery is missing or has no valid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("header {name} is missing or invalid")]
pub struct BadHeader {
    /// Name of the header.
    pub name: &'static str,
}

/// Formats a snapshot as a header value.
pub fn format_snapshot(snapshot: &service::Snapshot) -> String {
    format!("{}@{}", snapshot.version, snapshot.epoch)
}

/// Parses a snapshot from a header value; `None` if it is invalid.
pub fn parse_snapshot(text: &str) -> Option<service::Snapshot> {
    let (version, epoch) = text.rsplit_once('@')?;
    Some(service::Snapshot {
        version: version.to_owned(),
        epoch: epoch.parse().ok()?,
    })
}

/// Parses a subquery id from a header value; `None` if it is invalid.
pub fn parse_subquery_id(text: &str) -> Option<message::SubqueryId> {
    u128::from_str_radix(text, 16).ok().map(message::SubqueryId)
}

/// Encodes a subquery as an HTTP request. `left` is the time until its deadline.
///
/// # Errors
///
/// [`http::InvalidHeader`] if a name or id isn't printable ASCII.
pub fn query_request(
    subquery: &message::Subquery,
    left: Duration,
) -> Result<http::Request, http::InvalidHeader> {
    let request = http::Request::new(Method::Post, QUERY_PATH)
        .with_header(REQUEST_ID, &subquery.request.0)?
        .with_header(SUBQUERY_ID, &subquery.id.to_string())?
        .with_header(SHARD, &subquery.shard.to_string())?
        .with_header(SNAPSHOT, &format_snapshot(&subquery.snapshot))?
        .with_header(DEADLINE, &left.as_millis().to_string())?
        .with_header(SERVICE, &subquery.service)?
        .with_header(ROUTE, &subquery.route)?
        .with_body(&*subquery.body);
    match &subquery.idempotency_key {
        Some(key) => request.with_header(IDEMPOTENCY_KEY, key),
        None => Ok(request),
    }
}

/// Encodes a cancellation as an HTTP request.
///
/// # Errors
///
/// [`http::InvalidHeader`] if the request id isn't printable ASCII.
pub fn cancel_request(
    request: &message::RequestId,
    id: message::SubqueryId,
) -> Result<http::Request, http::InvalidHeader> {
    http::Request::new(Method::Post, CANCEL_PATH)
        .with_header(REQUEST_ID, &request.0)?
        .with_header(SUBQUERY_ID, &id.to_string())
}

/// Creates a request for the upstream's report about itself. It takes no slot of the upstream.
pub fn status_request() -> http::Request {
    http::Request::new(Method::Get, STATUS_PATH)
}

/// Parses the response to [`status_request`]; `None` if it contains no report.
pub fn parse_status(response: &http::Response) -> Option<message::Report> {
    match response.status() {
        StatusCode::Ok => serde_json::from_slice(&response.body).ok(),
        _ => None,
    }
}

/// Parses an HTTP response into the outcome of `subquery`.
///
/// # Errors
///
/// As documented on [`upstream::Error`]. A refusal counts as "not run" only if its headers
/// match the subquery; otherwise it may belong to another one.
pub fn parse_response(
    subquery: &message::Subquery,
    response: http::Response,
) -> Result<message::Reply, upstream::Error> {
    let report = parse_report(&response);
    let status = response.status();
    match (compare_echo(subquery, &response), status) {
        (Echo::Other, _) | (Echo::Absent, StatusCode::Ok) => Err(upstream::Error::Mismatch),
        (Echo::Same, StatusCode::Ok) => Ok(message::Reply {
            body: response.body,
            head: None,
            report: report.unwrap_or_default(),
        }),
        (Echo::Same, StatusCode::GatewayTimeout) if !says_not_run(&response) => {
            Err(upstream::Error::TimedOut)
        }
        (Echo::Same, _) => Err(match refusal_for_status(status) {
            Some(refusal) => upstream::Error::Refused { refusal, report },
            None => failed(status, report),
        }),
        (Echo::Absent, _) => Err(failed(status, report)),
    }
}

fn failed(status: StatusCode, report: Option<message::Report>) -> upstream::Error {
    upstream::Error::Failed {
        status: status.into(),
        report,
        reply: None,
    }
}

const fn refusal_for_status(status: StatusCode) -> Option<upstream::Refusal> {
    match status {
        StatusCode::Conflict => Some(upstream::Refusal::SnapshotGone),
        StatusCode::Gone => Some(upstream::Refusal::ShardGone),
        StatusCode::TooManyRequests => Some(upstream::Refusal::Shed),
        StatusCode::ServiceUnavailable => Some(upstream::Refusal::Draining),
        StatusCode::GatewayTimeout => Some(upstream::Refusal::Expired),
        _ => None,
    }
}

fn says_not_run(response: &http::Response) -> bool {
    response.header(RUN_STATUS) == Some(NOT_RUN)
}

/// How the [`ECHOED`] headers of a response compare with the subquery.
enum Echo {
    /// All match.
    Same,
    /// Some differ or are missing.
    Other,
    /// All are missing.
    Absent,
}

/// Whether the response contains any header that tells which subquery it answers.
pub(crate) fn has_echo(response: &http::Response) -> bool {
    ECHOED.iter().any(|name| response.header(name).is_some())
}

fn compare_echo(subquery: &message::Subquery, response: &http::Response) -> Echo {
    let id = subquery.id.to_string();
    let shard = subquery.shard.to_string();
    let snapshot = format_snapshot(&subquery.snapshot);
    let expected = [&*subquery.request.0, &id, &shard, &snapshot];
    let received = ECHOED.map(|name| response.header(name));
    match has_echo(response) {
        false => Echo::Absent,
        true if received == expected.map(Some) => Echo::Same,
        true => Echo::Other,
    }
}

/// Parses the upstream's report from response headers; `None` if all of them are missing.
pub fn parse_report(response: &http::Response) -> Option<message::Report> {
    let state = match response.header(STATE) {
        Some("ready") => Some(message::State::Ready),
        Some("cold") => Some(message::State::Cold),
        Some("draining") => Some(message::State::Draining),
        _ => None,
    };
    let load = parse_header(response, LOAD);
    let capacity = parse_header(response, CAPACITY);
    let start = parse_header(response, START_ID);
    let absent = load.is_none() && capacity.is_none() && start.is_none() && state.is_none();
    (!absent).then(|| message::Report {
        load: load.unwrap_or_default(),
        capacity: capacity.unwrap_or_default(),
        start_id: start.unwrap_or_default(),
        state: state.unwrap_or_default(),
        pause_ms: parse_header(response, PAUSE).unwrap_or_default(),
    })
}

fn parse_header<T: FromStr>(response: &http::Response, name: &str) -> Option<T> {
    response.header(name).and_then(|text| text.parse().ok())
}

/// Adds an upstream's report to a response.
///
/// # Errors
///
/// [`http::InvalidHeader`], which doesn't occur: each value is a number or a fixed word.
pub fn with_report(
    response: http::Response,
    report: &message::Report,
) -> Result<http::Response, http::InvalidHeader> {
    response
        .with_header(LOAD, &report.load.to_string())?
        .with_header(CAPACITY, &report.capacity.to_string())?
        .with_header(START_ID, &report.start_id.to_string())?
        .with_header(STATE, &report.state.to_string())
        .and_then(|response| match report.pause_ms {
            0 => Ok(response),
            pause => response.with_header(PAUSE, &pause.to_string()),
        })
}
