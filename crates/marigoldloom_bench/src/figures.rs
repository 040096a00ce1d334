//! The figures of a scenario.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::checks;
use crate::measure::Run;
use crate::scenario;
use crate::world::Call;

/// Figures over all seeds of a scenario. Latency and goodput are means over the calls of
/// all seeds; counts that must be 0, crashes and extra load are those of the worst seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Figures {
    /// Median latency in milliseconds. A call without an answer counts with its whole time.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Mean share of the shards in the result; a refusal has none.
    pub coverage: f64,
    /// Calls answered in full, as a share of all.
    pub full: f64,
    /// Hedges per first attempt.
    pub hedges: f64,
    /// Hedges and retries per first attempt.
    pub extra: f64,
    /// Full answers within the goal of 280 ms, per second.
    pub goodput: f64,
    /// Greatest excess of running requests over a cold upstream's slots.
    pub overruns: u32,
    /// Refusals that say "not run" of a request that ran.
    pub false_not_run: u32,
    /// Answers whose coverage or parts are not what the upstreams gave.
    pub false_coverage: u32,
    /// Upstreams that a request crashed.
    pub crashes: u32,
}

impl Figures {
    /// The figures of the runs of one scenario.
    pub fn new(runs: &[Run]) -> Self {
        let calls: Vec<&Call> = runs.iter().flat_map(|r| &r.calls).collect();
        let total = calls.len().max(1) as f64;
        let span: f64 = runs.iter().map(|r| r.span.as_secs_f64()).sum();
        let latencies: Vec<_> = calls.iter().map(|c| latency(c)).collect();
        let percentile = |percent| {
            let value = checks::rank(latencies.clone(), percent);
            round(value.unwrap_or_default().as_secs_f64() * 1e3, 1)
        };
        let good = |c: &&&Call| c.full() && c.latency <= scenario::GOAL;
        let count = |test: fn(&Call) -> bool| calls.iter().filter(|c| test(c)).count() as f64;
        let checked: Vec<_> = runs.iter().map(Truth::new).collect();
        let worst = |value: fn(&Truth) -> u32| checked.iter().map(value).max().unwrap_or(0);
        let greatest = |value: fn(&Run) -> f64| runs.iter().map(value).fold(0.0, f64::max);
        Self {
            p50_ms: percentile(50),
            p99_ms: percentile(99),
            coverage: round(calls.iter().map(|c| coverage(c)).sum::<f64>() / total, 4),
            full: round(count(Call::full) / total, 4),
            hedges: round(greatest(|r| share(r, r.spent.hedges)), 4),
            extra: round(greatest(extra), 4),
            goodput: round(calls.iter().filter(good).count() as f64 / span, 1),
            overruns: worst(|t| t.overruns),
            false_not_run: worst(|t| t.false_not_run),
            false_coverage: worst(|t| t.false_coverage),
            crashes: worst(|t| t.crashes),
        }
    }

    /// The figure of this name.
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

/// Names a figure that can have a bound.
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

/// What one run shows about the statements made to callers.
struct Truth {
    overruns: u32,
    false_not_run: u32,
    false_coverage: u32,
    crashes: u32,
}

impl Truth {
    fn new(run: &Run) -> Self {
        let index = checks::Index::new(&run.ledger);
        let count = |test: &dyn Fn(&&Call) -> bool| {
            u32::try_from(run.calls.iter().filter(test).count()).unwrap_or(u32::MAX)
        };
        Self {
            overruns: run.ledger.cold_excess,
            false_not_run: count(&|c| !index.not_run_true(c)),
            false_coverage: count(&|c| !index.coverage_true(c) || checks::wrong_parts(c) > 0),
            crashes: u32::try_from(run.ledger.crashes.len()).unwrap_or(u32::MAX),
        }
    }
}

fn latency(call: &Call) -> Duration {
    match call.result {
        Ok(_) => call.latency,
        Err(_) => call.latency.max(call.time),
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
    attempts as f64 / run.spent.first.max(1) as f64
}

fn extra(run: &Run) -> f64 {
    share(run, run.spent.hedges + run.spent.retries)
}

fn round(value: f64, digits: i32) -> f64 {
    let unit = 10_f64.powi(digits);
    (value * unit).round() / unit
}
