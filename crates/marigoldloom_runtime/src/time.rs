//! Monotonic and wall-clock time as plain values, because a virtual clock can't construct a
//! `std::time::Instant`.

use std::ops;
use std::time;

use derive_more::derive;
use serde::{Deserialize, Serialize};

/// A point on the runtime's monotonic clock, in nanoseconds since the runtime started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive::Display)]
#[display("{_0} ns")]
pub struct Timestamp(u64);

impl Timestamp {
    /// The time at which the runtime started.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from nanoseconds since the runtime started.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the nanoseconds since the runtime started.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: time::Duration) -> Self {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Used for times that operators read or write (move deadlines, event times) and that instances
/// exchange; measure intervals with [`Timestamp`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
#[display("{_0} ms")]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for WallTime {
    type Output = Self;

    fn add(self, rhs: time::Duration) -> Self {
        Self(self.0.saturating_add(millis(rhs)))
    }
}

/// Converts a duration to whole milliseconds, the unit of messages and records.
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
