//! Sends one request and classifies how it ended.

use std::collections::BTreeSet;
use std::time::Duration;

use http_types::{Method, StatusCode};
use marigoldloom_http::{client, message, pool};
use marigoldloom_records::service;
use marigoldloom_upstream::{message as upstream, protocol};
use serde::{Deserialize, Serialize};

use crate::scenario;

/// Time beyond the deadline for which an answer is awaited, to tell a late answer from a lost one.
/// Waiting for a connection counts too.
const LATE_GRACE: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered in time by every shard.
    Complete,
    /// Answered in time, but some shards are missing.
    Partial,
    /// Answered after its deadline.
    Late,
    /// Refused, and known not to have run.
    Refused,
    /// Refused or failed, and may have run.
    Unknown,
    /// The connection failed or no answer came.
    Lost,
    /// Answered inconsistently, or with the answer to another request.
    Wrong,
    /// Not sent, because too many requests waited for answers or no connection was free.
    Skipped,
}

/// Outcome of a request, and its coverage if it was answered over the caller interface.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Ratio of shards that answered, from 0 to 1.
    pub coverage: Option<f64>,
}

impl CallResult {
    const fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            coverage: None,
        }
    }
}

/// Body of an answer of the caller interface.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Answer {
    request: String,
    snapshot: service::Snapshot,
    coverage: Coverage,
    results: Vec<ShardResult>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Coverage {
    answered: BTreeSet<u32>,
    missing: Vec<Missing>,
    total: usize,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Missing {
    shard: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct ShardResult {
    shard: u32,
    body: String,
}

/// Body of a stand-in upstream's answer, which names the shard, snapshot and text it belongs to.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct StandinBody {
    shard: u32,
    version: String,
    epoch: u64,
    text: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Refusal {
    error: RefusalBody,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct RefusalBody {
    run: String,
}

impl Answer {
    /// Returns whether the answer belongs to this request, all its results are from its snapshot,
    /// and its coverage is that of the results.
    fn is_consistent(&self, id: &str, text: &str) -> bool {
        self.request == id
            && self.coverage_matches()
            && self
                .results
                .iter()
                .all(|part| self.result_matches(part, text))
    }

    /// Returns whether a shard's result belongs to this request and snapshot. Results that don't
    /// come from a stand-in can't be checked and pass.
    fn result_matches(&self, part: &ShardResult, text: &str) -> bool {
        match serde_json::from_str::<StandinBody>(&part.body) {
            Ok(body) => {
                body.shard == part.shard
                    && body.version == self.snapshot.version
                    && body.epoch == self.snapshot.epoch
                    && body.text == text
            }
            Err(_) => true,
        }
    }

    /// Returns whether the results are exactly those of the shards in `coverage.answered`, and
    /// each shard is either answered or missing.
    fn coverage_matches(&self) -> bool {
        let results = self.results.iter().map(|result| result.shard);
        let missing = self.coverage.missing.iter().map(|missing| missing.shard);
        let missing = missing.collect::<BTreeSet<_>>();
        self.results.len() == self.coverage.answered.len()
            && results.collect::<BTreeSet<_>>() == self.coverage.answered
            && missing.is_disjoint(&self.coverage.answered)
            && missing.len() + self.coverage.answered.len() == self.coverage.total
    }

    fn coverage_ratio(&self) -> f64 {
        let answered = self.coverage.answered.len() as f64;
        answered / self.coverage.total.max(1) as f64
    }
}

/// One request of a stream.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Stream that it belongs to.
    pub stream: &'a scenario::Stream,
    /// Unique request id; also the idempotency key if the stream has keys.
    pub id: String,
    /// Unique subquery id, for a request sent directly to an upstream.
    pub subquery: upstream::SubqueryId,
    /// Number of the request within the stream, from 0.
    pub number: u64,
    /// Time since the intended send time.
    pub late: Duration,
}

impl Call<'_> {
    /// Sends the request and checks the answer.
    pub async fn send(&self, pool: &pool::Pool) -> CallResult {
        let deadline = Duration::from_millis(self.stream.deadline_ms);
        let text = self.stream.body.replace("{n}", &self.number.to_string());
        let left = deadline.saturating_sub(self.late);
        let request = match &self.stream.direct {
            None => self.request(&text, left),
            Some(direct) => self.subquery(direct, &text, left),
        };
        let Ok(request) = request else {
            return CallResult::without_answer(Outcome::Lost);
        };
        match exchange(pool, request.clone(), deadline + LATE_GRACE).await {
            Ok(response) => match &self.stream.direct {
                None => caller_result(&response, &self.id, &text),
                Some(direct) => direct_result(&request, &response, direct, &text),
            },
            Err(Failure::NoConnection) => CallResult::without_answer(Outcome::Skipped),
            Err(Failure::Lost) => CallResult::without_answer(Outcome::Lost),
        }
    }

    /// Builds the request for the caller interface.
    fn request(
        &self,
        text: &str,
        left: Duration,
    ) -> Result<message::Request, message::InvalidHeader> {
        let stream = self.stream;
        let path = format!("/v1/services/{}/{}", stream.service, stream.route);
        let request = message::Request::new(Method::Post, &path)
            .with_body(text)
            .with_header("x-tenant", &stream.tenant)?
            .with_header("x-class", stream.class.as_str())?
            .with_header("x-deadline-ms", &left.as_millis().to_string())?
            .with_header("x-request-id", &self.id)?;
        match stream.key {
            true => request.with_header("idempotency-key", &self.id),
            false => Ok(request),
        }
    }
}

impl Call<'_> {
    /// Builds the request as a subquery for an upstream.
    fn subquery(
        &self,
        direct: &scenario::Direct,
        text: &str,
        left: Duration,
    ) -> Result<message::Request, message::InvalidHeader> {
        message::Request::new(Method::Post, protocol::QUERY_PATH)
            .with_body(text)
            .with_header(protocol::REQUEST_ID, &self.id)?
            .with_header(protocol::SUBQUERY_ID, &self.subquery.to_string())?
            .with_header(protocol::SHARD, &direct.shard.to_string())?
            .with_header(
                protocol::SNAPSHOT,
                &protocol::format_snapshot(&direct.snapshot),
            )?
            .with_header(protocol::DEADLINE, &left.as_millis().to_string())?
            .with_header(protocol::SERVICE, &self.stream.service)?
            .with_header(protocol::ROUTE, &self.stream.route)
    }
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was free within the time limit; nothing was sent.
    NoConnection,
    /// The connection failed or no answer came.
    Lost,
}

