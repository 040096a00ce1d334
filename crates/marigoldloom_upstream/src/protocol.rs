//! How subqueries and answers are written as HTTP messages.

use std::str::FromStr;
use std::time::Duration;

use derive_more::derive;
use http_types::{Method, StatusCode};
use marigoldloom_http::message as http;
use marigoldloom_records::service;

use crate::message;
use crate::upstream;

/// Path of subqueries.
pub const QUERY_PATH: &str = "/v1/query";

/// Path of cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";

/// Path of the upstream's report about itself.
pub const STATUS_PATH: &str = "/v1/status";

/// Header with the caller's request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the subquery id in hexadecimal.
pub const SUBQUERY_ID: &str = "x-subquery-id";

/// Header with the shard number.
pub const SHARD: &str = "x-shard";

/// Header with the snapshot as `version@epoch`.
pub const SNAPSHOT: &str = "x-snapshot";

/// Header with the time left in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Header with the service name.
pub const SERVICE: &str = "x-service";

/// Header with the route name.
pub const ROUTE: &str = "x-route";

/// Header with the idempotency key of a subquery that must run at most once.
pub const KEY: &str = "idempotency-key";

/// Reply header: requests running or queued.
pub const LOAD: &str = "x-load";

/// Reply header: requests that the upstream says it can run at a time.
pub const CAPACITY: &str = "x-capacity";

/// Reply header: changes with each start of the process.
pub const START_ID: &str = "x-start-id";

/// Reply header: `ready`, `cold` or `draining`.
pub const STATE: &str = "x-state";

/// Reply header of a 504: [`NOT_RUN`] if the deadline had passed before the subquery ran.
pub const RUN: &str = "x-run";

/// Value of [`RUN`].
pub const NOT_RUN: &str = "not_run";

/// The headers that a reply must repeat, because a reply counts only for the
/// subquery, shard and snapshot it names.
pub const ECHOED: [&str; 4] = [REQUEST_ID, SUBQUERY_ID, SHARD, SNAPSHOT];

/// A header of a subquery is missing or has no valid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("header {name} is missing or invalid")]
pub struct BadHeader {
    /// Name of the header.
    pub name: &'static str,
}

/// Writes a snapshot as a header value.
pub fn snapshot_text(snapshot: &service::Snapshot) -> String {
    format!("{}@{}", snapshot.version, snapshot.epoch)
}

/// Reads a snapshot from a header value.
pub fn parse_snapshot(text: &str) -> Option<service::Snapshot> {
    let (version, epoch) = text.rsplit_once('@')?;
    Some(service::Snapshot {
        version: version.to_owned(),
        epoch: epoch.parse().ok()?,
    })
}

/// Reads a subquery id from a header value.
pub fn parse_id(text: &str) -> Option<message::SubqueryId> {
    u128::from_str_radix(text, 16).ok().map(message::SubqueryId)
}

/// Writes a subquery as an HTTP request. `left` is the time until its deadline.
///
/// # Errors
///
/// [`http::InvalidHeader`] if a name or id contains characters that headers can't carry.
pub fn query(
    subquery: &message::Subquery,
    left: Duration,
) -> Result<http::Request, http::InvalidHeader> {
    let request = http::Request::new(Method::Post, QUERY_PATH)
        .with_header(REQUEST_ID, &subquery.request.0)?
        .with_header(SUBQUERY_ID, &subquery.id.to_string())?
        .with_header(SHARD, &subquery.shard.to_string())?
        .with_header(SNAPSHOT, &snapshot_text(&subquery.snapshot))?
        .with_header(DEADLINE, &left.as_millis().to_string())?
        .with_header(SERVICE, &subquery.service)?
        .with_header(ROUTE, &subquery.route)?
        .with_body(&*subquery.body);
    match &subquery.key {
        Some(key) => request.with_header(KEY, key),
        None => Ok(request),
    }
}

