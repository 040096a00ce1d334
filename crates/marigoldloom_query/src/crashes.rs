//! Counts crashes of upstreams against the requests that they ran.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use marigoldloom_limits::fingerprint;
use marigoldloom_routing::health;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

use crate::hooks::Hooks;
use crate::shard::Query;
use crate::silence::{End, Run, Suspect};
use crate::state::Core;
use crate::{attempt, engine};

/// Counts the end of an upstream during an attempt as a strike against the request, unless another
/// upstream has run the request without a crash. Part of the attempt, because that may outlive the
/// query.
pub(crate) struct Watch<R: Runtime, U: upstream::Upstream, H: Hooks> {
    core: Arc<Core<R, U, H>>,
    run: Run,
    health: Arc<health::Health>,
    /// When the subquery was handed to a connection; zero if it wasn't.
    sent: Arc<AtomicU64>,
    /// Why there is no result; `None` if there is one.
    end: Option<End>,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Watch<R, U, H> {
    fn sent(&self) -> Timestamp {
        Timestamp::from_nanos(self.sent.load(Ordering::Relaxed))
    }

    /// Runs `attempt` and counts a strike if its upstream ended.
    pub(crate) async fn watch(
        mut self,
        attempt: impl Future<Output = Result<message::Reply, upstream::Error>> + Send,
    ) -> Result<message::Reply, upstream::Error> {
        let result = attempt.await;
        self.end = match &result {
            Err(upstream::Error::TimedOut) => Some(End::TimedOut),
            Err(upstream::Error::Lost) => Some(End::Lost),
            _ => None,
        };
        if self.core.settings.canary != engine::CanaryPolicy::AfterStrike {
            return result;
        }
        let survived = match &result {
            Ok(_) => true,
            Err(error) => error.survived(),
        };
        match &result {
            Err(upstream::Error::Ended) => {
                let evidence = "a connection was lost and its address refuses new ones";
                self.core.record_end(&self.run, self.sent(), evidence);
            }
            _ if survived && !self.run.survived.swap(true, Ordering::Relaxed) => {
                for fingerprint in self.run.fingerprints() {
                    self.core.clear_strikes(fingerprint);
                }
            }
            _ => {}
        }
        result
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Drop for Watch<R, U, H> {
    /// Keeps an eye on an upstream that gave no response: it may have crashed.
    fn drop(&mut self) {
        let counted = self.core.settings.canary == engine::CanaryPolicy::AfterStrike;
        let survived = self.run.survived.load(Ordering::Relaxed);
        match self.end {
            Some(end) if counted && !survived && self.sent() > Timestamp::ZERO => {
                self.core.suspect(Suspect {
                    run: self.run.clone(),
                    health: Arc::clone(&self.health),
                    sent: self.sent(),
                    since: self.core.rt.now(),
                    end,
                });
            }
            _ => {}
        }
    }
}

/// A trial of a refused request. Dropping it takes the trial back if no upstream can have run the
/// request, because that shows nothing.
pub(crate) struct Trial<R: Runtime, U: upstream::Upstream, H: Hooks> {
    core: Arc<Core<R, U, H>>,
    /// Fingerprints under which the request is refused.
    refused: Vec<fingerprint::Fingerprint>,
    run_counter: Arc<attempt::RunCounter>,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Drop for Trial<R, U, H> {
    fn drop(&mut self) {
        if !self.run_counter.may_have_run() {
            self.core.cancel_trial(&self.refused);
        }
    }
}

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

    /// Returns what counts the end of the reserved upstream as a strike against the request.
    pub(crate) fn crash_watch(
        &self,
        reservation: &attempt::Reservation<R, U, H>,
    ) -> Watch<R, U, H> {
        Watch {
            core: Arc::clone(self.core),
            run: Run {
                fingerprints: [Some(self.fingerprint), self.call_fingerprint],
                service: Arc::clone(&self.request.service),
                replica: Arc::clone(&reservation.replica),
                survived: Arc::clone(&self.survived),
            },
            health: Arc::clone(&reservation.health),
            sent: Arc::clone(&reservation.sent),
            end: Some(End::Abandoned),
        }
    }

    /// Begins a trial of the request if it is refused and this instance is to try it: strikes may have
    /// come from crashes that had other causes. A trial that an upstream survives clears them.
    pub(crate) fn begin_trial(&self) -> bool {
        let refused = |f: &fingerprint::Fingerprint| {
            let count = self.core.suspected_count(*f);
            count >= fingerprint::STRIKE_LIMIT
        };
        let refused: Vec<_> = self.fingerprints().filter(refused).collect();
        let due = self.core.settings.canary == engine::CanaryPolicy::AfterStrike
            && self.core.begin_trial(&refused);
        if due {
            self.trial.get_or_init(|| Trial {
                core: Arc::clone(self.core),
                refused,
                run_counter: Arc::clone(&self.run_counter),
            });
        }
        due
    }

    /// Whether this run is a trial of a refused request.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.get().is_some()
    }

    /// Whether an upstream crashed, or may have crashed, while it ran a request with this
    /// fingerprint.
    pub(crate) fn has_strikes(&self) -> bool {
        self.fingerprints()
            .any(|f| self.core.suspected_count(f) > 0)
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
    /// If canaries run after strikes only, [`Watch`] counts the strikes, and retries end
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
                self.core
                    .add_strike(fingerprint, None, "a connection was lost");
            }
        }
        harmless || !needs_canary && self.core.crash_tracker.take_retry(self.fingerprint)
    }
}
