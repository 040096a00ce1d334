//! Structured logs.

use std::io;

use derive_more::derive;
use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, filter, fmt};

/// Lines that wait to be written. More are dropped, so that a reader that stops reading never
/// stops the process.
const BUFFER_LINES: usize = 4_096;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Human,
}

/// Why logging can't be set up.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The level isn't a valid filter.
    #[display("log level: {_0}")]
    Filter(filter::ParseError),
    /// Logging was set up before.
    #[display("logging is set up already")]
    Installed,
}

/// Sends log lines of `level` (`info`, or `marigoldloom_query=debug,info`) to standard error.
///
/// # Errors
///
/// If `level` isn't a filter, or logging was set up before.
pub fn init(format: Format, level: &str) -> Result<(), Error> {
    let filter = level.parse::<EnvFilter>()?;
    let builder = fmt().with_env_filter(filter).with_writer(io::stderr);
    let installed = match format {
        Format::Json => builder.json().flatten_event(true).finish().try_init(),
        Format::Human => builder.finish().try_init(),
    };
    installed.map_err(|_| Error::Installed)
}

/// Writes log lines of `level` as JSON to standard output from a thread of their own, for as
/// long as the guard lives. Lines that find no room in the buffer are dropped.
///
/// # Errors
///
/// If `level` isn't a filter, or logging was set up before.
pub fn init_stdout(level: &str) -> Result<WorkerGuard, Error> {
    let filter = level.parse::<EnvFilter>()?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFER_LINES)
        .finish(io::stdout());
    let builder = fmt().with_env_filter(filter).with_writer(writer);
    let installed = builder.json().flatten_event(true).finish().try_init();
    installed.map_err(|_| Error::Installed)?;
    Ok(guard)
}
