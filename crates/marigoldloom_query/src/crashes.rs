//! Counts crashes of upstreams against the requests that they ran.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use marigoldloom_limits::fingerprint;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_upstream::{message, upstream};

use crate::engine;
use crate::hooks::Hooks;
use crate::shard::Query;

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Query<'_, R, U, H> {
    /// Fingerprints under which crashes are counted.
    pub(crate) fn fingerprints(
        &self,
    ) -> impl Iterator<Item = fingerprint::Fingerprint> + Send + use<R, U, H> {
        [Some(self.fingerprint), self.call_fingerprint]
            .into_iter()
            .flatten()
    }

    /// Number of strikes against the request: at its service or at all together, whichever is more.
    /// A run without a crash at another service clears only the latter.
    pub(crate) fn strike_count(&self) -> u32 {
        let counts = self.fingerprints().map(|f| self.core.strike_count(f));
        counts.max().unwrap_or_default()
    }

    /// Clears the strikes against the request after a run without a crash.
    pub(crate) fn clear_strikes(&self) {
        self.fingerprints().for_each(|f| self.core.clear_strikes(f));
    }

    /// Counts the end of an upstream during `attempt` as a strike against the fingerprint, unless
    /// another upstream has run the request without a crash. Happens in the attempt itself, because
    /// it may outlive the query.
    pub(crate) fn watch_crash<F>(
        &self,
        upstream: Arc<str>,
        attempt: F,
    ) -> impl Future<Output = Result<message::Reply, upstream::Error>> + Send + use<F, R, U, H>
    where
        F: Future<Output = Result<message::Reply, upstream::Error>> + Send,
    {
        let core = Arc::clone(self.core);
        let (fingerprints, survived) = (self.fingerprints(), Arc::clone(&self.survived));
        async move {
            let result = attempt.await;
            if core.settings.canary != engine::CanaryPolicy::AfterStrike {
                return result;
            }
            match &result {
                Err(upstream::Error::Ended) if !survived.load(Ordering::Relaxed) => {
                    for fingerprint in fingerprints {
                        core.add_strike(fingerprint, Some(&upstream));
                    }
                }
                Ok(_) if !survived.swap(true, Ordering::Relaxed) => {
                    fingerprints.for_each(|f| core.clear_strikes(f));
                }
                Err(error) if error.survived() && !survived.swap(true, Ordering::Relaxed) => {
                    fingerprints.for_each(|f| core.clear_strikes(f));
                }
                _ => {}
            }
            result
        }
    }

    /// Whether an upstream crashed while it ran a request with this fingerprint.
    pub(crate) fn has_strikes(&self) -> bool {
        self.strike_count() > 0
    }

    /// Whether the request may crash its upstreams. A hedge would then take down the second
    /// replica of the shard too, which makes the shard unavailable to all queries.
    pub(crate) fn may_crash_upstreams(&self) -> bool {
        let harmless = self.harmless.load(Ordering::Relaxed);
        match self.core.settings.canary {
            engine::CanaryPolicy::AfterStrike => self.has_strikes(),
            _ => !harmless && self.service.crashed_recently(self.core.rt.now()),
        }
    }

    /// Handles a lost connection. Returns whether the subquery may be retried.
    ///
    /// If canaries run after strikes only, [`Self::watch_crash`] counts the strikes, and retries end
    /// at the limit. Otherwise each lost connection counts. A request that ran elsewhere without a
    /// crash was then probably affected by another request's crash or by the loss of a failure
    /// domain: it gets at most one strike and its shards may be retried. Any other fingerprint has a
    /// single retry. If canaries are in use, that retry goes to another shard, because a request that
    /// crashes both replicas of a shard makes the shard unavailable to all other queries.
    pub(crate) fn record_lost_connection(&self, shard: u32) -> bool {
        let needs_canary = self.needs_canary();
        self.shard_service(shard).record_crash(self.core.rt.now());
        if self.core.settings.canary == engine::CanaryPolicy::AfterStrike {
            let survived = self.survived.load(Ordering::Relaxed);
            return survived || self.strike_count() < fingerprint::STRIKE_LIMIT;
        }
        let harmless = self.harmless.load(Ordering::Relaxed);
        // A connection reset can hit many attempts at once, so only the first one counts.
        if !self.strike_recorded.swap(true, Ordering::Relaxed) || !harmless {
            for fingerprint in self.fingerprints() {
                self.core.add_strike(fingerprint, None);
            }
        }
        harmless || !needs_canary && self.core.crash_tracker.take_retry(self.fingerprint)
    }
}
