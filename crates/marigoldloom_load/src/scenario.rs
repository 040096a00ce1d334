//! Scenario files and the limits on their values.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_records::{class, service};
use serde::{Deserialize, Serialize};

/// Limit on the length of a run, in seconds.
pub const SECONDS_LIMIT: u64 = 600;

/// Limit on the requests per second over all streams.
pub const RATE_LIMIT: f64 = 20_000.0;

/// Limit on the number of connections over all targets.
pub const CONNECTION_LIMIT: usize = 2_000;

/// Limit on the number of requests that wait for answers.
pub const PENDING_LIMIT: usize = 50_000;

/// Limit on the length of each list: targets, streams, faults, and the addresses of a fault.
pub const LIST_LIMIT: usize = 1_000;

/// Limit on a request's deadline, in milliseconds.
pub const DEADLINE_LIMIT_MS: u64 = 60_000;

/// Limit on the length of a request's body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Requests to send, their targets, and the faults to set during the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario and title of the report.
    pub name: String,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Seed of the send times.
    #[serde(default)]
    pub seed: u64,
    /// Addresses of the instances' caller interfaces. Requests go to them in turn.
    pub targets: Vec<SocketAddr>,
    /// Greatest number of connections over all targets.
    #[serde(default = "connections_default")]
    pub connections: usize,
    /// Greatest number of requests that wait for answers. Further ones are not sent and count as
    /// skipped.
    #[serde(default = "pending_default")]
    pub pending: usize,
    /// Streams of requests, which run in parallel.
    pub streams: Vec<Stream>,
    /// Faults to set during the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

const fn connections_default() -> usize {
    256
}

const fn pending_default() -> usize {
    10_000
}

/// A stream of requests of one tenant and one class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Stream {
    /// Name of the tenant.
    pub tenant: String,
    /// Class of the requests.
    pub class: class::Class,
    /// Name of the service.
    pub service: String,
    /// Name of the service's route.
    pub route: String,
    /// Mean number of requests per second. The gaps between them are exponentially distributed.
    pub rate: f64,
    /// Deadline in milliseconds after the intended send time.
    pub deadline_ms: u64,
    /// Body of each request; `{n}` is replaced by the request's number within the stream.
    #[serde(default)]
    pub body: String,
    /// Whether each request has an idempotency key, a different one for each.
    #[serde(default)]
    pub key: bool,
    /// Start of the stream, in seconds after the start of the run.
    #[serde(default)]
    pub start: f64,
    /// End of the stream, in seconds after the start of the run; by default the end of the run.
    #[serde(default)]
    pub end: Option<f64>,
    /// Upstream to send the requests to in place of the targets. Its latency is the baseline for
    /// the latency that the query tier adds.
    #[serde(default)]
    pub direct: Option<Direct>,
}

/// A stand-in upstream that requests are sent to without the query tier.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Direct {
    /// Address of its upstream protocol.
    pub address: SocketAddr,
    /// Shard to query.
    pub shard: u32,
    /// Snapshot to query.
    pub snapshot: service::Snapshot,
}

/// A change of the faults of stand-in upstreams during the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Fault {
    /// Time of the change, in seconds after the start of the run.
    pub at: f64,
    /// Name of the change in the report.
    pub name: String,
    /// Addresses of the stand-ins to change.
    pub addresses: Vec<SocketAddr>,
    /// Path that the change is posted to; `/faults` by default.
    #[serde(default = "path_default")]
    pub path: String,
    /// Change to post, as JSON.
    #[serde(default)]
    pub set: serde_json::Value,
}

fn path_default() -> String {
    "/faults".to_owned()
}

/// Why a scenario is invalid.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error)]
pub enum Invalid {
    /// The file isn't TOML, or its fields aren't those of [`Scenario`].
    #[display("{reason}")]
    Shape {
        /// Message of the decoder.
        reason: String,
    },
    /// A number is out of range.
    #[display("{field} = {value}: must be within {min}..={max}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Value in the file.
        value: f64,
        /// Smallest allowed value.
        min: f64,
        /// Greatest allowed value.
        max: f64,
    },
    /// An address isn't a loopback address.
    #[display("{address}: only loopback addresses are allowed")]
    Address {
        /// Address in the file.
        address: SocketAddr,
    },
    /// A list is empty or too long.
    #[display("{field}: must have 1 to {LIST_LIMIT} entries")]
    Count {
        /// Name of the field.
        field: &'static str,
    },
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// [`Invalid`] if its fields or values aren't allowed.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let scenario: Self = toml::from_str(text).map_err(|error| Invalid::Shape {
            reason: error.to_string(),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the length of the run.
    pub const fn length(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    fn check(&self) -> Result<(), Invalid> {
        check_range("seconds", self.seconds as f64, 1.0, SECONDS_LIMIT as f64)?;
        let connections = self.connections as f64;
        check_range("connections", connections, 1.0, CONNECTION_LIMIT as f64)?;
        check_range("pending", self.pending as f64, 1.0, PENDING_LIMIT as f64)?;
        check_count("targets", self.targets.len(), 1)?;
        check_count("streams", self.streams.len(), 1)?;
        check_count("faults", self.faults.len(), 0)?;
        let rate = self.streams.iter().map(|stream| stream.rate).sum();
        check_range("rate over all streams", rate, 0.0, RATE_LIMIT)?;
        self.streams
            .iter()
            .try_for_each(|s| s.check(self.seconds))?;
        self.faults.iter().try_for_each(|f| f.check(self.seconds))?;
        check_loopback(&self.targets)
    }
}

impl Stream {
    fn check(&self, seconds: u64) -> Result<(), Invalid> {
        let seconds = seconds as f64;
        check_range("rate", self.rate, 0.001, RATE_LIMIT)?;
        let deadline = self.deadline_ms as f64;
        check_range("deadline_ms", deadline, 1.0, DEADLINE_LIMIT_MS as f64)?;
        check_range(
            "body length",
            self.body.len() as f64,
            0.0,
            BODY_LIMIT as f64,
        )?;
        check_range("start", self.start, 0.0, seconds)?;
        check_range("end", self.end.unwrap_or(seconds), self.start, seconds)?;
        let direct = self.direct.as_ref().map(|direct| direct.address);
        check_loopback(direct.as_slice())
    }
}

impl Fault {
    fn check(&self, seconds: u64) -> Result<(), Invalid> {
        check_range("at", self.at, 0.0, seconds as f64)?;
        check_count("addresses", self.addresses.len(), 1)?;
        check_loopback(&self.addresses)
    }
}

fn check_range(field: &'static str, value: f64, min: f64, max: f64) -> Result<(), Invalid> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err(Invalid::Range {
            field,
            value,
            min,
            max,
        }),
    }
}

fn check_count(field: &'static str, length: usize, min: usize) -> Result<(), Invalid> {
    match (min..=LIST_LIMIT).contains(&length) {
        true => Ok(()),
        false => Err(Invalid::Count { field }),
    }
}

/// Allows only loopback addresses, so that the tool can't put load on other machines.
fn check_loopback(addresses: &[SocketAddr]) -> Result<(), Invalid> {
    match addresses.iter().find(|a| !a.ip().is_loopback()) {
        Some(address) => Err(Invalid::Address { address: *address }),
        None => Ok(()),
    }
}
