//! Test support: a tier of separate processes on the loopback interface.

pub(crate) mod fleet;
pub(crate) mod load;
pub(crate) mod process;
pub(crate) mod web;

use std::thread;
use std::time::{Duration, Instant};

/// Maximum time to wait for a condition. Long, because the machine may be busy.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `check` returns a value.
///
/// # Panics
///
/// With `what` if there is no value in time.
pub(crate) fn wait_for<T>(what: &str, check: impl FnMut() -> Option<T>) -> T {
    wait_for_or_report(what, String::new, check)
}

/// Waits until `check` returns a value.
///
/// # Panics
///
/// With `what` and the text of `state` if there is no value in time.
pub(crate) fn wait_for_or_report<T>(
    what: &str,
    state: impl Fn() -> String,
    mut check: impl FnMut() -> Option<T>,
) -> T {
    let started = Instant::now();
    loop {
        match check() {
            Some(value) => return value,
            None if started.elapsed() > WAIT_TIMEOUT => {
                panic!("timed out after {WAIT_TIMEOUT:?}: {what} {}", state())
            }
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}
