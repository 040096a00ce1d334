//! Structured logs.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::derive;
use serde::{Deserialize, Serialize};
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::FilterExt;
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, filter, fmt};

/// Lines that wait to be written. More are dropped, so that a reader that stops reading never
/// stops the process.
const BUFFER_LINES: usize = 4_096;

/// Lines of each second that are written, warnings and errors not counted. An instance writes
/// about 20 a second in trouble; a burst of failures must not take its processor.
pub const LINES_PER_SECOND: u32 = 100;

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

/// Log lines that were not written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Beyond [`LINES_PER_SECOND`].
    pub limited: u64,
    /// For want of room in the buffer.
    pub full: u64,
}

/// Logging to standard output. Dropping it writes what is buffered.
#[derive(Debug)]
pub struct Log {
    counter: Counter,
    _guard: WorkerGuard,
}

impl Log {
    /// Counts the lines that are not written.
    pub fn counter(&self) -> Counter {
        self.counter.clone()
    }
}

/// Counts log lines that are not written.
#[derive(Clone, Debug)]
pub struct Counter {
    limiter: Limiter,
    full: ErrorCounter,
}

impl Counter {
    /// Lines that were not written since the start.
    pub fn dropped(&self) -> Dropped {
        Dropped {
            limited: self.limiter.lock().limited,
            full: u64::try_from(self.full.dropped_lines()).unwrap_or(u64::MAX),
        }
    }
}

/// Writes log lines of `level` as JSON to standard output from a thread of their own, for as
/// long as the result lives. Lines beyond [`LINES_PER_SECOND`] that are no warnings, and lines
/// that find no room in the buffer, are dropped and counted.
///
/// # Errors
///
/// If `level` isn't a filter, or logging was set up before.
pub fn init_stdout(level: &str) -> Result<Log, Error> {
    let filter = level.parse::<EnvFilter>()?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFER_LINES)
        .finish(io::stdout());
    let full = writer.error_counter();
    let limiter = Limiter::default();
    let lines = fmt::layer().json().flatten_event(true).with_writer(writer);
    let lines = lines.with_filter(filter.and(limiter.clone()));
    let installed = tracing_subscriber::registry().with(lines).try_init();
    installed.map_err(|_| Error::Installed)?;
    Ok(Log {
        counter: Counter { limiter, full },
        _guard: guard,
    })
}

/// Bounds the lines of each second.
#[derive(Clone, Debug, Default)]
struct Limiter(Arc<Mutex<Window>>);

#[derive(Debug, Default)]
struct Window {
    since: Option<Instant>,
    lines: u32,
    limited: u64,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, Window> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, now: Instant) -> bool {
        let mut window = self.lock();
        let second = Duration::from_secs(1);
        if window
            .since
            .is_none_or(|at| now.duration_since(at) >= second)
        {
            window.since = Some(now);
            window.lines = 0;
        }
        window.lines += 1;
        let admitted = window.lines <= LINES_PER_SECOND;
        window.limited += u64::from(!admitted);
        admitted
    }
}

impl<S> Filter<S> for Limiter {
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        metadata.is_span() || *metadata.level() <= Level::WARN || self.admit(Instant::now())
    }
}
