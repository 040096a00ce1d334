//! Cold-start capacity: which instance may send to a cold upstream, and how many requests.
//!
//! A cold upstream handles only a few concurrent requests, counted over all instances. Only the
//! instance that holds its dispatch lease sends to it, and only requests that end within the
//! lease, so that the next holder doesn't add to requests that still run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

/// Minimum time between the dispatch to a cold upstream and the grant's deadline.
const MIN_DISPATCH_TIME: Duration = Duration::from_millis(20);

/// Time at the end of a lease that is not used, because a subquery reaches the upstream some time
/// after it was sent and ends that much later.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Dispatch leases for cold upstreams.
pub trait Leases: Send + Sync + 'static {
    /// Returns when this instance's lease for `upstream` ends; none if it holds no lease.
    fn expiry(&self, upstream: &str) -> Option<Timestamp>;

    /// Requests a lease or its renewal, because there is work for `upstream`. Doesn't wait for it.
    fn request(&self, upstream: &str);
}

/// Leases of an instance that is the only one: it always holds every lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct SingleInstance;

impl Leases for SingleInstance {
    fn expiry(&self, _upstream: &str) -> Option<Timestamp> {
        Some(Timestamp::from_nanos(u64::MAX))
    }

    fn request(&self, _upstream: &str) {}
}

/// Permission to send to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Requests that may run there concurrently.
    pub limit: u32,
    /// Time by which each of them must have ended.
    pub deadline: Timestamp,
}

/// The number of concurrent requests that each cold upstream may get: one at first, one more after
/// each success, and at most its cold slots.
#[derive(Debug, Default)]
pub struct Ramps {
    limits: Mutex<BTreeMap<Arc<str>, u32>>,
}

impl Ramps {
    /// Creates an empty set, in which every upstream starts at one request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what may be sent to the cold upstream `upstream`, which has `slots` cold slots;
    /// none without a lease that lasts long enough. Also requests the lease or its renewal.
    pub fn grant(
        &self,
        leases: &impl Leases,
        upstream: &str,
        slots: u32,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Option<Grant> {
        leases.request(upstream);
        let expiry = leases.expiry(upstream)?;
        let usable_until = Timestamp::ZERO + expiry.since(Timestamp::ZERO + LEASE_MARGIN);
        let deadline = usable_until.min(deadline);
        (deadline.since(now) >= MIN_DISPATCH_TIME).then(|| Grant {
            limit: self.limit(upstream, slots),
            deadline,
        })
    }

    /// Raises the limit after a successful reply from a cold upstream.
    pub fn record_success(&self, upstream: &Arc<str>) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = limits.entry(Arc::clone(upstream)).or_insert(1);
        *limit = limit.saturating_add(1);
    }

    /// Resets the limit to one request after a failure or at a new cold start.
    pub fn reset(&self, upstream: &str) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.remove(upstream);
    }

    /// Forgets the upstreams for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.retain(|upstream, _| keep(upstream));
    }

    fn limit(&self, upstream: &str, slots: u32) -> u32 {
        let limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.get(upstream).copied().unwrap_or(1).min(slots)
    }
}
