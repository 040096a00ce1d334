//! Structured logging.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::{Duration, Instant};
use std::{panic, thread};

use derive_more::derive;
use serde::{Deserialize, Serialize};
use signal_hook::consts::signal;
use signal_hook::flag;
use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::FilterExt;
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, filter, fmt};

/// Capacity of the buffer for standard output, in lines. Lines beyond it are dropped, so that a
/// stalled reader never blocks the process.
const BUFFER_LINES: usize = 4_096;

/// Maximum number of lines written per second, not counting warnings and errors. An instance with
/// failures writes about 20 a second; the limit keeps bursts from using up its CPU.
pub const LINES_PER_SECOND: u32 = 100;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Plain text for reading at a terminal.
    #[default]
    Human,
}

/// Logging can't be initialized.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The level isn't a valid filter directive.
    #[display("log level: {_0}")]
    Filter(filter::ParseError),
    /// Logging was initialized before.
    #[display("logging is already initialized")]
    AlreadyInitialized,
    /// The signal for a file that is too large can't be handled.
    #[from(skip)]
    #[display("signals can't be handled: {_0}")]
    Signal(io::Error),
}

/// Writes log lines that match `level`, such as `info` or `marigoldloom_query=debug,info`, to
/// standard error.
///
/// # Errors
///
/// If `level` isn't a valid filter directive, or logging was initialized before.
pub fn init(format: Format, level: &str) -> Result<(), Error> {
    let filter = level.parse::<EnvFilter>()?;
    let builder = fmt().with_env_filter(filter).with_writer(io::stderr);
    let installed = match format {
        Format::Json => builder.json().flatten_event(true).finish().try_init(),
        Format::Human => builder.finish().try_init(),
    };
    installed.map_err(|_| Error::AlreadyInitialized)
}

/// Numbers of log lines that were not written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines beyond [`LINES_PER_SECOND`].
    pub limited: u64,
    /// Lines dropped because the buffer was full.
    pub full: u64,
}

/// Logging to standard output. Dropping it flushes the buffer, which blocks for as long as nobody
/// reads standard output; see [`Log::close`].
#[derive(Debug)]
pub struct Log {
    counter: DroppedLineCounter,
    guard: WorkerGuard,
}

impl Log {
    /// Returns the counter of lines that are not written.
    pub fn counter(&self) -> DroppedLineCounter {
        self.counter.clone()
    }

    /// Flushes the buffer. Lines that nobody has read after `limit` are lost.
    pub fn close(self, limit: Duration) {
        run_within(limit, move || drop(self.guard));
    }
}

/// Counts log lines that are not written.
#[derive(Clone, Debug)]
pub struct DroppedLineCounter {
    rate_limiter: RateLimiter,
    full: ErrorCounter,
}

impl DroppedLineCounter {
    /// Returns the numbers of lines that were not written since the start.
    pub fn dropped(&self) -> DroppedLines {
        DroppedLines {
            limited: self.rate_limiter.lock().limited,
            full: u64::try_from(self.full.dropped_lines()).unwrap_or(u64::MAX),
        }
    }
}

/// Writes log lines that match `level` as JSON to standard output, from a thread of its own, until
/// the returned [`Log`] is dropped. Lines beyond [`LINES_PER_SECOND`] other than warnings and
/// errors, and lines that don't fit into the buffer, are dropped and counted. So are, without a count,
/// lines that can't be written.
///
/// # Errors
///
/// If `level` isn't a valid filter directive, logging was initialized before, or a signal handler can't
/// be installed.
pub fn init_stdout(level: &str) -> Result<Log, Error> {
    let filter = level.parse::<EnvFilter>()?;
    // By default the signal ends the process when the log reaches the limit on the size of files. With
    // a handler, only the write fails.
    let reached = Arc::new(AtomicBool::new(false));
    flag::register(signal::SIGXFSZ, reached).map_err(Error::Signal)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFER_LINES)
        .finish(io::stdout());
    let full = writer.error_counter();
    let rate_limiter = RateLimiter::default();
    let lines = fmt::layer().json().flatten_event(true).with_writer(writer);
    let lines = lines.with_filter(filter.and(rate_limiter.clone()));
    let installed = tracing_subscriber::registry().with(lines).try_init();
    installed.map_err(|_| Error::AlreadyInitialized)?;
    Ok(Log {
        counter: DroppedLineCounter { rate_limiter, full },
        guard,
    })
}

/// Writes a line to standard error. It is lost if nobody has read it after `limit`.
pub fn report(line: impl Display, limit: Duration) {
    let line = line.to_string();
    run_within(limit, move || {
        // A failure to write to standard error can't be reported anywhere.
        let _ = writeln!(io::stderr(), "{line}");
    });
}

/// Runs `operation` on a thread of its own and waits for its end, at most for `limit`.
fn run_within(limit: Duration, operation: impl FnOnce() + Send + 'static) {
    let (sender, ended) = mpsc::channel::<()>();
    let running = thread::Builder::new().spawn(move || {
        operation();
        drop(sender);
    });
    if running.is_ok() {
        // Nothing is sent: the end of the thread disconnects the channel.
        let _ = ended.recv_timeout(limit);
    }
}

/// Logs panics of all threads as errors, in addition to the default report on standard error. A task
/// that panics ends, and nothing else says that its work isn't done any more.
pub fn report_panics() {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string);
        let thread = thread::current();
        tracing::error!(
            panic = info.payload_as_str(),
            location,
            thread = thread.name(),
            "a thread panicked"
        );
        default(info);
    }));
}

/// Limits the number of log lines per second.
#[derive(Clone, Debug, Default)]
struct RateLimiter(Arc<Mutex<Window>>);

#[derive(Debug, Default)]
struct Window {
    start: Option<Instant>,
    lines: u32,
    limited: u64,
}

impl RateLimiter {
    fn lock(&self) -> MutexGuard<'_, Window> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, now: Instant) -> bool {
        let mut window = self.lock();
        let second = Duration::from_secs(1);
        if window
            .start
            .is_none_or(|at| now.duration_since(at) >= second)
        {
            window.start = Some(now);
            window.lines = 0;
        }
        window.lines += 1;
        let admitted = window.lines <= LINES_PER_SECOND;
        window.limited += u64::from(!admitted);
        admitted
    }
}

impl<S> Filter<S> for RateLimiter {
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        metadata.is_span() || *metadata.level() <= Level::WARN || self.admit(Instant::now())
    }
}
