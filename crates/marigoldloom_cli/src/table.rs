//! Plain-text tables for a terminal.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::difference;

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A table whose first row is the heading. All rows have the same number of cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only a heading.
    pub fn new<'a>(heading: impl IntoIterator<Item = &'a str>) -> Self {
        Self {
            rows: vec![heading.into_iter().map(str::to_owned).collect()],
        }
    }

    /// Adds a row, with control characters escaped.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows
            .push(cells.into_iter().map(escape_control).collect());
    }

    /// Creates a table with one row per leaf of the value.
    pub fn of_fields(value: &Value) -> Self {
        let mut table = Self::new(["field", "value"]);
        for (field, leaf) in difference::flatten(value) {
            table.add_row([field, cell_text(Some(leaf))]);
        }
        table
    }

    /// Creates a table with one row per value and one column per top-level field that any of
    /// them has.
    pub fn of_values(values: &[Value]) -> Self {
        let objects = values.iter().filter_map(Value::as_object);
        let fields: BTreeSet<&String> = objects.flat_map(|o| o.keys()).collect();
        let mut table = Self::new(fields.iter().map(|f| f.as_str()));
        for value in values {
            table.add_row(fields.iter().map(|f| cell_text(value.get(f))));
        }
        table
    }

    /// Creates a table of differences, with `heading` above the first values and `now` above
    /// the second.
    pub fn of_differences(heading: &str, differences: &[difference::Difference]) -> Self {
        let mut table = Self::new(["field", heading, "now"]);
        for d in differences {
            let (before, after) = (d.before.as_ref(), d.after.as_ref());
            table.add_row([d.field.clone(), cell_text(before), cell_text(after)]);
        }
        table
    }

    /// Inserts a column on the left.
    pub fn prepend_column(&mut self, heading: &str, cells: impl IntoIterator<Item = String>) {
        let cells = [heading.to_owned()].into_iter().chain(cells);
        for (row, cell) in self.rows.iter_mut().zip(cells) {
            row.insert(0, cell);
        }
    }

    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..count).map(|i| self.width(i)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells.map(|(c, w)| format!("{c:w$}")).collect();
            writeln!(f, "{}", padded.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}

/// Returns a string without its quotation marks, a missing or null value as a dash, and any
/// other value as JSON.
fn cell_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

/// Escapes control characters, which would break rows or be interpreted by the terminal.
fn escape_control(text: String) -> String {
    match text.contains(char::is_control) {
        true => text.escape_debug().to_string(),
        false => text,
    }
}
