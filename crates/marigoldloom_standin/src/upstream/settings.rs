//! Settings of a stand-in upstream.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

/// Settings of a stand-in upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Settings {
    /// Name; part of each answer.
    pub name: String,
    /// Address of the upstream protocol, which also serves the paths of `admin`.
    pub listen: SocketAddr,
    /// Address of `/faults`, `/counters` and `/drain`. `connections` doesn't limit it, so that
    /// the paths can be reached while the upstream is full.
    pub admin: SocketAddr,
    /// Version that the upstream holds.
    pub version: String,
    /// Shard map epoch that the upstream holds.
    pub epoch: u64,
    /// Shards that the upstream holds.
    pub shards: Vec<u32>,
    /// Greatest number of queries that run at a time.
    pub slots: u32,
    /// Greatest number of queries, running and waiting, that a cold upstream can take.
    pub cold_slots: u32,
    /// What a cold upstream does with a query beyond `cold_slots`.
    pub overload: Overload,
    /// Greatest number of queries that wait for a slot; further ones are refused.
    pub queue: u32,
    /// Greatest number of connections to `listen`.
    pub connections: usize,
    /// Time to set up a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Distribution of service times.
    pub service: ServiceTime,
    /// Whether the upstream is cold at its start.
    pub cold: bool,
    /// Number of answers after which a cold upstream is warm.
    pub warm_after: u32,
    /// Time for which a draining upstream answers queries with status 503 before it stops, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from a crash until the upstream listens again, in milliseconds. Without it, a crash
    /// ends the upstream.
    pub restart_ms: Option<u64>,
    /// Greatest age of the reported load, in milliseconds.
    pub report_ms: u64,
    /// Seed of service times and of the choice of queries that faults affect. Start ids don't
    /// depend on it: two processes with the same settings must have different ones.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            listen: ([127, 0, 0, 1], 0).into(),
            admin: ([127, 0, 0, 1], 0).into(),
            version: "v1".to_owned(),
            epoch: 1,
            shards: vec![0],
            slots: 3,
            cold_slots: 2,
            overload: Overload::Crash,
            queue: 16,
            connections: 30,
            connect_ms: 1,
            service: ServiceTime::default(),
            cold: false,
            warm_after: 20,
            drain_ms: 1_000,
            restart_ms: None,
            report_ms: 0,
            seed: 1,
        }
    }
}

/// What a cold upstream does with a query beyond `Settings::cold_slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Overload {
    /// Crashes.
    Crash,
    /// Fails the query and starts warming up anew.
    Fail,
}

/// Log-normal distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Median of a warm upstream in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the natural logarithm; with zero, each time is the median.
    pub sigma: f64,
    /// Factor on the service times of a cold upstream.
    pub cold_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_ms: 5.0,
            sigma: 0.3,
            cold_factor: 2.0,
        }
    }
}

impl ServiceTime {
    /// Draws a service time of a warm upstream.
    pub(super) fn draw(&self, rng: &mut impl Rng) -> Duration {
        let distribution = LogNormal::new(0.0, self.sigma.max(0.0));
        let factor = distribution.map_or(1.0, |d| d.sample(rng));
        scaled(self.median_ms, factor)
    }
}

/// Returns `millis` times `factor`; zero if the product is negative or too large for a duration.
pub(super) fn scaled(millis: f64, factor: f64) -> Duration {
    Duration::try_from_secs_f64(millis * factor / 1_000.0).unwrap_or_default()
}
