//! Sends a query to all shards of one snapshot and gathers the results.

use std::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future;
use futures::stream::{FuturesUnordered, StreamExt};
use marigoldloom_limits::fingerprint;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

use crate::answer::{self, Reason};
use crate::engine;
use crate::hooks::Hooks;
use crate::refusal::{Kind, Refusal, RunStatus};
use crate::shard;

/// Parts and failures received from the shards.
#[derive(Debug, Default)]
pub(crate) struct ShardResults {
    pub(crate) parts: Vec<answer::Part>,
    pub(crate) missing: Vec<answer::MissingShard>,
}

impl ShardResults {
    fn add(&mut self, shard: u32, result: Result<message::Reply, Reason>) {
        match result {
            Ok(reply) => self.parts.push(answer::Part::new(shard, reply)),
            Err(reason) => self.missing.push(answer::MissingShard { shard, reason }),
        }
    }

    /// Whether a shard is missing for a reason that a newer snapshot may remedy.
    pub(crate) fn may_be_outdated(&self) -> bool {
        let gone = |m: &answer::MissingShard| {
            let reasons = [Reason::SnapshotGone, Reason::ShardGone, Reason::NoReplica];
            reasons.contains(&m.reason)
        };
        self.missing.iter().any(gone)
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> shard::Query<'_, R, U, H> {
    /// Queries all shards. Returns `None` if the whole query must run again on a newer snapshot,
    /// which doesn't happen in the `last` run.
    pub(crate) async fn gather(&self, last: bool) -> Result<Option<ShardResults>, Refusal> {
        let mut gathered = ShardResults::default();
        let canary = self.run_canary_if_needed().await?;
        let canary_shard = canary.as_ref().map(|(shard, _)| *shard);
        if let Some((shard, result)) = canary {
            // The snapshot is probably gone from the other shards too. Querying them would
            // spend the budget that the run on the newer snapshot needs.
            let gone = matches!(result, Err(Reason::SnapshotGone));
            if !last && gone && self.request.policy.may_wait {
                self.wait_until_superseded(self.time_left() / 2).await;
                if self.take_rerun() {
                    return Ok(None);
                }
            }
            gathered.add(shard, result);
        }
        let shards = (0..self.total).filter(|s| Some(*s) != canary_shard);
        let mut pending: FuturesUnordered<_> = shards
            .map(|s| async move { (s, self.query_shard(s).await) })
            .collect();
        while let Some((shard, result)) = self.next_result(&mut pending, gathered.parts.len()).await
        {
            gathered.add(shard, result);
            if !last && gathered.may_be_outdated() && self.take_rerun() {
                return Ok(None);
            }
        }
        self.add_timed_out(&mut gathered);
        if !last && gathered.may_be_outdated() && self.wait_for_newer(&gathered).await {
            return Ok(None);
        }
        gathered.parts.sort_by_key(|p| p.shard);
        gathered.missing.sort_by_key(|m| m.shard);
        Ok(Some(gathered))
    }

    /// Waits for the next shard's result. Returns `None` when all results have arrived or a
    /// partial answer is due.
    async fn next_result<F>(
        &self,
        pending: &mut FuturesUnordered<F>,
        parts: usize,
    ) -> Option<(u32, Result<message::Reply, Reason>)>
    where
        F: Future<Output = (u32, Result<message::Reply, Reason>)>,
    {
        let Some(due) = self.early_answer_time(parts) else {
            return pending.next().await;
        };
        let wait = due.since(self.core.rt.now());
        let sleep = pin::pin!(self.core.rt.sleep(wait));
        match future::select(pending.next(), sleep).await {
            future::Either::Left((next, _)) => next,
            // The minimum number of shards was only reached after the answer was due, so
            // this is no sample of the wakeup lag.
            future::Either::Right(_) if wait.is_zero() => None,
            future::Either::Right(_) => {
                self.core.wakeup_lag.record(self.core.rt.now().since(due));
                None
            }
        }
    }

    /// Returns the time to stop waiting for more shards when `parts` have arrived; `None` if
    /// they are too few for a partial answer. It precedes the due time by the wakeup lag.
    fn early_answer_time(&self, parts: usize) -> Option<Timestamp> {
        let early = self.request.policy.early_answer?;
        let min_shards = usize::try_from(early.min_shards).unwrap_or(usize::MAX);
        let at = Timestamp::ZERO
            + early
                .at
                .since(Timestamp::ZERO + self.core.wakeup_lag.upper_bound());
        (parts >= min_shards.max(1)).then_some(at)
    }

    /// Marks every shard without a result as timed out.
    fn add_timed_out(&self, gathered: &mut ShardResults) {
        let known = |g: &ShardResults, shard: u32| {
            g.parts.iter().any(|p| p.shard == shard) || g.missing.iter().any(|m| m.shard == shard)
        };
        for shard in 0..self.total {
            if !known(gathered, shard) {
                let reason = Reason::TimedOut;
                gathered
                    .missing
                    .push(answer::MissingShard { shard, reason });
            }
        }
    }

    /// Waits for a newer snapshot if no shard answered. Returns whether the whole query must run
    /// again on it.
    async fn wait_for_newer(&self, gathered: &ShardResults) -> bool {
        if gathered.parts.is_empty() && self.request.policy.may_wait {
            self.wait_until_superseded(self.time_left()).await;
        }
        self.take_rerun()
    }

    /// Waits for a newer snapshot for at most `timeout`.
    async fn wait_until_superseded(&self, timeout: Duration) {
        let end = self.core.rt.now() + timeout;
        while !self.is_superseded() && self.core.rt.now() < end {
            self.core
                .rt
                .sleep(shard::POLL_INTERVAL.min(self.time_left()))
                .await;
        }
    }

    /// Takes the budget to run the whole query again on a newer snapshot; false if there is no
    /// newer snapshot, budget or time. Each shard queried so far counts as one retry.
    fn take_rerun(&self) -> bool {
        let retries = u64::from(self.shards_queried.load(Ordering::Relaxed));
        self.is_superseded()
            && !self.time_left().is_zero()
            && self
                .service
                .budget
                .take_retries(self.core.rt.now(), retries)
    }

    /// Whether new queries of this version read another snapshot.
    pub(crate) fn is_superseded(&self) -> bool {
        let topology = self.core.topology();
        let service = topology
            .as_ref()
            .and_then(|t| t.service(&self.request.service));
        let pinned = service.and_then(|s| s.query_snapshot(&self.snapshot.version));
        pinned.is_none_or(|s| s != *self.snapshot)
    }

    /// Runs a request that isn't known to be harmless on a single shard first, as a canary, if
    /// the settings require it. A request that crashes its upstreams then takes down one upstream
    /// and not one of each shard.
    async fn run_canary_if_needed(
        &self,
    ) -> Result<Option<(u32, Result<message::Reply, Reason>)>, Refusal> {
        loop {
            if self.check_quarantine()? || !self.needs_canary() {
                return Ok(None);
            }
            if let Some(claim) = self.core.crash_tracker.claim_canary(self.fingerprint) {
                let result = self.run_canary().await;
                drop(claim);
                return result.map(Some);
            }
            if self.time_left().is_zero() {
                return Err(self.refusal(Kind::Expired));
            }
            self.core
                .rt
                .sleep(shard::POLL_INTERVAL.min(self.time_left()))
                .await;
        }
    }

    /// Returns whether the request is known to be harmless, and remembers it if so. Fails if it is
    /// quarantined, at its service or at all services.
    pub(crate) fn check_quarantine(&self) -> Result<bool, Refusal> {
        let now = self.core.rt.wall();
        if self.is_trial() || self.begin_trial() {
            return Ok(false);
        }
        let mut harmless = true;
        for fingerprint in self.fingerprints() {
            let silent = self.core.suspected_count(fingerprint) >= fingerprint::STRIKE_LIMIT;
            match self.core.crash_tracker.status(now, fingerprint) {
                fingerprint::Status::Quarantined(left) => {
                    let left = match self.core.settings.canary {
                        engine::CanaryPolicy::AfterStrike => {
                            self.core.crash_tracker.refusal_time(now, fingerprint)
                        }
                        _ => left,
                    };
                    return Err(self.refusal(Kind::Quarantined).with_retry_after(left));
                }
                // Whether the upstreams crashed is known soon.
                _ if silent => {
                    let refusal = self.refusal(Kind::Quarantined);
                    return Err(refusal.with_retry_after(fingerprint::SILENCE_PAUSE));
                }
                fingerprint::Status::Unknown => harmless = false,
                fingerprint::Status::Harmless => {}
            }
        }
        if harmless {
            self.harmless.store(true, Ordering::Relaxed);
        }
        Ok(harmless)
    }

    /// Whether the settings require a canary for a request that isn't known to be harmless.
    pub(crate) fn needs_canary(&self) -> bool {
        match self.core.settings.canary {
            engine::CanaryPolicy::Always => true,
            engine::CanaryPolicy::AfterCrash => self.service.crashed_recently(self.core.rt.now()),
            engine::CanaryPolicy::AfterStrike => self.strike_count() > 0,
        }
    }

    /// Runs the request on one shard. After a lost connection it runs once on another shard.
    async fn run_canary(&self) -> Result<(u32, Result<message::Reply, Reason>), Refusal> {
        let random = runtime::random_below(&self.core.rt, u64::from(self.total));
        let mut shard = self.canary_shard(u32::try_from(random).unwrap_or(0));
        let mut result = self.query_shard(shard).await;
        let trial = self.is_trial();
        if matches!(result, Err(Reason::Lost)) && !trial && self.take_retry() {
            shard = self.canary_shard(shard.wrapping_add(1));
            result = self.query_shard(shard).await;
        }
        match result {
            Err(Reason::Lost) => {
                let refusal = self.refusal(Kind::Crashed);
                return Err(refusal.with_reason(Reason::Lost, RunStatus::Unknown));
            }
            // Only the shard of the trial may be lost.
            Err(reason) if trial => {
                let refusal = self.refusal(Kind::Unavailable);
                return Err(refusal.with_reason(reason, self.run_status()));
            }
            Err(_) => {}
            Ok(_) => {
                self.fingerprints()
                    .for_each(|f| self.core.crash_tracker.mark_harmless(f));
                self.harmless.store(true, Ordering::Relaxed);
            }
        }
        Ok((shard, result))
    }

    /// Returns the first shard from `start` on whose replicas are all ready, so that a crash
    /// leaves a replica for other queries; `start` itself if there is none. Shards with a replica
    /// in this instance's failure domain are preferred, because the other shards of the query
    /// wait for the canary.
    fn canary_shard(&self, start: u32) -> u32 {
        let total = self.total.max(1);
        let shards = (0..total).map(|i| start.wrapping_add(i) % total);
        let ready: Vec<u32> = shards.filter(|s| self.can_lose_replica(*s)).collect();
        let local = ready.iter().find(|s| self.has_local_replica(**s));
        local.or(ready.first()).copied().unwrap_or(start % total)
    }

    /// Takes the single retry of the fingerprint and the budget for it; false if either is spent.
    fn take_retry(&self) -> bool {
        self.core.crash_tracker.take_retry(self.fingerprint)
            && self.service.budget.take_retries(self.core.rt.now(), 1)
    }

    /// Creates a refusal that states whether the request may have run.
    pub(crate) fn refusal(&self, kind: Kind) -> Refusal {
        Refusal {
            run: self.run_status(),
            arrived: self.run_counter.may_have_arrived(),
            ..Refusal::not_run(kind)
        }
    }

    /// Whether the request may have run on an upstream.
    pub(crate) fn run_status(&self) -> RunStatus {
        match self.run_counter.may_have_run() {
            true => RunStatus::Unknown,
            false => RunStatus::NotRun,
        }
    }
}
