//! A caller's request as the engine runs it.

use std::sync::Arc;

use marigoldloom_limits::fingerprint;
use marigoldloom_records::class;
use marigoldloom_runtime::{scope, time};
use marigoldloom_upstream::message;

/// When a partial answer is returned instead of waiting for the remaining shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyAnswer {
    /// Time at which the partial answer is due.
    pub at: time::Timestamp,
    /// Minimum number of shards in a partial answer; with fewer, the query goes on.
    pub min_shards: u32,
}

/// What becomes of an upstream's HTTP response whose status isn't a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorReplies {
    /// The attempt has failed. Required if the responses are merged, since a failure is no part of
    /// an answer.
    #[default]
    Discard,
    /// The caller gets it unchanged if no attempt succeeds. Only for requests to a single upstream.
    Relay,
}

/// Per-request limits, in addition to those of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Maximum number of upstreams that may run the subquery of one shard, including hedges.
    pub max_attempts: u32,
    /// When to return a partial answer; `None` waits for all shards until the deadline.
    pub early_answer: Option<EarlyAnswer>,
    /// Whether the request may wait for a newer snapshot or for retry budget. It waits for
    /// capacity in either case.
    pub may_wait: bool,
    /// What becomes of an upstream's response whose status isn't a success.
    pub error_replies: ErrorReplies,
    /// Whether the request has reached upstreams through another instance. Its first attempts then
    /// need retry budget, and earn none.
    pub repeated: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: u32::MAX,
            early_answer: None,
            may_wait: true,
            error_replies: ErrorReplies::default(),
            repeated: false,
        }
    }
}

/// A request that passed admission control.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in every process that handles it.
    pub id: message::RequestId,
    /// Name of the tenant that the request counts towards.
    pub tenant: Arc<str>,
    /// Priority class, as used by admission control.
    pub class: class::Class,
    /// Name of the service that the request is for.
    pub service: Arc<str>,
    /// Name of the service's route.
    pub route: Arc<str>,
    /// When the caller stops waiting.
    pub deadline: time::Timestamp,
    /// Request body, sent to each shard.
    pub body: Arc<[u8]>,
    /// The caller's HTTP request, for upstreams that receive it unchanged; `None` for others.
    pub call: Option<Arc<message::Call>>,
    /// Limits on attempts and waiting.
    pub policy: Policy,
    /// Cancelled when the caller disconnects; ends attempts that still run for the request.
    pub scope: scope::Scope,
}

impl Request {
    /// Fingerprint under which crashes of the service's upstreams that run the request are counted. It
    /// covers the service, the target (the HTTP target, or the route if there is none) and the body.
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        let target = self
            .call
            .as_ref()
            .map_or(&*self.route, |c| c.target.as_str());
        fingerprint::Fingerprint::new(&[&self.service, target], &self.body)
    }

    /// Fingerprint under which crashes are counted for all services together, since the caller's
    /// next attempt may be routed to another one; `None` if the caller names the service.
    pub fn call_fingerprint(&self) -> Option<fingerprint::Fingerprint> {
        let call = self.call.as_ref()?;
        let host = call.headers.get(http::header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
        let parts = [host, call.method.as_str(), call.target.as_str()];
        Some(fingerprint::Fingerprint::new(&parts, &self.body))
    }

    /// Hash of the request id, used to split traffic between versions during a version move.
    pub fn hash(&self) -> u64 {
        self.id.hash()
    }
}