/// Writes a cancellation as an HTTP request.
///
/// # Errors
///
/// [`http::InvalidHeader`] if the request id contains characters that headers can't carry.
pub fn cancel(
    request: &message::RequestId,
    id: message::SubqueryId,
) -> Result<http::Request, http::InvalidHeader> {
    http::Request::new(Method::Post, CANCEL_PATH)
        .with_header(REQUEST_ID, &request.0)?
        .with_header(SUBQUERY_ID, &id.to_string())
}

/// Asks the upstream for its report about itself, which takes no slot.
pub fn status() -> http::Request {
    http::Request::new(Method::Get, STATUS_PATH)
}

/// Reads the answer to [`status`]; `None` if it is not a report.
pub fn status_report(response: &http::Response) -> Option<message::Report> {
    match response.status() {
        StatusCode::Ok => serde_json::from_slice(&response.body).ok(),
        _ => None,
    }
}

/// Reads an HTTP response as the outcome of `subquery`.
///
/// # Errors
///
/// As documented on [`upstream::Error`]. A refusal counts as "not run" only if it
/// echoes the subquery: one that belongs to another subquery says nothing about this one.
pub fn outcome(
    subquery: &message::Subquery,
    response: http::Response,
) -> Result<message::Reply, upstream::Error> {
    let report = report(&response);
    let status = response.status();
    match (echo(subquery, &response), status) {
        (Echo::Other, _) | (Echo::Absent, StatusCode::Ok) => Err(upstream::Error::Mismatch),
        (Echo::Same, StatusCode::Ok) => Ok(message::Reply {
            body: response.body,
            head: None,
            report: report.unwrap_or_default(),
        }),
        (Echo::Same, StatusCode::GatewayTimeout) if !says_not_run(&response) => {
            Err(upstream::Error::TimedOut)
        }
        (Echo::Same, _) => Err(match refusal(status) {
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

const fn refusal(status: StatusCode) -> Option<upstream::Refusal> {
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
    response.header(RUN) == Some(NOT_RUN)
}

/// Whose answer a response says it is.
enum Echo {
    /// This subquery's.
    Same,
    /// Another subquery's, or it's incomplete.
    Other,
    /// It doesn't say.
    Absent,
}

fn echo(subquery: &message::Subquery, response: &http::Response) -> Echo {
    let id = subquery.id.to_string();
    let shard = subquery.shard.to_string();
    let snapshot = snapshot_text(&subquery.snapshot);
    let expected = [&*subquery.request.0, &id, &shard, &snapshot];
    let received = ECHOED.map(|name| response.header(name));
    match received.iter().all(Option::is_none) {
        true => Echo::Absent,
        false if received == expected.map(Some) => Echo::Same,
        false => Echo::Other,
    }
}

/// Reads the upstream's report from a response; `None` if it sent no part of one.
pub fn report(response: &http::Response) -> Option<message::Report> {
    let state = match response.header(STATE) {
        Some("ready") => Some(message::State::Ready),
        Some("cold") => Some(message::State::Cold),
        Some("draining") => Some(message::State::Draining),
        _ => None,
    };
    let load = number(response, LOAD);
    let capacity = number(response, CAPACITY);
    let start = number(response, START_ID);
    let absent = load.is_none() && capacity.is_none() && start.is_none() && state.is_none();
    (!absent).then(|| message::Report {
        load: load.unwrap_or_default(),
        capacity: capacity.unwrap_or_default(),
        start_id: start.unwrap_or_default(),
        state: state.unwrap_or_default(),
    })
}

fn number<T: FromStr>(response: &http::Response, name: &str) -> Option<T> {
    response.header(name).and_then(|text| text.parse().ok())
}

/// Adds an upstream's report to a response.
///
/// # Errors
///
/// None in practice: each value is a number or a fixed word.
pub fn with_report(
    response: http::Response,
    report: &message::Report,
) -> Result<http::Response, http::InvalidHeader> {
    response
        .with_header(LOAD, &report.load.to_string())?
        .with_header(CAPACITY, &report.capacity.to_string())?
        .with_header(START_ID, &report.start_id.to_string())?
        .with_header(STATE, &report.state.to_string())
}