/// Sends a request and returns its response. If a reused connection turns out to be closed before
/// a byte is sent, it tries again.
pub(crate) async fn exchange(
    pool: &pool::Pool,
    request: message::Request,
    limit: Duration,
) -> Result<message::Response, Failure> {
    loop {
        let lease = pool.lease(limit).await;
        let mut lease = lease.map_err(|error| match error {
            pool::Error::TimedOut => Failure::NoConnection,
            pool::Error::Unreachable => Failure::Lost,
        })?;
        match lease.send(request.clone(), limit).await {
            Err(client::Error::Stale) => (),
            Ok(response) => {
                lease.return_to_pool();
                return Ok(response);
            }
            Err(_) => return Err(Failure::Lost),
        }
    }
}

/// Classifies a response of the caller interface.
fn caller_result(response: &message::Response, id: &str, text: &str) -> CallResult {
    let without_answer = CallResult::without_answer;
    if response.status() != StatusCode::Ok {
        return without_answer(match response.json::<Refusal>() {
            Ok(refusal) if refusal.error.run == "not_run" => Outcome::Refused,
            _ => Outcome::Unknown,
        });
    }
    match response.json::<Answer>() {
        Ok(answer) if answer.is_consistent(id, text) => {
            let coverage = answer.coverage_ratio();
            let outcome = match answer.coverage.missing.is_empty() {
                true => Outcome::Complete,
                false => Outcome::Partial,
            };
            CallResult {
                outcome,
                coverage: Some(coverage),
            }
        }
        _ => without_answer(Outcome::Wrong),
    }
}

/// Classifies an upstream's own response. An answer or a refusal must repeat the request's ids.
fn direct_result(
    request: &message::Request,
    response: &message::Response,
    direct: &scenario::Direct,
    text: &str,
) -> CallResult {
    let mut ids = protocol::ECHOED.into_iter();
    let echoed = ids.all(|name| request.header(name) == response.header(name));
    let body = response.json::<StandinBody>();
    let matches = body.is_ok_and(|body| {
        body.shard == direct.shard
            && body.version == direct.snapshot.version
            && body.epoch == direct.snapshot.epoch
            && body.text == text
    });
    CallResult::without_answer(match response.status() {
        StatusCode::Ok if echoed && matches => Outcome::Complete,
        StatusCode::Ok => Outcome::Wrong,
        StatusCode::TooManyRequests | StatusCode::ServiceUnavailable if echoed => Outcome::Refused,
        _ => Outcome::Unknown,
    })
}
