//! The production runtime on async-std.

use std::pin;
use std::time;
use std::time::Duration;

use async_std::task;
use event_listener::Event;
use futures::future;

use crate::clock::{Clock, SystemClock};
use crate::runtime::Runtime;
use crate::time::{Timestamp, WallTime, millis};

/// Time between two checks whether the machine was suspended. Timers of at most this length aren't
/// woken early after a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest suspension that wakes the timers.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Notified after a suspension, since the timers of the executor don't count it.
static RESUMED: Event = Event::new();

/// Runtime on async-std's executor, the system clock and the thread-local random generator.
#[derive(Clone, Copy, Debug)]
pub struct AsyncStd<C = SystemClock> {
    clock: C,
    start: Duration,
}

impl AsyncStd {
    /// Creates a runtime whose monotonic clock starts now.
    pub fn new() -> Self {
        Self::with_clock(SystemClock)
    }
}

impl Default for AsyncStd {
    fn default() -> Self {
        Self::new()
    }
}

impl<C: Clock> AsyncStd<C> {
    /// Creates a runtime on `clock`.
    pub fn with_clock(clock: C) -> Self {
        let start = clock.elapsed();
        Self { clock, start }
    }

    /// Wakes timers that came due while the machine was suspended, for as long as the future is
    /// polled. Without it they fire late by the time of the suspension.
    pub async fn watch_suspensions(self) {
        loop {
            let before = (self.clock.elapsed(), self.clock.steady());
            task::sleep(CHECK_INTERVAL).await;
            let steady = self.clock.steady().saturating_sub(before.1);
            let passed = self.clock.elapsed().saturating_sub(before.0);
            let suspended = passed.saturating_sub(steady);
            if suspended >= MIN_SUSPENSION {
                tracing::warn!(suspended_ms = millis(suspended), "machine was suspended");
                RESUMED.notify(usize::MAX);
            }
        }
    }
}

impl<C: Clock> Runtime for AsyncStd<C> {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.clock.elapsed().saturating_sub(self.start)
    }

    fn wall(&self) -> WallTime {
        let elapsed = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(millis(elapsed))
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + 'static {
        let rt = self.clone();
        let deadline = rt.now() + duration;
        async move {
            let mut left = duration;
            while left > CHECK_INTERVAL {
                let resumed = RESUMED.listen();
                left = deadline.since(rt.now());
                let timer = pin::pin!(task::sleep(left));
                future::select(timer, resumed).await;
                left = deadline.since(rt.now());
            }
            task::sleep(left).await;
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        task::spawn(task);
    }

    fn random(&self) -> u64 {
        rand::random()
    }
}
