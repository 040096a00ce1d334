//! Parsing and formatting of times and time spans.

use std::str;
use std::time::{Duration, UNIX_EPOCH};

use derive_more::derive;
use marigoldloom_runtime::time::WallTime;

/// Longest time span accepted on the command line.
pub const SPAN_LIMIT: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Latest time that can be formatted as a date: the last second of the year 9999.
const LATEST_DATE: WallTime = WallTime(253_402_300_799_000);

/// A time span on the command line, e.g. `90s` or `1h 30m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Duration);

/// Why a text is not a valid time span.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum InvalidSpan {
    /// The text is malformed.
    #[display("{_0}")]
    Syntax(humantime::DurationError),
    /// The span is longer than [`SPAN_LIMIT`].
    #[display("the time span is longer than 366 days")]
    #[from(skip)]
    TooLong,
}

impl str::FromStr for Span {
    type Err = InvalidSpan;

    fn from_str(text: &str) -> Result<Self, InvalidSpan> {
        match humantime::parse_duration(text)? {
            span if span > SPAN_LIMIT => Err(InvalidSpan::TooLong),
            span => Ok(Self(span)),
        }
    }
}

/// Formats a time span, truncated to whole seconds.
pub fn format_span(duration: Duration) -> String {
    let seconds = Duration::from_secs(duration.as_secs());
    humantime::format_duration(seconds).to_string()
}

/// Formats a point in time as an RFC 3339 date in UTC. Times later than [`LATEST_DATE`] have no
/// such form and are shown as [`LATEST_DATE`].
pub fn format_time(at: WallTime) -> String {
    let since = Duration::from_millis(at.min(LATEST_DATE).0);
    humantime::format_rfc3339_seconds(UNIX_EPOCH + since).to_string()
}
