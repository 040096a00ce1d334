//! Refusals: why a request got no answer and whether it may have run.

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
    /// No byte of the request reached an upstream, or every upstream that it reached reported
    /// that it didn't run it.
    #[display("not run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No service record has this name.
    #[display("the service is not defined")]
    UnknownService,
    /// The service record has no such route.
    #[display("the service has no such route")]
    UnknownRoute,
    /// The service record doesn't define the version chosen for the request.
    #[display("the version of the service is not defined")]
    UnknownVersion,
    /// The route isn't idempotent and the request has no idempotency key.
    #[display("the route is not idempotent: an idempotency key is required")]
    KeyRequired,
    /// The route is idempotent and the request has an idempotency key.
    #[display("the route is idempotent: an idempotency key is not accepted")]
    KeyRefused,
    /// The deadline passed before the request, or its run on a newer snapshot, was sent to an
    /// upstream.
    #[display("the deadline passed before the request was sent")]
    Expired,
    /// Several upstreams crashed while they ran requests with this fingerprint.
    #[display("upstreams crashed while running this request; it is refused for a while")]
    Quarantined,
    /// An upstream crashed while it ran this request as a canary.
    #[display("an upstream crashed while running this request")]
    Crashed,
    /// No shard answered; [`Refusal::reason`] says why.
    #[display("no shard answered")]
    Unavailable,
    /// Admission control rejected the request.
    #[display("the limits on load leave no room for the request")]
    Overloaded,
    /// The instance is draining and accepts no new requests.
    #[display("the instance is draining")]
    Draining,
    /// The instance hasn't received a configuration yet.
    #[display("the instance has no configuration yet")]
    NotReady,
    /// The claim on the idempotency key could not be written, so the request was not sent.
    #[display("the claim on the idempotency key could not be written")]
    Unclaimed,
    /// The idempotency key was used before and the outcome of that request is unknown.
    #[display("the idempotency key was used before and its outcome is not known")]
    KeyUsed,
}

/// Why a request was refused and what the caller may do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display, derive::Error)]
#[serde(from = "Wire", into = "Wire")]
#[display("{kind} ({run})")]
pub struct Refusal {
    /// Cause of the refusal.
    pub kind: Kind,
    /// Why the shards gave no part; `None` if the upstreams aren't the cause.
    pub reason: Option<answer::Reason>,
    /// Whether the request may have run.
    pub run: RunStatus,
    /// Time after which a retry by the caller may succeed; `None` if unknown.
    pub retry_after: Option<Duration>,
    /// Whether an attempt may have reached an upstream, so that another one is extra load. Not part
    /// of the JSON body.
    pub arrived: bool,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    pub const fn not_run(kind: Kind) -> Self {
        Self {
            kind,
            reason: None,
            run: RunStatus::NotRun,
            retry_after: None,
            arrived: false,
        }
    }

    /// Sets why the shards gave no part and whether the request may have run.
    pub const fn with_reason(self, reason: answer::Reason, run: RunStatus) -> Self {
        Self {
            reason: Some(reason),
            run,
            ..self
        }
    }

    /// Sets the time after which a retry may succeed.
    pub const fn with_retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }
}

/// JSON body of a refusal.
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
            arrived: false,
        }
    }
}
