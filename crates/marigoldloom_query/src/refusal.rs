//! Refusals: why a request got no answer, and whether it may have run.

use std::time::Duration;

use derive_more::derive;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

use crate::answer;

/// Whether a refused request may have run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// No byte of it reached an upstream, or each upstream said that it didn't run it.
    #[display("not run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No record defines the service.
    #[display("the service is not defined")]
    UnknownService,
    /// The service doesn't define the route.
    #[display("the service has no such route")]
    UnknownRoute,
    /// The service doesn't define the version chosen.
    #[display("the version of the service is not defined")]
    UnknownVersion,
    /// The route isn't idempotent: the request needs an idempotency key.
    #[display("the route is not idempotent: an idempotency key is required")]
    KeyRequired,
    /// The route is idempotent: the request is not one to run once.
    #[display("the route is idempotent: an idempotency key is not accepted")]
    KeyRefused,
    /// The deadline passed before any work.
    #[display("the deadline passed before the request was sent")]
    Expired,
    /// Upstreams crashed while they ran this request.
    #[display("upstreams crashed while running this request; it is refused for a while")]
    Quarantined,
    /// An upstream crashed while it ran this request.
    #[display("an upstream crashed while running this request")]
    Crashed,
    /// No shard answered.
    #[display("no shard answered")]
    Unavailable,
    /// The request was not admitted.
    #[display("the limits on load leave no room for the request")]
    Overloaded,
    /// The instance is draining.
    #[display("the instance is draining")]
    Draining,
    /// The instance has no configuration yet.
    #[display("the instance has no configuration yet")]
    NotReady,
    /// The claim that a non-idempotent request needs could not be written.
    #[display("the claim on the idempotency key could not be written")]
    Unclaimed,
    /// The idempotency key was used before and its outcome is not known.
    #[display("the idempotency key was used before and its outcome is not known")]
    KeyUsed,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display, derive::Error)]
#[serde(from = "Wire", into = "Wire")]
#[display("{kind} ({run})")]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// What the upstreams did, where they are the cause.
    pub reason: Option<answer::Reason>,
    /// Whether it may have run.
    pub run: RunStatus,
    /// When another attempt may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub const fn not_run(kind: Kind) -> Self {
        Self {
            kind,
            reason: None,
            run: RunStatus::NotRun,
            retry_after: None,
        }
    }

    /// The same refusal with what the upstreams did.
    pub const fn with_reason(self, reason: answer::Reason, run: RunStatus) -> Self {
        Self {
            reason: Some(reason),
            run,
            ..self
        }
    }

    /// The same refusal with a time after which another attempt may succeed.
    pub const fn with_retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }
}

/// The body of a refusal towards callers.
#[derive(Deserialize, Serialize)]
struct Wire {
    error: WireError,
}

#[derive(Deserialize, Serialize)]
struct WireError {
    kind: Kind,
    message: String,
    run: RunStatus,
    reason: Option<answer::Reason>,
    retry_after_ms: Option<u64>,
}

impl From<Refusal> for Wire {
    fn from(refusal: Refusal) -> Self {
        Self {
            error: WireError {
                kind: refusal.kind,
                message: refusal.kind.to_string(),
                run: refusal.run,
                reason: refusal.reason,
                retry_after_ms: refusal.retry_after.map(time::millis),
            },
        }
    }
}

impl From<Wire> for Refusal {
    fn from(wire: Wire) -> Self {
        Self {
            kind: wire.error.kind,
            reason: wire.error.reason,
            run: wire.error.run,
            retry_after: wire.error.retry_after_ms.map(Duration::from_millis),
        }
    }
}
