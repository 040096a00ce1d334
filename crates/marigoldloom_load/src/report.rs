//! Report of a run, which is written as JSON and HTML.

use std::collections::BTreeMap;

use marigoldloom_records::class;
use serde::{Deserialize, Serialize};

use crate::{caller, recorder, scenario};

/// Report of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// All requests.
    pub all: Summary,
    /// Requests by tenant and class.
    pub groups: Vec<GroupReport>,
    /// Requests by class and second of the intended send time.
    pub timeline: Vec<Point>,
    /// Faults that were set.
    pub faults: Vec<FaultReport>,
}

/// Outcomes and latencies of a set of requests. Latencies are `None` without answers.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Summary {
    /// Number of requests that ended.
    pub total: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<caller::Outcome, u64>,
    /// Requests answered in time by every shard, per second of the run.
    pub goodput: f64,
    /// Median latency in milliseconds.
    pub p50_ms: Option<f64>,
    /// 99th percentile of latency in milliseconds.
    pub p99_ms: Option<f64>,
    /// 99.9th percentile of latency in milliseconds.
    pub p999_ms: Option<f64>,
    /// Greatest latency in milliseconds.
    pub max_ms: Option<f64>,
    /// Mean coverage of the answers, from 0 to 1; `None` if none states its coverage.
    pub coverage: Option<f64>,
}

/// Results of one tenant's requests of one class.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupReport {
    /// Name of the tenant.
    pub tenant: String,
    /// Class of the requests.
    pub class: class::Class,
    /// Outcomes and latencies.
    pub summary: Summary,
}

/// Results of the requests of one class whose intended send time is in one second.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Point {
    /// Second of the run, from 0.
    pub second: u64,
    /// Class of the requests.
    pub class: class::Class,
    /// Number of requests that ended.
    pub total: u64,
    /// Number of requests answered in time by every shard.
    pub complete: u64,
    /// Median latency in milliseconds.
    pub p50_ms: Option<f64>,
    /// 99th percentile of latency in milliseconds.
    pub p99_ms: Option<f64>,
    /// Mean coverage of the answers, from 0 to 1; `None` if none states its coverage.
    pub coverage: Option<f64>,
}

/// A change of faults that was made during the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FaultReport {
    /// Intended time of the change, in seconds after the start of the run.
    pub at: f64,
    /// Name of the change.
    pub name: String,
    /// Number of stand-ins that could not be reached or refused the change.
    pub failed: usize,
}

impl Report {
    /// Summarises the recorded results.
    pub fn new(
        scenario: &scenario::Scenario,
        recorder: &recorder::Recorder,
        faults: Vec<FaultReport>,
    ) -> Self {
        let seconds = scenario.seconds;
        let groups = recorder.groups.iter().map(|(group, series)| GroupReport {
            tenant: group.tenant.clone(),
            class: group.class,
            summary: Summary::new(series, seconds),
        });
        let timeline = recorder.seconds.iter();
        Self {
            name: scenario.name.clone(),
            seconds,
            all: Summary::new(&recorder.all, seconds),
            groups: groups.collect(),
            timeline: timeline
                .map(|(key, series)| Point::new(*key, series))
                .collect(),
            faults,
        }
    }
}

impl Summary {
    fn new(series: &recorder::Series, seconds: u64) -> Self {
        Self {
            total: series.total(),
            outcomes: series.outcomes.clone(),
            goodput: series.count(caller::Outcome::Complete) as f64 / seconds as f64,
            p50_ms: series.latency_ms(0.5),
            p99_ms: series.latency_ms(0.99),
            p999_ms: series.latency_ms(0.999),
            max_ms: series.latency_ms(1.0),
            coverage: series.coverage(),
        }
    }
}

impl Point {
    fn new((class, second): (class::Class, u64), series: &recorder::Series) -> Self {
        Self {
            second,
            class,
            total: series.total(),
            complete: series.count(caller::Outcome::Complete),
            p50_ms: series.latency_ms(0.5),
            p99_ms: series.latency_ms(0.99),
            coverage: series.coverage(),
        }
    }
}
