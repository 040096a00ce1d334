//! Table of the figures, and the file of recorded figures.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use serde::{Deserialize, Serialize};

use crate::bounds::Measured;
use crate::figures::Figures;

const HEADER: &str = "\
| scenario | version | p50 ms | p99 ms | coverage | full | hedges | hedges+retries | goodput/s \
| cold overruns | false \"not run\" | false coverage | crashes |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// Figures of an earlier run, with which later runs are compared.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Record {
    /// Figures of the engine, by the scenario's name.
    pub scenarios: BTreeMap<String, Figures>,
}

impl Record {
    /// Creates the record of a run.
    pub fn new(measured: &[Measured]) -> Self {
        let figures = measured.iter().map(|m| (m.scenario.name(), m.engine));
        Self {
            scenarios: figures.collect(),
        }
    }

    /// Parses a record from TOML.
    ///
    /// # Errors
    ///
    /// If the text isn't a valid record.
    pub fn from_toml(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Formats the record as TOML.
    ///
    /// # Errors
    ///
    /// If a figure can't be represented in TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

/// Formats the figures as a Markdown table, followed by the counts of refused calls and missing
/// shards.
///
/// # Errors
///
/// If the formatter fails.
pub fn table(measured: &[Measured], record: &Record) -> Result<String, fmt::Error> {
    let mut text = HEADER.to_owned();
    for m in measured {
        let name = m.scenario.name();
        row(&mut text, &name, "ours", &m.engine)?;
        row(&mut text, &name, "naive", &m.naive)?;
        if let Some(recorded) = record.scenarios.get(&name) {
            row(&mut text, &name, "recorded", recorded)?;
        }
    }
    let compared: u32 = measured.iter().map(|m| m.difference.compared).sum();
    let differing: u32 = measured.iter().map(|m| m.difference.differing).sum();
    writeln!(
        text,
        "\n{compared} full answers compared with the naive baseline, {differing} differ."
    )?;
    for m in measured {
        for (reason, count) in &m.reasons {
            writeln!(text, "- {}: {count} {reason}", m.scenario.name())?;
        }
    }
    Ok(text)
}

fn row(text: &mut String, name: &str, version: &str, f: &Figures) -> fmt::Result {
    write!(text, "| {name} | {version} | {} | {} |", f.p50_ms, f.p99_ms)?;
    write!(
        text,
        " {} | {} | {} |",
        f.coverage,
        f.full,
        percent(f.hedges)
    )?;
    write!(text, " {} | {} |", percent(f.extra), f.goodput)?;
    write!(text, " {} | {} |", f.overruns, f.false_not_run)?;
    writeln!(text, " {} | {} |", f.false_coverage, f.crashes)
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
