//! The production runtime on async-std.

use std::time;
use std::time::Duration;

use async_std::task;

use crate::runtime;
use crate::time::{Timestamp, WallTime, millis};

/// Runtime on async-std's executor, the system clock and the thread-local random generator.
#[derive(Clone, Copy, Debug)]
pub struct AsyncStd {
    start: time::Instant,
}

impl AsyncStd {
    /// Creates a runtime whose monotonic clock starts now.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }
}

impl Default for AsyncStd {
    fn default() -> Self {
        Self::new()
    }
}

impl runtime::Runtime for AsyncStd {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    fn wall(&self) -> WallTime {
        let elapsed = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(millis(elapsed))
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + 'static {
        task::sleep(duration)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        task::spawn(task);
    }

    fn random(&self) -> u64 {
        rand::random()
    }
}
