//! Messages of the upstream protocol.

use std::sync::Arc;

use derive_more::derive;
use marigoldloom_records::service;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Id of a caller's request, the same in all processes that handle it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// Hash of the id, the same in all processes.
    pub fn hash(&self) -> u64 {
        xxh3::xxh3_64(self.0.as_bytes())
    }
}

/// Id of one attempt at a subquery; unique across instances and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
#[display("{_0:032x}")]
pub struct SubqueryId(pub u128);

/// Method, target and headers of a caller's HTTP request that is forwarded unchanged.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query exactly as the caller sent them.
    pub target: http::uri::PathAndQuery,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
}

/// Status and end-to-end headers of an upstream's HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
}

/// One attempt to query one shard for a request.
#[derive(Clone, Debug)]
pub struct Subquery {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Id of this attempt.
    pub id: SubqueryId,
    /// Service name.
    pub service: Arc<str>,
    /// Route name.
    pub route: Arc<str>,
    /// Number of the shard.
    pub shard: u32,
    /// Snapshot that the answer must be computed from.
    pub snapshot: Arc<service::Snapshot>,
    /// Time after which the answer is not used.
    pub deadline: time::Timestamp,
    /// The caller's body.
    pub body: Arc<[u8]>,
    /// The caller's HTTP request, if it is forwarded unchanged.
    pub call: Option<Arc<Call>>,
    /// The caller's idempotency key; `None` if the route is idempotent. The upstream may
    /// ignore it; it serves to check that the subquery ran at most once.
    pub idempotency_key: Option<Arc<str>>,
    /// Start id of the only process that may run the subquery; `None` for any process. It
    /// keeps load for a warm process from a restarted one, which is cold.
    pub start_id: Option<u64>,
}

/// An upstream's answer to one subquery. The client has checked that its ids, shard and
/// snapshot are those of the subquery.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The shard's results.
    pub body: Vec<u8>,
    /// Status and headers of the response, if it is passed to the caller unchanged.
    pub head: Option<Box<Head>>,
    /// The upstream's report about itself; it may be outdated or wrong.
    pub report: Report,
}

impl Reply {
    /// Returns the status of the HTTP response if it isn't a success.
    pub fn error_status(&self) -> Option<http::StatusCode> {
        let status = self.head.as_ref()?.status;
        (!status.is_success()).then_some(status)
    }
}

/// What an upstream reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Report {
    /// Number of requests running or queued.
    pub load: u32,
    /// Number of requests that it claims to run at the same time.
    pub capacity: u32,
    /// Id of the process, different after each start.
    pub start_id: u64,
    /// Whether the process is warm, in cold start or draining.
    pub state: State,
    /// Time for which the process wants no requests from the recipient, in milliseconds; zero if it
    /// doesn't say.
    pub pause_ms: u64,
}

/// State of an upstream as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Warm: runs requests at its usual speed.
    #[default]
    #[display("ready")]
    Ready,
    /// In cold start: runs requests more slowly.
    #[display("cold")]
    Cold,
    /// Draining: accepts no new requests.
    #[display("draining")]
    Draining,
}
