//! Paces requests to upstreams that bear few of them a second while they are cold.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

/// When each paced upstream may get the next request.
#[derive(Debug, Default)]
pub struct Paces {
    next: Mutex<BTreeMap<Arc<str>, Timestamp>>,
}

impl Paces {
    /// Creates paces without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    fn next(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Timestamp>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether `upstream`, which gets one request in each `gap`, may get one at `now`. One that is
    /// new waits for a random part of the gap, as given by `fraction` between 0 and 1, so that
    /// several senders don't all begin at the same time.
    pub fn is_due(
        &self,
        upstream: &Arc<str>,
        now: Timestamp,
        gap: Duration,
        fraction: impl FnOnce() -> f64,
    ) -> bool {
        let mut next = self.next();
        match next.get(upstream) {
            Some(at) => *at <= now,
            None => {
                next.insert(Arc::clone(upstream), now + gap.mul_f64(fraction()));
                false
            }
        }
    }

    /// Takes the request that is due; false if none is.
    pub fn take(&self, upstream: &str, now: Timestamp, gap: Duration) -> bool {
        let mut next = self.next();
        let due = next.get_mut(upstream).filter(|at| **at <= now);
        match due {
            Some(at) => {
                *at = now + gap;
                true
            }
            None => false,
        }
    }

    /// Forgets the upstreams that `keep` doesn't name.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.next().retain(|upstream, _| keep(upstream));
    }
}
