//! Counts and latency histograms of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use marigoldloom_records::class;

use crate::caller;

/// Significant digits of the histograms of the whole run.
const DIGITS: u8 = 3;

/// Significant digits of the histograms of single seconds; fewer, because there are many of them.
const SECOND_DIGITS: u8 = 2;

/// Tenant and class of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Name of the tenant.
    pub tenant: String,
    /// Class of the requests.
    pub class: class::Class,
}

/// Outcomes and latencies of a set of requests.
#[derive(Clone, Debug)]
pub struct Series {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<caller::Outcome, u64>,
    /// Latencies of answers, late ones included, in microseconds.
    pub latency: Histogram<u64>,
    coverage_sum: f64,
    coverage_count: u64,
}

impl Series {
    fn new(digits: u8) -> Self {
        // Fails only for more than 5 digits.
        let latency = Histogram::new(digits).expect("at most 5 digits");
        Self {
            outcomes: BTreeMap::new(),
            latency,
            coverage_sum: 0.0,
            coverage_count: 0,
        }
    }

    /// Adds a request that ended.
    fn observe(&mut self, result: caller::CallResult, latency: Duration) {
        *self.outcomes.entry(result.outcome).or_default() += 1;
        let answered = matches!(
            result.outcome,
            caller::Outcome::Complete | caller::Outcome::Partial | caller::Outcome::Late
        );
        if answered {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes itself; recording fails only for values near 2^64.
            let _ = self.latency.record(micros);
        }
        if let Some(coverage) = result.coverage {
            self.coverage_sum += coverage;
            self.coverage_count += 1;
        }
    }

    /// Returns the number of requests that ended.
    pub fn total(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: caller::Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the latency in milliseconds at a quantile from 0 to 1; `None` without answers.
    pub fn latency_ms(&self, quantile: f64) -> Option<f64> {
        let micros = self.latency.value_at_quantile(quantile);
        (!self.latency.is_empty()).then(|| micros as f64 / 1_000.0)
    }

    /// Returns the mean coverage of the answers; `None` if none states its coverage.
    pub fn coverage(&self) -> Option<f64> {
        (self.coverage_count > 0).then(|| self.coverage_sum / self.coverage_count as f64)
    }
}

/// All results of a run.
#[derive(Clone, Debug)]
pub struct Recorder {
    /// Requests by tenant and class.
    pub groups: BTreeMap<Group, Series>,
    /// Requests by class and second of the intended send time.
    pub seconds: BTreeMap<(class::Class, u64), Series>,
    /// All requests.
    pub all: Series,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            seconds: BTreeMap::new(),
            all: Series::new(DIGITS),
        }
    }
}

impl Recorder {
    /// Adds a request that ended. `due` is its intended send time after the start of the run;
    /// `latency` counts from it.
    pub fn observe(
        &mut self,
        group: &Group,
        due: Duration,
        result: caller::CallResult,
        latency: Duration,
    ) {
        let second = (group.class, due.as_secs());
        let second = self.seconds.entry(second);
        let second = second.or_insert_with(|| Series::new(SECOND_DIGITS));
        second.observe(result, latency);
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), Series::new(DIGITS));
        }
        if let Some(series) = self.groups.get_mut(group) {
            series.observe(result, latency);
        }
        self.all.observe(result, latency);
    }
}
