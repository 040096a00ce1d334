//! Interfaces between the engine and other parts of an instance: version choice, dispatch
//! leases and observation.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_limits::fingerprint::{Fingerprint, Silence};
use marigoldloom_limits::{cold, fingerprint};
use marigoldloom_records::{class, service};
use marigoldloom_routing::{health, topology};
use marigoldloom_telemetry::event;

use crate::answer;

/// Chooses the service version that a request is run on.
pub trait Versions: Send + Sync + 'static {
    /// Returns the version for a request. `hash` is the hash of the request id.
    fn choose(&self, service: &service::Service, route: &str, hash: u64) -> String;

    /// Returns which replicas an attempt may use. `service` is the replicated service of the shard,
    /// `hash` the hash of the request id, and `first` tells whether this is the first attempt.
    fn filter(&self, _service: &str, _hash: u64, _first: bool) -> topology::VersionFilter {
        topology::VersionFilter::default()
    }
}

/// Always chooses the version that the service record marks as active.
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
    /// Every shard answered.
    Full,
    /// Some shards answered; the first missing one gave no part for this reason.
    Partial(answer::Reason),
    /// No shard answered, and the request may have run.
    Failed(answer::Reason),
    /// The request was refused and has not run, so it says nothing about the version.
    NotRun,
}

/// A finished request, reported for metrics and for the comparison of versions during a version
/// move.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Priority class of the request.
    pub class: class::Class,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Version that the request ran on; `None` if it was refused before one was chosen.
    pub version: Option<&'a str>,
    /// Time from the call to the engine until its result.
    pub latency: Duration,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// Why a subquery was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The first attempt at the shard.
    First,
    /// An additional attempt while an earlier one still runs.
    Hedge,
    /// An attempt after a failed one.
    Retry,
}

/// An attempt at a subquery without a result: it has just been sent, or it was abandoned.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt<'a> {
    /// Name of the replicated service of the shard.
    pub shard_service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Version of the upstream's software.
    pub version: &'a str,
    /// Time since dispatch.
    pub latency: Duration,
    /// Latency above which a reply counts as slow; `None` on a cold upstream.
    pub slow_after: Option<Duration>,
}

/// An attempt at a subquery that ended with a reply or an error.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt<'a> {
    /// Id of the caller's request.
    pub request: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the replicated service of the shard; the same as `service` unless that is composed.
    pub shard_service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Version of the upstream's software.
    pub version: &'a str,
    /// Why the subquery was sent.
    pub purpose: Purpose,
    /// Time from dispatch to the result.
    pub latency: Duration,
    /// Latency above which a reply counts as slow; `None` on a cold upstream.
    pub slow_after: Option<Duration>,
    /// Why the attempt gave no part; `None` if it succeeded.
    pub failure: Option<answer::Reason>,
}

/// A decision of the engine that is recorded for operators.
#[derive(Clone, Debug)]
pub struct Decision<'a> {
    /// Kind of the decision.
    pub kind: event::Kind,
    /// Name of the upstream or service, or id of the request, that it concerns.
    pub subject: &'a str,
    /// Reason as one phrase of text.
    pub cause: &'a str,
    /// Values that led to the decision, as a JSON object.
    pub evidence: serde_json::Value,
}

/// A change of the strikes against a fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct StrikeChange<'a> {
    /// The fingerprint.
    pub fingerprint: fingerprint::Fingerprint,
    /// The strikes that this instance has recorded for it, to be sent to its peers.
    pub own: &'a fingerprint::Strikes,
    /// The strikes over all instances, as far as they are known here.
    pub total: &'a fingerprint::Strikes,
    /// Whether instances refuse the request, or did so before its strikes were cleared.
    pub refused: bool,
    /// The upstream whose end added the strike; `None` if it is unknown or there was none.
    pub upstream: Option<&'a str>,
    /// What shows that the upstream ended, or that the request is harmless.
    pub evidence: &'static str,
}

/// Receives events of the engine. The methods must not block.
pub trait Observer: Send + Sync + 'static {
    /// Called when a request has ended.
    fn request_finished(&self, _finished: &FinishedRequest<'_>) {}

    /// Called before an attempt at a subquery is sent.
    fn attempt_started(&self, _attempt: &OpenAttempt<'_>) {}

    /// Called when an attempt is abandoned, for example because a hedge was faster.
    fn attempt_abandoned(&self, _attempt: &OpenAttempt<'_>) {}

    /// Called when an attempt at a subquery has ended. Abandoned attempts are not reported here.
    fn attempt_finished(&self, _attempt: &FinishedAttempt<'_>) {}

    /// Called for each decision, e.g. the ejection of an upstream.
    fn decision_made(&self, _decision: &Decision<'_>) {}

    /// Called when this instance's own requests have brought the upstream process with
    /// `start_id` out of cold start.
    fn warmup_finished(&self, _service: &str, _upstream: &str, _start_id: u64) {}

    /// Called when an upstream enters cold start. An upstream seen for the first time is not
    /// reported.
    fn cold_start_began(&self, _service: &str, _upstream: &str, _cause: health::ColdCause) {}

    /// Called when a fingerprint gets a strike or its strikes are cleared.
    fn strikes_changed(&self, _change: &StrikeChange<'_>) {}

    /// Called when this instance knows of more or fewer upstreams that have been silent since they
    /// got a request with the fingerprint.
    fn silence_changed(&self, _fingerprint: Fingerprint, _silence: Silence) {}
}

/// Ignores all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl Observer for NoObserver {}

impl<O: Observer> Observer for Arc<O> {
    fn request_finished(&self, finished: &FinishedRequest<'_>) {
        (**self).request_finished(finished);
    }

    fn attempt_started(&self, attempt: &OpenAttempt<'_>) {
        (**self).attempt_started(attempt);
    }

    fn attempt_abandoned(&self, attempt: &OpenAttempt<'_>) {
        (**self).attempt_abandoned(attempt);
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

    fn strikes_changed(&self, change: &StrikeChange<'_>) {
        (**self).strikes_changed(change);
    }

    fn silence_changed(&self, fingerprint: Fingerprint, silence: Silence) {
        (**self).silence_changed(fingerprint, silence);
    }
}

/// The hooks that an engine is created with.
pub trait Hooks: Send + Sync + 'static {
    /// Chooses the version for each request.
    type Versions: Versions;
    /// Grants dispatch leases for cold upstreams.
    type Leases: cold::Leases;
    /// Receives the engine's events.
    type Observer: Observer;

    /// Returns the hook that chooses versions.
    fn versions(&self) -> &Self::Versions;

    /// Returns the hook that grants dispatch leases.
    fn leases(&self) -> &Self::Leases;

    /// Returns the hook that receives events.
    fn observer(&self) -> &Self::Observer;
}

/// Implements [`Hooks`] with three separate values.
#[derive(Clone, Copy, Debug, Default)]
pub struct HookSet<V, L, O> {
    /// Chooses the version for each request.
    pub versions: V,
    /// Grants dispatch leases for cold upstreams.
    pub leases: L,
    /// Receives the engine's events.
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
