//! Limits the rate of requests to cold upstreams that can handle only a few of them a second.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

/// Keeps the time at which each rate-limited upstream may get its next request.
#[derive(Debug, Default)]
pub struct Pacer {
    next: Mutex<BTreeMap<Arc<str>, Timestamp>>,
}

impl Pacer {
    /// Creates a pacer without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    fn next(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Timestamp>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether `upstream`, which gets one request per `interval`, may get one at `now`. An
    /// upstream that is not known yet first waits for a part of the interval. `fraction` returns
    /// that part as a random number between 0 and 1, so that several senders don't all begin at
    /// the same time.
    pub fn is_due(
        &self,
        upstream: &Arc<str>,
        now: Timestamp,
        interval: Duration,
        fraction: impl FnOnce() -> f64,
    ) -> bool {
        let mut next = self.next();
        match next.get(upstream) {
            Some(at) => *at <= now,
            None => {
                next.insert(Arc::clone(upstream), now + interval.mul_f64(fraction()));
                false
            }
        }
    }

    /// Reserves the request that is due. Returns false if none is due or the upstream is not known.
    pub fn take(&self, upstream: &str, now: Timestamp, interval: Duration) -> bool {
        let mut next = self.next();
        let due = next.get_mut(upstream).filter(|at| **at <= now);
        match due {
            Some(at) => {
                *at = now + interval;
                true
            }
            None => false,
        }
    }

    /// Forgets an upstream that isn't rate-limited now.
    pub fn forget(&self, upstream: &str) {
        self.next().remove(upstream);
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.next().retain(|upstream, _| keep(upstream));
    }
}
