//! Bounds on the figures, which are read from `bounds.toml`.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::derive;
use serde::Deserialize;

use crate::differential::Difference;
use crate::fault::Fault;
use crate::figures::{Figures, Name};
use crate::scenario::Scenario;

/// Content of `bounds.toml`, compiled into the crate.
const BOUNDS_TOML: &str = include_str!("../bounds.toml");

/// The bounds of a file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Bounds {
    bound: Vec<Bound>,
}

/// Limits on a figure, with the scenarios to which they apply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Bound {
    /// Figure to which the limits apply.
    pub figure: Name,
    /// Upper limit, inclusive.
    pub at_most: Option<f64>,
    /// Lower limit, inclusive.
    pub at_least: Option<f64>,
    /// Value that the limits are multiples of. If absent, the limits are absolute.
    pub of: Option<Base>,
    /// Sets of faults under which the bound applies. If absent, it applies under all.
    pub faults: Option<Vec<Vec<Fault>>>,
    /// Offered loads at which the bound applies. If absent, it applies to the scenarios without
    /// an offered load.
    pub loads: Option<Vec<f64>>,
    /// Whether the bound applies to scenarios with and without an offered load. Ignored if
    /// `loads` is present.
    #[serde(default)]
    pub always: bool,
    /// Sentence of the design page that requires the bound.
    pub source: String,
}

/// Value that a bound's limits are multiples of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// The same figure of the naive baseline.
    #[display("the naive figure")]
    Naive,
    /// The greatest goodput of the fleet over all its offered loads.
    #[display("the peak over all loads")]
    Peak,
}

/// Figures of one scenario for the engine and the naive baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    /// Scenario that was run.
    pub scenario: Scenario,
    /// Figures of the engine.
    pub engine: Figures,
    /// Figures of the naive baseline.
    pub naive: Figures,
    /// Comparison of the answers of the engine and the naive baseline.
    pub difference: Difference,
    /// Number of refused calls and missing shards of the engine, by reason.
    pub reasons: BTreeMap<String, u32>,
}

/// A figure of a scenario that is outside a bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Name of the scenario, as [`Scenario::name`] returns it.
    pub scenario: String,
    /// Figure that is outside the bound.
    pub figure: Name,
    /// Value of the figure.
    pub value: f64,
    /// Absolute limit that the value exceeds or falls below.
    pub limit: f64,
    /// Sentence of the design page that requires the bound.
    pub source: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            scenario,
            figure,
            value,
            limit,
            source,
        } = self;
        write!(
            f,
            "{scenario}: {figure:?} is {value}, the bound is {limit} ({source})"
        )
    }
}

impl Bounds {
    /// Parses the `bounds.toml` that is compiled into the crate.
    ///
    /// # Errors
    ///
    /// If the file is invalid.
    pub fn load() -> Result<Self, toml::de::Error> {
        toml::from_str(BOUNDS_TOML)
    }

    /// Returns the violations of all bounds by these scenarios.
    pub fn check(&self, measured: &[Measured]) -> Vec<Violation> {
        let peaks = peaks(measured);
        let pairs = measured
            .iter()
            .flat_map(|m| self.bound.iter().map(move |b| (m, b)));
        pairs
            .filter(|(m, b)| b.applies_to(&m.scenario))
            .filter_map(|(m, b)| b.check(m, &peaks))
            .collect()
    }
}

/// Greatest goodput over all offered loads, by service.
type Peaks = BTreeMap<&'static str, f64>;

fn peaks(measured: &[Measured]) -> Peaks {
    let mut peaks = Peaks::new();
    for m in measured.iter().filter(|m| m.scenario.load.is_some()) {
        let peak = peaks.entry(m.scenario.fleet.service).or_default();
        *peak = f64::max(*peak, m.engine.goodput);
    }
    peaks
}

impl Bound {
    fn applies_to(&self, scenario: &Scenario) -> bool {
        let faults = match &self.faults {
            Some(sets) => sets.contains(&scenario.faults),
            None => true,
        };
        let load = match (&self.loads, scenario.load) {
            (Some(loads), Some(load)) => loads.contains(&load),
            (Some(_), None) => false,
            (None, load) => self.always || load.is_none(),
        };
        faults && load
    }

    fn check(&self, measured: &Measured, peaks: &Peaks) -> Option<Violation> {
        let base = match self.of {
            None => 1.0,
            Some(Base::Naive) => measured.naive.get(self.figure),
            Some(Base::Peak) => peaks.get(measured.scenario.fleet.service).copied()?,
        };
        let value = measured.engine.get(self.figure);
        let over = self.at_most.map(|m| m * base).filter(|m| value > *m);
        let under = self.at_least.map(|m| m * base).filter(|m| value < *m);
        over.or(under).map(|limit| Violation {
            scenario: measured.scenario.name(),
            figure: self.figure,
            value,
            limit,
            source: self.source.clone(),
        })
    }
}
