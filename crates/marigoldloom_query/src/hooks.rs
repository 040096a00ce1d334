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
pub struct Active;

impl Versions for Active {
    fn choose(&self, service: &service::Service, _route: &str, _hash: u64) -> String {
        service.active.clone()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
pub struct Finished<'a> {
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
    pub verdict: Verdict,
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
pub struct Attempt<'a> {
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
    fn finished(&self, _finished: &Finished<'_>) {}

    /// An attempt at a subquery ended. Abandoned attempts are not reported.
    fn attempted(&self, _attempt: &Attempt<'_>) {}

    /// Something was decided.
    fn decided(&self, _decision: &Decision<'_>) {}

    /// This instance brought the process `start` of an upstream out of cold start.
    fn warmed(&self, _service: &str, _upstream: &str, _start: u64) {}

    /// An upstream turned cold.
    fn chilled(&self, _service: &str, _upstream: &str, _cause: health::ColdCause) {}

    /// A fingerprint gained a strike; `strikes` are those of this instance, for its peers.
    fn struck(&self, _print: fingerprint::Fingerprint, _strikes: fingerprint::Strikes) {}
}

/// Observes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Observer for Silent {}

impl<O: Observer> Observer for Arc<O> {
    fn finished(&self, finished: &Finished<'_>) {
        (**self).finished(finished);
    }

    fn attempted(&self, attempt: &Attempt<'_>) {
        (**self).attempted(attempt);
    }

    fn decided(&self, decision: &Decision<'_>) {
        (**self).decided(decision);
    }

    fn warmed(&self, service: &str, upstream: &str, start: u64) {
        (**self).warmed(service, upstream, start);
    }

    fn chilled(&self, service: &str, upstream: &str, cause: health::ColdCause) {
        (**self).chilled(service, upstream, cause);
    }

    fn struck(&self, print: fingerprint::Fingerprint, strikes: fingerprint::Strikes) {
        (**self).struck(print, strikes);
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
pub struct Parts<V, L, O> {
    /// Chooses versions.
    pub versions: V,
    /// Dispatch leases for cold upstreams.
    pub leases: L,
    /// Follows the engine.
    pub observer: O,
}

impl<V: Versions, L: cold::Leases, O: Observer> Hooks for Parts<V, L, O> {
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
