//! The guarantees of the query tier and the violations that the checks report.

use std::sync::Arc;

use derive_more::derive;
use serde::Serialize;

/// A guarantee that the checks verify.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[derive(derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// An answer is complete, correct and belongs to its request.
    #[display("answers are whole and belong to their requests")]
    Whole,
    /// The parts of a merged answer come from the shards of one configuration.
    #[display("answers are from one set of shards")]
    OneSet,
    /// A valid request isn't answered with 3xx or 4xx, apart from the refusals 408, 421 and 429.
    #[display("proper requests are not refused as improper")]
    Allowed,
    /// A request that is answered with 408, 421, 429 or 503 never runs.
    #[display("refused requests don't run")]
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    #[display("requests that may run once run once at most")]
    Once,
    /// Replicas run only requests that a caller sent, with unchanged request line and body.
    #[display("only what callers sent runs, unchanged")]
    Unchanged,
    /// A request runs at a service that a configuration names for it.
    #[display("requests run where a configuration sends them")]
    Routed,
    /// Instances apply a new configuration within the time limit.
    #[display("configurations are in force in time")]
    InForce,
    /// A process that has applied a configuration doesn't return to an older one.
    #[display("configurations don't go back")]
    NotBack,
    /// Draining replicas and evacuated failure domains get no new requests.
    #[display("replicas that leave and evacuated domains get nothing new")]
    Closed,
    /// A replica that refuses requests for a stated time gets few from that instance meanwhile.
    #[display("replicas that ask for a pause get it")]
    Pause,
    /// A cold replica gets requests at a limited rate, summed over all instances.
    #[display("cold replicas get few requests")]
    Cold,
    /// Attempts of a request at a service beyond the first one stay within the service's retry
    /// budget, summed over all instances.
    #[display("extra attempts stay in their budget")]
    Budget,
    /// A bad version gets a small part of its service's requests, and none soon after it shows.
    #[display("bad versions get few requests")]
    Exposure,
    /// A request that has crashed three replicas reaches few others, over all instances.
    #[display("requests that crash replicas stop")]
    Crashing,
    /// No attempt is started for a caller that has disconnected.
    #[display("nothing is started for callers that left")]
    Left,
    /// The time limit that a replica gets is not longer than the time until the caller's deadline.
    #[display("replicas are given no more time than is left")]
    Patience,
    /// Planned operations don't interrupt a request that is running.
    #[display("planned work cuts no request")]
    Delivered,
    /// Requests are answered before their deadline in the maintenance phase.
    #[display("requests are answered in time")]
    Answered,
    /// Most requests succeed after the last fault.
    #[display("most requests are served after the last fault")]
    Recovered,
    /// An instance exits only when it is stopped or killed, and with code 0 when stopped.
    #[display("instances don't end by themselves")]
    Alive,
    /// Requests succeed in time after all instances were killed and restarted.
    #[display("service returns with the instances")]
    Return,
}

/// A guarantee that was violated.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Violation {
    /// The violated guarantee.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// Id of the request that shows the violation. `None` if no single request does.
    pub request: Option<Arc<str>>,
    /// What was observed.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of `guarantee`, shown by the request `id` if there is one.
    pub fn new(guarantee: Guarantee, id: Option<&Arc<str>>, detail: impl Into<String>) -> Self {
        Self {
            guarantee,
            request: id.cloned(),
            detail: detail.into(),
        }
    }
}
