//! The runtime trait and helpers built on it.

use std::future;
use std::time::Duration;

use derive_more::derive;
use futures::future as combinators;

use crate::time;

/// Clock, timers, spawning and randomness.
pub trait Runtime: Clone + Send + Sync + 'static {
    /// Returns the current monotonic time.
    fn now(&self) -> time::Timestamp;

    /// Returns the current wall-clock time.
    fn wall(&self) -> time::WallTime;

    /// Completes once `duration` has passed on the monotonic clock.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + 'static;

    /// Spawns a detached task; it can return results only through channels or shared state.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static);

    /// Returns a uniformly distributed random number; seeded and repeatable in tests.
    fn random(&self) -> u64;
}

/// The operation didn't finish within its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the time limit passed")]
pub struct Elapsed;

/// Runs `operation` for at most `limit`, then cancels it by dropping it.
///
/// The operation is boxed because an async function stores each argument twice: nested
/// timeouts would double the size of the inner future at each level and overflow the stack.
///
/// # Errors
///
/// [`Elapsed`] if the limit passes first.
pub fn timeout<T>(
    rt: &impl Runtime,
    limit: Duration,
    operation: impl future::Future<Output = T>,
) -> impl future::Future<Output = Result<T, Elapsed>> {
    let race = combinators::select(Box::pin(operation), Box::pin(rt.sleep(limit)));
    async move {
        match race.await {
            combinators::Either::Left((value, _)) => Ok(value),
            combinators::Either::Right(((), _)) => Err(Elapsed),
        }
    }
}

/// Runs `operation` until `deadline`, then cancels it by dropping it.
///
/// # Errors
///
/// [`Elapsed`] if the deadline passes first.
pub fn timeout_at<T>(
    rt: &impl Runtime,
    deadline: time::Timestamp,
    operation: impl future::Future<Output = T>,
) -> impl future::Future<Output = Result<T, Elapsed>> {
    timeout(rt, deadline.since(rt.now()), operation)
}

/// Returns a random value in `0..bound`, or zero if `bound` is zero.
pub fn random_below(rt: &impl Runtime, bound: u64) -> u64 {
    match bound {
        0 => 0,
        n => rt.random() % n,
    }
}

/// Returns an exponential backoff with full jitter: uniform in `0..=min(cap, base * 2^attempt)`.
///
/// Full jitter keeps many instances from reconnecting at the same time after an outage.
pub fn backoff(rt: &impl Runtime, attempt: u32, base: Duration, cap: Duration) -> Duration {
    let ceiling = base.saturating_mul(1 << attempt.min(16)).min(cap);
    let nanos = u64::try_from(ceiling.as_nanos()).unwrap_or(u64::MAX);
    Duration::from_nanos(random_below(rt, nanos.saturating_add(1)))
}
