//! The operators' configuration: routes, services and limits on callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::source::Invalid;

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Configuration {
    /// Version number; a later version has a greater one.
    pub version: u64,
    /// Routes that callers may use.
    pub routes: Vec<Route>,
    /// Settings of replicated services, by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Parts of the record that could not be decoded.
    #[serde(default)]
    pub invalid: Vec<Invalid>,
}

/// How requests to one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Host that callers address, without a port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Services that the requests go to.
    pub backend: Backend,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Time from a request's arrival after which its caller no longer waits for the response.
    pub timeout: Duration,
    /// Target latency: a response within this time counts as fully useful.
    pub objective: Duration,
    /// Greatest number of replicas that may run one request, or one shard's part of it.
    pub attempts: u32,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Regions whose replicas may serve the route; empty for all.
    pub regions: Vec<String>,
}

/// Services that a route's requests go to.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// One service; a request goes to one of its replicas.
    Single(Arc<str>),
    /// Several services, one of which is drawn by weight for each request.
    Split(Vec<Share>),
    /// Several services that are the shards of an index; a request goes to all of them.
    Scatter(Scatter),
    /// None, because the route could not be decoded; requests are refused. The route stays in the
    /// configuration, so that they don't go to that of a shorter prefix.
    Unusable,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// How the responses of several shards are merged into one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Scatter {
    /// Name of each shard's service.
    pub shards: Vec<Arc<str>>,
    /// Number of result records in the merged response; the greatest ones are kept.
    pub top: usize,
    /// Least fraction of the shards that a response must include, between 0 and 1.
    pub least: f64,
}

impl Scatter {
    /// Returns the least number of shards that a response must include: one even for a fraction of
    /// 0.
    pub fn quorum(&self) -> usize {
        let total = self.shards.len();
        // Floating-point error must not round a whole number of shards up to the next one.
        let exact = self.least * total as f64 - 1e-9;
        (exact.ceil().max(1.0) as usize).min(total)
    }
}

/// Settings of a replicated service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Number of connections that one replica accepts from all instances together.
    pub connections: u32,
    /// Greatest rate of requests to one cold replica from all instances together, in requests per
    /// second; zero means no limit.
    pub cold_rate: f64,
    /// Time for which a replica is cold after its start.
    pub warmup: Duration,
}

impl Service {
    /// Settings that every replica can take, for a service whose settings could not be decoded. A
    /// cold rate of zero would be no limit.
    pub const MOST_RESTRICTED: Self = Self {
        connections: 1,
        cold_rate: f64::MIN_POSITIVE,
        warmup: Duration::from_secs(10),
    };
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head: usize,
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Time in which a request's head must arrive.
    pub receive: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for Limits {
    /// The limits until the first configuration is known.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 256 * 1024,
            receive: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
