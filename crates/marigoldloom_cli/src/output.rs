//! Output of results and failures as JSON or tables.

use std::io;
use std::str;

use derive_more::derive;
use marigoldloom_platform::object::{Change, Object};
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;
use crate::table::Table;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// JSON; commands that stream results print one value per line.
    Json,
    /// Human-readable columns.
    #[default]
    Table,
}

/// The name of the output format is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the format must be json or table")]
pub struct UnknownFormat;

impl str::FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, UnknownFormat> {
        match name {
            "json" => Ok(Self::Json),
            "table" => Ok(Self::Table),
            _ => Err(UnknownFormat),
        }
    }
}

/// Writes results and failures in the selected format.
pub struct Printer<W> {
    format: Format,
    sink: W,
}

impl<W: io::Write> Printer<W> {
    /// Creates a printer that writes to `sink`.
    pub fn new(format: Format, sink: W) -> Self {
        Self { format, sink }
    }

    /// Returns the sink.
    pub fn into_sink(self) -> W {
        self.sink
    }

    /// Prints text unchanged, in either format.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] if writing fails.
    pub fn text(&mut self, text: &str) -> Result<(), Error> {
        Ok(self.sink.write_all(text.as_bytes())?)
    }

    /// Prints one object; as a table, with one row per field.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn object(&mut self, object: &Object) -> Result<(), Error> {
        let fields = serde_json::to_value(object)?;
        self.json_or_tables(object, &[Table::of_fields(&fields)])
    }

    /// Prints objects of one kind; as a table, with a column per top-level field of their values.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn objects(&mut self, objects: &[Object]) -> Result<(), Error> {
        let values: Vec<Value> = objects.iter().map(|o| o.value.clone()).collect();
        let mut table = Table::of_values(&values);
        table.prepend_column(
            "object_version",
            objects.iter().map(|o| o.version.to_string()),
        );
        table.prepend_column("object", objects.iter().map(|o| o.key.name.clone()));
        self.json_or_tables(&objects, &[table])
    }

    /// Prints values; as a table, with a column per top-level field.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn items(&mut self, items: &[impl Serialize]) -> Result<(), Error> {
        let values: Result<Vec<Value>, _> = items.iter().map(serde_json::to_value).collect();
        self.json_or_tables(&items, &[Table::of_values(&values?)])
    }

    /// Prints `item` as JSON or `tables`, depending on the format.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn json_or_tables(&mut self, item: &impl Serialize, tables: &[Table]) -> Result<(), Error> {
        if self.format == Format::Json {
            return self.json(item);
        }
        let texts: Vec<String> = tables.iter().map(Table::to_string).collect();
        self.text(&texts.join("\n"))
    }

    /// Prints one result of a stream: `item` as one line of JSON, or `text`.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn line(&mut self, item: &impl Serialize, text: &str) -> Result<(), Error> {
        match self.format {
            Format::Json => writeln!(self.sink, "{}", serde_json::to_string(item)?)?,
            Format::Table => writeln!(self.sink, "{text}")?,
        }
        Ok(self.sink.flush()?)
    }

    /// Prints a change returned by a watch, on one line.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn change(&mut self, change: &Change) -> Result<(), Error> {
        let state = match &change.object {
            Some(object) => object.value.to_string(),
            None => "deleted".to_owned(),
        };
        self.line(
            change,
            &format!("{}  {}  {state}", change.revision, change.key),
        )
    }

    /// Prints a failure, and for a conflict the fields that differ.
    ///
    /// # Errors
    ///
    /// [`Error::Output`] or [`Error::Encode`].
    pub fn failure(&mut self, error: &Error) -> Result<(), Error> {
        let report = error.report();
        if self.format == Format::Json {
            return self.json(&report);
        }
        writeln!(self.sink, "marigoldloom: {}", report.message)?;
        match report.base {
            Some(base) if !report.differences.is_empty() => {
                let table = Table::of_differences(base.heading(), report.differences);
                self.text(&table.to_string())
            }
            _ => Ok(()),
        }
    }

    fn json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value)?;
        Ok(writeln!(self.sink, "{text}")?)
    }
}
