//! Clocks of the production runtime.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{DynamicClockId, clock_gettime_dynamic};

/// A source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since a fixed point, without the time during which the machine was
    /// suspended. Timers run on this clock.
    fn steady(&self) -> Duration;

    /// Returns the time since a fixed point, including the time during which the machine was
    /// suspended, or `None` if the system can't tell.
    fn boot(&self) -> Option<Duration>;

    /// Returns the time that permissions are checked against.
    fn elapsed(&self) -> Duration {
        self.boot().unwrap_or_else(|| self.steady())
    }
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn steady(&self) -> Duration {
        static START: OnceLock<Instant> = OnceLock::new();
        START.get_or_init(Instant::now).elapsed()
    }

    fn boot(&self) -> Option<Duration> {
        let time = clock_gettime_dynamic(DynamicClockId::Boottime).ok()?;
        Duration::try_from(time).ok()
    }
}
