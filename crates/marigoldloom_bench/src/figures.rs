//! Figures that are computed from the runs of a scenario.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::checks;
use crate::measure::Run;
use crate::scenario;
use crate::world::Call;

/// Figures over all runs of a scenario. Latency, coverage and goodput are taken over the calls
/// of all runs together. Extra load, crashes and the counts that must be 0 are those of the
/// worst run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Figures {
    /// Median latency in milliseconds. A refused call counts with at least its whole timeout.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds, computed like the median.
    pub p99_ms: f64,
    /// Mean share of the shards that an answer covers; 0 for a refused call.
    pub coverage: f64,
    /// Share of the calls whose answer covers every shard.
    pub full: f64,
    /// Hedges per first attempt.
    pub hedges: f64,
    /// Hedges and retries per first attempt.
    pub extra: f64,
    /// Answers per second that cover every shard and arrive within the latency target of 280 ms.
    pub goodput: f64,
    /// Greatest number of running requests in excess of a cold upstream's slots.
    pub overruns: u32,
    /// Refusals that say "not run" although the request ran.
    pub false_not_run: u32,
    /// Answers whose coverage or parts differ from what the upstreams returned.
    pub false_coverage: u32,
    /// Crashes of upstreams that were caused by a request.
    pub crashes: u32,
}

impl Figures {
    /// Computes the figures from the runs of one scenario.
    pub fn new(runs: &[Run]) -> Self {
        let calls: Vec<&Call> = runs.iter().flat_map(|r| &r.calls).collect();
        let total = calls.len().max(1) as f64;
        let duration: f64 = runs.iter().map(|r| r.duration.as_secs_f64()).sum();
        let latencies: Vec<_> = calls.iter().map(|c| latency(c)).collect();
        let percentile = |percent| {
            let value = checks::percentile_of(latencies.clone(), percent);
            round(value.unwrap_or_default().as_secs_f64() * 1e3, 1)
        };
        let is_goodput = |c: &&&Call| c.is_full() && c.latency <= scenario::LATENCY_TARGET;
        let count =
            |predicate: fn(&Call) -> bool| calls.iter().filter(|c| predicate(c)).count() as f64;
        let checked: Vec<_> = runs.iter().map(LedgerFigures::new).collect();
        let worst = |value: fn(&LedgerFigures) -> u32| checked.iter().map(value).max().unwrap_or(0);
        let greatest = |value: fn(&Run) -> f64| runs.iter().map(value).fold(0.0, f64::max);
        Self {
            p50_ms: percentile(50),
            p99_ms: percentile(99),
            coverage: round(calls.iter().map(|c| coverage(c)).sum::<f64>() / total, 4),
            full: round(count(Call::is_full) / total, 4),
            hedges: round(greatest(|r| share(r, r.attempts.hedges)), 4),
            extra: round(greatest(extra), 4),
            goodput: round(calls.iter().filter(is_goodput).count() as f64 / duration, 1),
            overruns: worst(|t| t.overruns),
            false_not_run: worst(|t| t.false_not_run),
            false_coverage: worst(|t| t.false_coverage),
            crashes: worst(|t| t.crashes),
        }
    }

    /// Returns the figure with this name.
    pub fn get(&self, name: Name) -> f64 {
        match name {
            Name::P99Ms => self.p99_ms,
            Name::Full => self.full,
            Name::Hedges => self.hedges,
            Name::Extra => self.extra,
            Name::Goodput => self.goodput,
            Name::Overruns => self.overruns.into(),
            Name::FalseNotRun => self.false_not_run.into(),
            Name::FalseCoverage => self.false_coverage.into(),
            Name::Crashes => self.crashes.into(),
        }
    }
}

/// Name of a figure that can have a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Name {
    /// [`Figures::p99_ms`].
    P99Ms,
    /// [`Figures::full`].
    Full,
    /// [`Figures::hedges`].
    Hedges,
    /// [`Figures::extra`].
    Extra,
    /// [`Figures::goodput`].
    Goodput,
    /// [`Figures::overruns`].
    Overruns,
    /// [`Figures::false_not_run`].
    FalseNotRun,
    /// [`Figures::false_coverage`].
    FalseCoverage,
    /// [`Figures::crashes`].
    Crashes,
}

/// Figures that come from a check of one run against its ledger.
struct LedgerFigures {
    overruns: u32,
    false_not_run: u32,
    false_coverage: u32,
    crashes: u32,
}

impl LedgerFigures {
    fn new(run: &Run) -> Self {
        let index = checks::LedgerIndex::new(&run.ledger);
        let count = |predicate: &dyn Fn(&&Call) -> bool| {
            u32::try_from(run.calls.iter().filter(predicate).count()).unwrap_or(u32::MAX)
        };
        Self {
            overruns: run.ledger.cold_excess,
            false_not_run: count(&|c| !index.not_run_matches(c)),
            false_coverage: count(&|c| !index.coverage_matches(c) || checks::wrong_parts(c) > 0),
            crashes: u32::try_from(run.ledger.crashes.len()).unwrap_or(u32::MAX),
        }
    }
}

fn latency(call: &Call) -> Duration {
    match call.result {
        Ok(_) => call.latency,
        Err(_) => call.latency.max(call.timeout),
    }
}

fn coverage(call: &Call) -> f64 {
    match &call.result {
        Ok(answer) => {
            let total = f64::from(answer.coverage.total.max(1));
            answer.coverage.answered.len() as f64 / total
        }
        Err(_) => 0.0,
    }
}

fn share(run: &Run, attempts: u64) -> f64 {
    attempts as f64 / run.attempts.first.max(1) as f64
}

fn extra(run: &Run) -> f64 {
    share(run, run.attempts.hedges + run.attempts.retries)
}

fn round(value: f64, digits: i32) -> f64 {
    let unit = 10_f64.powi(digits);
    (value * unit).round() / unit
}
