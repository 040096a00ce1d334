//! A caller's request.

use std::sync::Arc;

use marigoldloom_limits::fingerprint;
use marigoldloom_records::class;
use marigoldloom_runtime::{scope, time};
use marigoldloom_upstream::message;
use xxhash_rust::xxh3;

/// An answer that lacks shards is given at this moment rather than a complete one later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyAnswer {
    /// When the answer is worth less from.
    pub at: time::Timestamp,
    /// Least number of shards in such an answer.
    pub min_shards: u32,
}

/// What the engine may do for a request, beside what holds for its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Most upstreams that may run one shard's part, hedges included.
    pub max_attempts: u32,
    /// When to answer without the last shards; none to wait for them until the deadline.
    pub early_answer: Option<EarlyAnswer>,
    /// Whether the request waits for a newer snapshot and for the budget of a retry. Otherwise
    /// it ends as soon as nothing more can be sent.
    pub may_wait: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: u32::MAX,
            early_answer: None,
            may_wait: true,
        }
    }
}

/// One request, as admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request through all processes.
    pub id: message::RequestId,
    /// Tenant.
    pub tenant: Arc<str>,
    /// Priority class.
    pub class: class::Class,
    /// Service name.
    pub service: Arc<str>,
    /// Route name.
    pub route: Arc<str>,
    /// When the caller stops waiting.
    pub deadline: time::Timestamp,
    /// The caller's body.
    pub body: Arc<[u8]>,
    /// The caller's HTTP request, for upstreams that take it unchanged.
    pub call: Option<Arc<message::Call>>,
    /// What the engine may do for it.
    pub policy: Policy,
    /// Cancels what still runs for the request once its caller has left.
    pub scope: scope::Scope,
}

impl Request {
    /// The request's crash fingerprint.
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        let target = self
            .call
            .as_ref()
            .map_or(&*self.route, |c| c.target.as_str());
        fingerprint::Fingerprint::new(&self.service, target, &self.body)
    }

    /// Hash of the request id, by which a version move splits traffic.
    pub fn hash(&self) -> u64 {
        xxh3::xxh3_64(self.id.0.as_bytes())
    }
}
