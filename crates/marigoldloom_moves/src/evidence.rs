//! Counters of the requests to both versions of a move.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_records::version_move;
use serde::{Deserialize, Serialize};

use crate::plan::Traffic;
use crate::share;

/// Counters of the requests to one version. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Add)]
#[serde(rename_all = "snake_case", default)]
pub struct Counters {
    /// Finished requests.
    pub requests: u64,
    /// Failed requests.
    pub failures: u64,
    /// Successful requests whose latency was compared with the threshold of slow replies.
    pub timed: u64,
    /// Successful requests whose latency was above the threshold at that time.
    pub slow: u64,
    /// Attempts that were sent, also those that haven't ended.
    pub started: u64,
    /// Attempts that ended without telling anything about the version.
    pub discarded: u64,
}

/// Counters of both versions over the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Add)]
#[serde(rename_all = "snake_case", default)]
pub struct CounterPair {
    /// The version that traffic moves to.
    pub new: Counters,
    /// The version that traffic leaves.
    pub old: Counters,
}

/// Counters of one instance for one move, by route and step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Report {
    /// Whether the instance found the move complete.
    pub done: bool,
    /// Time since the start of the move by the instance's clock, in milliseconds; zero if the
    /// move's record states the start.
    #[serde(skip_serializing_if = "is_zero")]
    pub elapsed_ms: u64,
    /// Counters by route, then by the step during which they were counted.
    pub routes: BTreeMap<String, BTreeMap<share::Step, CounterPair>>,
}

/// The reports of all instances for one move, by writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedReports {
    reports: BTreeMap<String, Report>,
}

impl Counters {
    /// Returns the number of attempts that haven't ended.
    pub const fn pending(&self) -> u64 {
        self.started.saturating_sub(self.requests + self.discarded)
    }

    fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            failures: self.failures.max(other.failures),
            timed: self.timed.max(other.timed),
            slow: self.slow.max(other.slow),
            started: self.started.max(other.started),
            discarded: self.discarded.max(other.discarded),
        }
    }

    fn increase_since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
            started: self.started.saturating_sub(earlier.started),
            discarded: self.discarded.saturating_sub(earlier.discarded),
        }
    }
}

impl CounterPair {
    /// Returns what was counted after `earlier`.
    pub fn increase_since(self, earlier: Self) -> Self {
        Self {
            new: self.new.increase_since(earlier.new),
            old: self.old.increase_since(earlier.old),
        }
    }

    /// Returns the number of requests to both versions.
    pub const fn requests(&self) -> u64 {
        self.new.requests + self.old.requests
    }

    fn max(self, other: Self) -> Self {
        Self {
            new: self.new.max(other.new),
            old: self.old.max(other.old),
        }
    }
}

impl Report {
    /// Merges another report of the same writer; each counter keeps its greater value.
    fn merge(&mut self, other: &Self) {
        self.done |= other.done;
        self.elapsed_ms = self.elapsed_ms.max(other.elapsed_ms);
        for (route, by_step) in &other.routes {
            let own = self.routes.entry(route.clone()).or_default();
            for (&step, pair) in by_step {
                let own = own.entry(step).or_default();
                *own = own.max(*pair);
            }
        }
    }
}

impl MergedReports {
    /// Merges a report of `writer`; each counter keeps its greater value.
    pub fn add(&mut self, writer: &str, report: &Report) {
        let own = self.reports.entry(writer.to_owned()).or_default();
        own.merge(report);
    }

    /// Merges all reports of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (writer, report) in &other.reports {
            self.add(writer, report);
        }
    }

    /// Returns whether any instance found the move complete.
    pub fn is_done(&self) -> bool {
        self.reports.values().any(|report| report.done)
    }

    /// Returns the longest time since the start of the move that an instance has reported.
    pub fn elapsed(&self) -> Duration {
        let elapsed = self.reports.values().map(|report| report.elapsed_ms);
        Duration::from_millis(elapsed.max().unwrap_or_default())
    }

    /// Returns the requests per second to both versions, each writer's over its own time.
    pub fn rate(&self) -> f64 {
        let rates = self.reports.values().map(|report| {
            let pairs = report.routes.values().flat_map(BTreeMap::values);
            let requests: u64 = pairs.map(CounterPair::requests).sum();
            let elapsed = Duration::from_millis(report.elapsed_ms.max(1));
            requests as f64 / elapsed.as_secs_f64()
        });
        rates.sum()
    }

    /// Returns the requests to the service over all instances.
    pub(crate) fn traffic(&self) -> Traffic {
        let reports = self.reports.values().flat_map(|r| r.routes.values());
        let pairs = reports.flat_map(BTreeMap::values);
        let sum = pairs.fold(CounterPair::default(), |sum, pair| sum + *pair);
        Traffic {
            rate: self.rate(),
            all: (sum.new.started + sum.old.started) as f64,
            new: sum.new.started as f64,
        }
    }

    /// Returns all routes with evidence.
    pub fn routes(&self) -> BTreeSet<&str> {
        let routes = self.reports.values().flat_map(|r| r.routes.keys());
        routes.map(String::as_str).collect()
    }

    /// Returns the sums over all instances on `route` at the given steps.
    pub fn total(&self, route: &str, steps: &[share::Step]) -> CounterPair {
        let by_step = self.reports.values().filter_map(|r| r.routes.get(route));
        let pairs = by_step.flat_map(|by_step| steps.iter().filter_map(|s| by_step.get(s)));
        pairs.fold(CounterPair::default(), |sum, pair| sum + *pair)
    }

    /// Returns the sums over all instances on `route`, by step.
    pub fn totals_by_step(&self, route: &str) -> BTreeMap<share::Step, CounterPair> {
        let mut sums = BTreeMap::new();
        let by_step = self.reports.values().filter_map(|r| r.routes.get(route));
        for (&step, &pair) in by_step.flatten() {
            let sum: &mut CounterPair = sums.entry(step).or_default();
            *sum = *sum + pair;
        }
        sums
    }

    /// Returns the sums by route, as a move's status holds them.
    pub fn summary(&self) -> BTreeMap<String, version_move::RouteEvidence> {
        let routes = self.routes().into_iter();
        let sum = |route: &str| route_evidence(self.total(route, &share::Step::ALL));
        routes.map(|r| (r.to_owned(), sum(r))).collect()
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

const fn route_evidence(pair: CounterPair) -> version_move::RouteEvidence {
    version_move::RouteEvidence {
        requests: pair.new.requests,
        failures: pair.new.failures,
        slow: pair.new.slow,
        old_requests: pair.old.requests,
        old_failures: pair.old.failures,
        old_slow: pair.old.slow,
    }
}
