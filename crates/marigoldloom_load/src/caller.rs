//! One request over the caller interface and how it ended.

use std::collections::BTreeSet;
use std::time::Duration;

use http_types::{Method, StatusCode};
use marigoldloom_http::{client, message, pool};
use marigoldloom_records::service;
use marigoldloom_upstream::{message as upstream, protocol};
use serde::{Deserialize, Serialize};

use crate::scenario;

/// How long after its deadline an answer is still waited for, to tell late from lost. Waiting for a connection counts too.
const GRACE: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered in time with every shard.
    Complete,
    /// Answered in time with some shards missing.
    Partial,
    /// Answered after its deadline.
    Late,
    /// Refused, not run.
    Refused,
    /// Refused or failed, and may have run.
    Unknown,
    /// The connection failed or no answer came.
    Lost,
    /// The answer contradicts itself or belongs to another request.
    Wrong,
    /// Not sent, because too many requests were waiting or no connection was free.
    Skipped,
}

/// How a request ended, and its coverage if it was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// How it ended.
    pub outcome: Outcome,
    /// Share of the shards that answered.
    pub coverage: Option<f64>,
}

impl Verdict {
    const fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            coverage: None,
        }
    }
}

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

/// The body of a stand-in upstream's answer, which says what it belongs to.
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
    /// Whether it answers this request, from one snapshot, with its true coverage.
    fn is_true(&self, id: &str, text: &str) -> bool {
        self.request == id
            && self.is_covered()
            && self.results.iter().all(|part| self.owns(part, text))
    }

    /// Whether a part belongs to this request and snapshot. Parts that don't come from a
    /// stand-in can't be checked.
    fn owns(&self, part: &ShardResult, text: &str) -> bool {
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

    /// Whether the results are those of the shards that the coverage names, and the
    /// shards answered and missing are all shards.
    fn is_covered(&self) -> bool {
        let results = self.results.iter().map(|result| result.shard);
        let missing = self.coverage.missing.iter().map(|missing| missing.shard);
        let missing = missing.collect::<BTreeSet<_>>();
        self.results.len() == self.coverage.answered.len()
            && results.collect::<BTreeSet<_>>() == self.coverage.answered
            && missing.is_disjoint(&self.coverage.answered)
            && missing.len() + self.coverage.answered.len() == self.coverage.total
    }

    fn share(&self) -> f64 {
        let answered = self.coverage.answered.len() as f64;
        answered / self.coverage.total.max(1) as f64
    }
}

/// One request of a stream.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The stream.
    pub stream: &'a scenario::Stream,
    /// Unique request id, and idempotency key where the stream sets one.
    pub id: String,
    /// Unique subquery id, for an upstream that is asked directly.
    pub subquery: upstream::SubqueryId,
    /// Number within the stream.
    pub number: u64,
    /// How long ago the request was due.
    pub late: Duration,
}

impl Call<'_> {
    /// Sends the request and checks the answer.
    pub async fn send(&self, pool: &pool::Pool) -> Verdict {
        let deadline = Duration::from_millis(self.stream.deadline_ms);
        let text = self.stream.body.replace("{n}", &self.number.to_string());
        let left = deadline.saturating_sub(self.late);
        let request = match &self.stream.direct {
            None => self.request(&text, left),
            Some(direct) => self.subquery(direct, &text, left),
        };
        let Ok(request) = request else {
            return Verdict::without_answer(Outcome::Lost);
        };
        match exchange(pool, request.clone(), deadline + GRACE).await {
            Ok(response) => match &self.stream.direct {
                None => verdict(&response, &self.id, &text),
                Some(direct) => direct_verdict(&request, &response, direct, &text),
            },
            Err(Failure::Waiting) => Verdict::without_answer(Outcome::Skipped),
            Err(Failure::Lost) => Verdict::without_answer(Outcome::Lost),
        }
    }

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
    /// The request as a subquery to an upstream.
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

/// Why a request brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was free in time; nothing was sent.
    Waiting,
    /// The connection failed or no answer came.
    Lost,
}

/// Sends a request, again if a reused connection had ended before a byte was sent.
pub(crate) async fn exchange(
    pool: &pool::Pool,
    request: message::Request,
    limit: Duration,
) -> Result<message::Response, Failure> {
    loop {
        let lease = pool.lease(limit).await;
        let mut lease = lease.map_err(|error| match error {
            pool::Error::TimedOut => Failure::Waiting,
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

fn verdict(response: &message::Response, id: &str, text: &str) -> Verdict {
    let refused = Verdict::without_answer;
    if response.status() != StatusCode::Ok {
        return refused(match response.json::<Refusal>() {
            Ok(refusal) if refusal.error.run == "not_run" => Outcome::Refused,
            _ => Outcome::Unknown,
        });
    }
    match response.json::<Answer>() {
        Ok(answer) if answer.is_true(id, text) => {
            let coverage = answer.share();
            let outcome = match answer.coverage.missing.is_empty() {
                true => Outcome::Complete,
                false => Outcome::Partial,
            };
            Verdict {
                outcome,
                coverage: Some(coverage),
            }
        }
        _ => refused(Outcome::Wrong),
    }
}

/// What an upstream's own reply says; only one that echoes the ids counts.
fn direct_verdict(
    request: &message::Request,
    response: &message::Response,
    direct: &scenario::Direct,
    text: &str,
) -> Verdict {
    let mut ids = protocol::ECHOED.into_iter();
    let echoed = ids.all(|name| request.header(name) == response.header(name));
    let body = response.json::<StandinBody>();
    let owned = body.is_ok_and(|body| {
        body.shard == direct.shard
            && body.version == direct.snapshot.version
            && body.epoch == direct.snapshot.epoch
            && body.text == text
    });
    Verdict::without_answer(match response.status() {
        StatusCode::Ok if echoed && owned => Outcome::Complete,
        StatusCode::Ok => Outcome::Wrong,
        StatusCode::TooManyRequests | StatusCode::ServiceUnavailable if echoed => Outcome::Refused,
        _ => Outcome::Unknown,
    })
}
