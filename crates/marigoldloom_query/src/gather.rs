//! Scatter-gather over the shards of one snapshot.

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
use crate::refusal::{Kind, Refusal, Run};
use crate::shard;

/// What the shards gave.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    pub(crate) parts: Vec<answer::Part>,
    pub(crate) missing: Vec<answer::Missing>,
}

impl Gathered {
    fn add(&mut self, shard: u32, result: Result<message::Reply, Reason>) {
        match result {
            Ok(reply) => self.parts.push(answer::Part::new(shard, reply)),
            Err(reason) => self.missing.push(answer::Missing { shard, reason }),
        }
    }

    /// Whether shards are missing because the snapshot is not served any more.
    pub(crate) fn outdated(&self) -> bool {
        let gone = |m: &answer::Missing| {
            let reasons = [Reason::SnapshotGone, Reason::ShardGone, Reason::NoReplica];
            reasons.contains(&m.reason)
        };
        self.missing.iter().any(gone)
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> shard::Query<'_, R, U, H> {
    /// Asks all shards. None if the whole query is to run again on a newer snapshot.
    pub(crate) async fn gather(&self, last: bool) -> Result<Option<Gathered>, Refusal> {
        let mut gathered = Gathered::default();
        let canary = self.canary().await?;
        let first = canary.as_ref().map(|(shard, _)| *shard);
        if let Some((shard, result)) = canary {
            // The other shards have probably left the snapshot too. Asking them would spend
            // the budget that the run on the newer snapshot needs.
            let gone = matches!(result, Err(Reason::SnapshotGone));
            if !last && gone && self.request.policy.patient {
                self.await_superseded(self.left() / 2).await;
                if self.rerun() {
                    return Ok(None);
                }
            }
            gathered.add(shard, result);
        }
        let shards = (0..self.total).filter(|s| Some(*s) != first);
        let mut asked: FuturesUnordered<_> = shards
            .map(|s| async move { (s, self.ask(s).await) })
            .collect();
        while let Some((shard, result)) = self.next(&mut asked, gathered.parts.len()).await {
            gathered.add(shard, result);
            if !last && gathered.outdated() && self.rerun() {
                return Ok(None);
            }
        }
        self.leave_out(&mut gathered);
        if !last && gathered.outdated() && self.await_newer(&gathered).await {
            return Ok(None);
        }
        gathered.parts.sort_by_key(|p| p.shard);
        gathered.missing.sort_by_key(|m| m.shard);
        Ok(Some(gathered))
    }

    /// The next shard's result; none once all are in or the answer is due without the rest.
    async fn next<F>(
        &self,
        asked: &mut FuturesUnordered<F>,
        parts: usize,
    ) -> Option<(u32, Result<message::Reply, Reason>)>
    where
        F: Future<Output = (u32, Result<message::Reply, Reason>)>,
    {
        let Some(due) = self.due(parts) else {
            return asked.next().await;
        };
        let left = due.since(self.core.rt.now());
        let sleep = pin::pin!(self.core.rt.sleep(left));
        match future::select(asked.next(), sleep).await {
            future::Either::Left((next, _)) => next,
            // An answer that lacked its quorum until after it was due says nothing.
            future::Either::Right(_) if left.is_zero() => None,
            future::Either::Right(_) => {
                self.core.lag.record(self.core.rt.now().since(due));
                None
            }
        }
    }

    /// When the answer is due with only so many `parts`; none if it needs more.
    fn due(&self, parts: usize) -> Option<Timestamp> {
        let timely = self.request.policy.timely?;
        let least = usize::try_from(timely.least).unwrap_or(usize::MAX);
        let at = Timestamp::ZERO + timely.at.since(Timestamp::ZERO + self.core.lag.bound());
        (parts >= least.max(1)).then_some(at)
    }

    /// Names the shards that the answer is given without.
    fn leave_out(&self, gathered: &mut Gathered) {
        let known = |g: &Gathered, shard: u32| {
            g.parts.iter().any(|p| p.shard == shard) || g.missing.iter().any(|m| m.shard == shard)
        };
        for shard in 0..self.total {
            if !known(gathered, shard) {
                let reason = Reason::TimedOut;
                gathered.missing.push(answer::Missing { shard, reason });
            }
        }
    }

    /// Waits for a newer snapshot while there is nothing to answer with.
    async fn await_newer(&self, gathered: &Gathered) -> bool {
        if gathered.parts.is_empty() && self.request.policy.patient {
            self.await_superseded(self.left()).await;
        }
        self.rerun()
    }

    /// Waits for a newer snapshot, at most for `time`.
    async fn await_superseded(&self, time: Duration) {
        let end = self.core.rt.now() + time;
        while !self.superseded() && self.core.rt.now() < end {
            self.core.rt.sleep(shard::POLL.min(self.left())).await;
        }
    }

    /// Whether the whole query is to run again on a newer snapshot. The shards that it
    /// asked so far are asked a second time then, which counts as retries.
    fn rerun(&self) -> bool {
        let again = u64::from(self.asked.load(Ordering::Relaxed));
        self.superseded()
            && !self.left().is_zero()
            && self.service.budget.take_retries(self.core.rt.now(), again)
    }

    /// Whether new queries read another snapshot of this version.
    pub(crate) fn superseded(&self) -> bool {
        let topology = self.core.topology();
        let service = topology
            .as_ref()
            .and_then(|t| t.service(&self.request.service));
        let pinned = service.and_then(|s| s.query_snapshot(&self.snapshot.version));
        pinned.is_none_or(|s| s != *self.snapshot)
    }

    /// Runs an unknown request on one shard first where the settings ask for it, so that a
    /// request that crashes its upstreams takes down one and not one of each shard.
    async fn canary(&self) -> Result<Option<(u32, Result<message::Reply, Reason>)>, Refusal> {
        loop {
            if self.check_strikes()? || !self.cautious() {
                return Ok(None);
            }
            if let Some(claim) = self.core.ledger.claim_canary(self.print) {
                let result = self.run_canary().await;
                drop(claim);
                return result.map(Some);
            }
            if self.left().is_zero() {
                return Err(self.refuse(Kind::Expired));
            }
            self.core.rt.sleep(shard::POLL.min(self.left())).await;
        }
    }

    /// Refuses a quarantined fingerprint. Returns whether it is known to be harmless.
    pub(crate) fn check_strikes(&self) -> Result<bool, Refusal> {
        match self.core.ledger.status(self.core.rt.wall(), self.print) {
            fingerprint::Status::Quarantined(left) => {
                Err(self.refuse(Kind::Quarantined).after(left))
            }
            fingerprint::Status::Unknown => Ok(false),
            fingerprint::Status::Harmless => {
                self.harmless.store(true, Ordering::Relaxed);
                Ok(true)
            }
        }
    }

    pub(crate) fn cautious(&self) -> bool {
        match self.core.settings.canary {
            engine::Canary::Always => true,
            engine::Canary::AfterCrash => self.service.crashed(self.core.rt.now()),
            engine::Canary::AfterStrike => self.suspect(),
        }
    }

    /// Whether an upstream crashed while it ran this very request.
    pub(crate) fn suspect(&self) -> bool {
        self.core
            .ledger
            .strike_count(self.core.rt.wall(), self.print)
            > 0
    }

    /// Runs the request on one shard, and after a lost connection once on another one.
    async fn run_canary(&self) -> Result<(u32, Result<message::Reply, Reason>), Refusal> {
        let drawn = runtime::random_below(&self.core.rt, u64::from(self.total));
        let mut shard = self.spare_shard(u32::try_from(drawn).unwrap_or(0));
        let mut result = self.ask(shard).await;
        if matches!(result, Err(Reason::Lost)) && self.may_repeat() {
            shard = self.spare_shard(shard.wrapping_add(1));
            result = self.ask(shard).await;
        }
        match result {
            Err(Reason::Lost) => {
                let refusal = self.refuse(Kind::Crashed);
                return Err(refusal.because(Reason::Lost, Run::Unknown));
            }
            Err(_) => {}
            Ok(_) => {
                self.core.ledger.mark_harmless(self.print);
                self.harmless.store(true, Ordering::Relaxed);
            }
        }
        Ok((shard, result))
    }

    /// The first shard from `start` on whose replicas are all ready, so that a crash leaves
    /// it to other queries; `start` itself if there is none. Shards with a replica in the
    /// own failure domain go first, because the other shards wait for the canary.
    fn spare_shard(&self, start: u32) -> u32 {
        let total = self.total.max(1);
        let shards = (0..total).map(|i| start.wrapping_add(i) % total);
        let spare: Vec<u32> = shards.filter(|s| self.is_spare(*s)).collect();
        let near = spare.iter().find(|s| self.is_near(**s));
        near.or(spare.first()).copied().unwrap_or(start % total)
    }

    /// Takes the fingerprint's retry and the budget for it.
    fn may_repeat(&self) -> bool {
        self.core.ledger.take_retry(self.print)
            && self.service.budget.take_retries(self.core.rt.now(), 1)
    }

    /// A refusal that states whether the request may have run.
    pub(crate) fn refuse(&self, kind: Kind) -> Refusal {
        Refusal {
            run: self.run(),
            ..Refusal::not_run(kind)
        }
    }

    pub(crate) fn run(&self) -> Run {
        match self.trace.may_have_run() {
            true => Run::Unknown,
            false => Run::NotRun,
        }
    }
}
