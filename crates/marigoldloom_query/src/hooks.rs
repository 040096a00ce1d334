//! What the engine takes from other parts of an instance, and what it tells them.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_limits::{cold, fingerprint};
use marigoldloom_records::{class, service};
use marigoldloom_routing::health;
use marigoldloom_telemetry::event;

use crate::answer;

/// Chooses the version of a service that a request reads.
pub trait Versions: Send + Sync + 'static {
    /// The version for a request; `hash` is that of the request id.
    fn choose(&self, service: &service::Service, route: &str, hash: u64) -> String;
}

/// The version that the service record names as active.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveVersion;

impl Versions for ActiveVersion {
    fn choose(&self, service: &service::Service, _route: &str, _hash: u64) -> String {
        service.active.clone()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// All shards answered.
    Full,
    /// Some shards answered.
    Partial(answer::Reason),
    /// No shard answered, and the request may have run.
    Failed(answer::Reason),
    /// Refused, and the request has not run: no evidence about the version.
    NotRun,
}

/// One finished request, for metrics and for the evidence of version moves.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest<'a> {
    /// Tenant.
    pub tenant: &'a str,
    /// Priority class.
    pub class: class::Class,
    /// Service.
    pub service: &'a str,
    /// Route.
    pub route: &'a str,
    /// Version it read; none if it was refused before one was chosen.
    pub version: Option<&'a str>,
    /// Time from its arrival at the engine.
    pub latency: Duration,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// Why a subquery was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The first attempt at a shard.
    First,
    /// A second attempt while the first still runs.
    Hedge,
    /// An attempt after a failure.
    Retry,
}

/// One finished attempt at a subquery.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt<'a> {
    /// The caller's request.
    pub request: &'a str,
    /// Service.
    pub service: &'a str,
    /// Upstream.
    pub upstream: &'a str,
    /// Why it was sent.
    pub purpose: Purpose,
    /// Time from dispatch.
    pub latency: Duration,
    /// Why it gave no part; none if it did.
    pub failure: Option<answer::Reason>,
}

/// A decision that operators may want explained.
#[derive(Clone, Debug)]
pub struct Decision<'a> {
    /// What was decided.
    pub kind: event::Kind,
    /// What it is about.
    pub subject: &'a str,
    /// Why, in one sentence.
    pub cause: &'a str,
    /// Figures behind it.
    pub evidence: serde_json::Value,
}

/// Follows what the engine does. Calls must return at once.
pub trait Observer: Send + Sync + 'static {
    /// A request ended.
    fn request_finished(&self, _finished: &FinishedRequest<'_>) {}

    /// An attempt at a subquery ended. Abandoned attempts are not reported.
    fn attempt_finished(&self, _attempt: &FinishedAttempt<'_>) {}

    /// Something was decided.
    fn decision_made(&self, _decision: &Decision<'_>) {}

    /// This instance brought the process `start` of an upstream out of cold start.
    fn warmup_finished(&self, _service: &str, _upstream: &str, _start_id: u64) {}

    /// An upstream turned cold.
    fn cold_start_began(&self, _service: &str, _upstream: &str, _cause: health::ColdCause) {}

    /// A fingerprint gained a strike; `strikes` are those of this instance, for its peers.
    fn strike_added(&self, _fingerprint: fingerprint::Fingerprint, _strikes: fingerprint::Strikes) {
    }
}

/// Observes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl Observer for NoObserver {}

impl<O: Observer> Observer for Arc<O> {
    fn request_finished(&self, finished: &FinishedRequest<'_>) {
        (**self).request_finished(finished);
    }

    fn attempt_finished(&self, attempt: &FinishedAttempt<'_>) {
        (**self).attempt_finished(attempt);
    }

    fn decision_made(&self, decision: &Decision<'_>) {
        (**self).decision_made(decision);
    }

    fn warmup_finished(&self, service: &str, upstream: &str, start_id: u64) {
        (**self).warmup_finished(service, upstream, start_id);
    }

    fn cold_start_began(&self, service: &str, upstream: &str, cause: health::ColdCause) {
        (**self).cold_start_began(service, upstream, cause);
    }

    fn strike_added(&self, fingerprint: fingerprint::Fingerprint, strikes: fingerprint::Strikes) {
        (**self).strike_added(fingerprint, strikes);
    }
}

/// The parts that an engine is built with.
pub trait Hooks: Send + Sync + 'static {
    /// Chooses versions.
    type Versions: Versions;
    /// Dispatch leases for cold upstreams.
    type Leases: cold::Leases;
    /// Follows the engine.
    type Observer: Observer;

    /// Chooses versions.
    fn versions(&self) -> &Self::Versions;

    /// Dispatch leases for cold upstreams.
    fn leases(&self) -> &Self::Leases;

    /// Follows the engine.
    fn observer(&self) -> &Self::Observer;
}

/// Three parts as hooks.
#[derive(Clone, Copy, Debug, Default)]
pub struct HookSet<V, L, O> {
    /// Chooses versions.
    pub versions: V,
    /// Dispatch leases for cold upstreams.
    pub leases: L,
    /// Follows the engine.
    pub observer: O,
}

impl<V: Versions, L: cold::Leases, O: Observer> Hooks for HookSet<V, L, O> {
    type Versions = V;
    type Leases = L;
    type Observer = O;

    fn versions(&self) -> &V {
        &self.versions
    }

    fn leases(&self) -> &L {
        &self.leases
    }

    fn observer(&self) -> &O {
        &self.observer
    }
}
