//! Messages of the upstream protocol.

use std::sync::Arc;

use derive_more::derive;
use marigoldloom_records::service;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

/// Names a caller's request through all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

/// Names one attempt at one subquery; unique across instances and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
#[display("{_0:032x}")]
pub struct SubqueryId(pub u128);

/// A caller's HTTP request that upstreams take unchanged.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: http::Method,
    /// Path and query, byte for byte.
    pub target: http::uri::PathAndQuery,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
}

/// Status and end-to-end headers of an upstream's HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
}

/// One attempt at one shard's part of a request.
#[derive(Clone, Debug)]
pub struct Subquery {
    /// The caller's request.
    pub request: RequestId,
    /// This attempt.
    pub id: SubqueryId,
    /// Service name.
    pub service: Arc<str>,
    /// Route name.
    pub route: Arc<str>,
    /// Shard.
    pub shard: u32,
    /// Snapshot the answer must come from.
    pub snapshot: Arc<service::Snapshot>,
    /// The answer is useless after this time.
    pub deadline: time::Timestamp,
    /// The caller's body.
    pub body: Arc<[u8]>,
    /// The caller's HTTP request, for upstreams that take it unchanged.
    pub call: Option<Arc<Call>>,
    /// The caller's idempotency key, where the route isn't idempotent. The upstream
    /// need not know it; it allows to check that the subquery ran at most once.
    pub key: Option<Arc<str>>,
    /// Start id of the process that the subquery is meant for; none for any process. The
    /// load of a warm process must not reach a restarted one, which is cold.
    pub start: Option<u64>,
}

/// An upstream's answer to one subquery. The client has checked that it echoes
/// the subquery's ids, shard and snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The shard's part of the answer.
    pub body: Vec<u8>,
    /// Head of the response, for callers that get it unchanged.
    pub head: Option<Box<Head>>,
    /// The upstream's report about itself; it lags and may mislead.
    pub report: Report,
}

/// What an upstream reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Report {
    /// Requests running or queued.
    pub load: u32,
    /// Requests that it says it can run at a time.
    pub capacity: u32,
    /// Changes with each start of the process.
    pub start_id: u64,
    /// State of the process.
    pub state: State,
}

/// State of an upstream as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Warm.
    #[default]
    #[display("ready")]
    Ready,
    /// In cold start.
    #[display("cold")]
    Cold,
    /// Draining: takes no new requests.
    #[display("draining")]
    Draining,
}
