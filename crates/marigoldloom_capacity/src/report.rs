//! Reports: figures by size, linear fits and output.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use serde::Serialize;

/// Figures that were measured at one size.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Size in the unit of the report.
    pub size: usize,
    /// Figures by name. A name ends with the figure's unit, if it has one.
    pub figures: BTreeMap<&'static str, f64>,
}

impl Row {
    /// Creates a row from names and values.
    pub fn new(size: usize, figures: impl IntoIterator<Item = (&'static str, f64)>) -> Self {
        Self {
            size,
            figures: figures.into_iter().collect(),
        }
    }
}

/// Least-squares line through the values of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Line {
    /// Value of the line at size zero.
    pub base: f64,
    /// Increase of the value when the size grows by one.
    pub slope: f64,
}

impl Line {
    /// Returns the line's value at `size`.
    pub fn at(&self, size: usize) -> f64 {
        self.base + self.slope * size as f64
    }
}

/// Result of a measure.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Name of the measure.
    pub measure: &'static str,
    /// What the sizes count, such as `instances`.
    pub unit: &'static str,
    /// Target size, in the same unit, to which the figures are extrapolated.
    pub target: usize,
    /// Figures of each size, in the order in which the sizes were given.
    pub rows: Vec<Row>,
}

/// Linear fit of a figure with its extrapolation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Slope {
    /// Line through the figure's values.
    pub line: Line,
    /// Value of the line at the target size.
    pub target: f64,
}

impl Report {
    /// Fits a line through the values of a figure. Returns `None` if fewer than two different
    /// sizes have the figure.
    pub fn line(&self, figure: &str) -> Option<Line> {
        let point = |row: &Row| Some((row.size as f64, *row.figures.get(figure)?));
        let points: Vec<(f64, f64)> = self.rows.iter().filter_map(point).collect();
        let count = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let sum_xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        (sum_xx > 0.0).then(|| {
            let slope = sum_xy / sum_xx;
            Line {
                base: y - slope * x,
                slope,
            }
        })
    }

    /// Returns the names of the figures that at least one row has.
    fn figure_names(&self) -> BTreeSet<&'static str> {
        let names = self.rows.iter().flat_map(|row| row.figures.keys().copied());
        names.collect()
    }

    /// Returns the linear fits of all figures that have one, by the figure's name.
    pub fn slopes(&self) -> BTreeMap<&'static str, Slope> {
        self.figure_names()
            .into_iter()
            .filter_map(|name| {
                let line = self.line(name)?;
                let target = line.at(self.target);
                Some((name, Slope { line, target }))
            })
            .collect()
    }

    /// Writes the report as a table of plain text.
    ///
    /// # Errors
    ///
    /// If `out` can't be written to.
    pub fn write_human(&self, mut out: impl io::Write) -> io::Result<()> {
        writeln!(out, "{} by {}", self.measure, self.unit)?;
        write!(out, "{:<34}", "figure")?;
        for row in &self.rows {
            write!(out, "{:>12}", row.size)?;
        }
        writeln!(out, "{:>14}{:>14}", "slope", format!("at {}", self.target))?;
        let slopes = self.slopes();
        for name in self.figure_names() {
            write!(out, "{name:<34}")?;
            for row in &self.rows {
                let value = row.figures.get(name).copied().map(format_value);
                write!(out, "{:>12}", value.unwrap_or_default())?;
            }
            let (growth, target) = match slopes.get(name) {
                Some(slope) => (format_value(slope.line.slope), format_value(slope.target)),
                None => (String::new(), String::new()),
            };
            writeln!(out, "{growth:>14}{target:>14}")?;
        }
        Ok(())
    }

    /// Writes the report and the linear fits as one JSON object on one line.
    ///
    /// # Errors
    ///
    /// If `out` can't be written to.
    pub fn write_json(&self, mut out: impl io::Write) -> io::Result<()> {
        let value = serde_json::json!({"report": self, "slopes": self.slopes()});
        writeln!(out, "{value}")
    }
}

/// Formats a value with about four significant digits.
fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        v if v >= 1_000.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}
