//! The operators' configuration: routes, services and limits on callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Routes that callers may use.
    pub routes: Vec<Route>,
    /// Replicated services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on callers.
    pub limits: Limits,
}

/// How requests to one path prefix of one host are served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that the callers name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Who serves the requests.
    pub backend: Backend,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Time in which an answer has its full worth.
    pub objective: Duration,
    /// Most replicas that may run one request, or one shard's part of it.
    pub attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Regions whose replicas may serve the route; empty for all.
    pub regions: Vec<String>,
}

/// Who serves the requests of a route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// One replica of a service.
    Single(Arc<str>),
    /// One replica of one of several services, drawn by weight.
    Split(Vec<Share>),
    /// One replica of each of several services, which are the shards of an index.
    Scatter(Scatter),
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Share {
    /// Service.
    pub service: Arc<str>,
    /// Weight relative to the other shares.
    pub weight: f64,
}

/// How the parts of a query over several services become one answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Scatter {
    /// Services, one for each shard.
    pub shards: Vec<Arc<str>>,
    /// Records in the answer; the greatest are taken.
    pub top: usize,
    /// Least share of the shards in an answer, between 0 and 1.
    pub least: f64,
}

impl Scatter {
    /// Least number of shards in an answer.
    pub fn quorum(&self) -> usize {
        let total = self.shards.len();
        // A share that is a whole number of shards must not be rounded up by its binary form.
        let exact = self.least * total as f64 - 1e-9;
        (exact.ceil().max(1.0) as usize).min(total)
    }
}

/// What operators say about a replicated service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Connections that one replica accepts from all instances together.
    pub connections: u32,
    /// Requests a second that one cold replica bears from all instances together; zero if
    /// that is not limited.
    pub cold_rate: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for the head to arrive.
    pub receive: Duration,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// What holds before a configuration is known.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 256 * 1024,
            receive: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
