//! One shard's part of a query: attempts, hedges and retries.

use std::collections::BTreeSet;
use std::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use futures::stream::{FuturesUnordered, StreamExt};
use marigoldloom_limits::fingerprint;
use marigoldloom_records::service;
use marigoldloom_routing::choice;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_telemetry::event;
use marigoldloom_upstream::{message, upstream};
use serde_json::json;

use crate::answer::Reason;
use crate::attempt;
use crate::engine;
use crate::hooks::{Hooks, Observer, Purpose};
use crate::prospect::{Outlook, Prospect};
use crate::request;
use crate::state;

/// Time between two looks for budget, for a newer topology or for another's canary run.
pub(crate) const POLL: Duration = Duration::from_millis(5);

/// Time between two tries to send a hedge that found no budget or no ready replica.
const HEDGE_POLL: Duration = Duration::from_millis(5);

/// Time after which a wait for room is cut short, because leases, ejections and the topology
/// change without a request that ends.
const ROOM_POLL: Duration = Duration::from_millis(20);

/// Most attempts at one shard, hedges not counted.
const ATTEMPT_LIMIT: u32 = 4;

/// Attempts at one shard that run at a time.
const RACE_LIMIT: usize = 2;

/// Factor on the hedge delay of requests that are not known to be harmless.
const CANARY_PATIENCE: u32 = 2;

/// Backoff before a replica that failed is tried again.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Longest such backoff.
const BACKOFF_CAP: Duration = Duration::from_millis(100);

/// A request pinned to one snapshot.
pub(crate) struct Query<'a, R, U, H> {
    pub(crate) core: &'a Arc<state::Core<R, U, H>>,
    pub(crate) request: &'a request::Request,
    pub(crate) service: Arc<state::Service>,
    /// What is tracked for each shard of a composed service; empty for other services.
    pub(crate) parts: Vec<Arc<state::Service>>,
    pub(crate) snapshot: Arc<service::Snapshot>,
    pub(crate) total: u32,
    pub(crate) print: fingerprint::Fingerprint,
    /// The caller's idempotency key, passed on to the upstream.
    pub(crate) key: Option<Arc<str>>,
    pub(crate) deadline: Timestamp,
    pub(crate) trace: Arc<attempt::Trace>,
    /// Whether this is the request's first run, not one on a newer snapshot.
    pub(crate) fresh: bool,
    /// Shards with an attempt.
    pub(crate) asked: AtomicU32,
    /// Whether the fingerprint ran somewhere without a crash.
    pub(crate) harmless: AtomicBool,
    /// Whether the query gave its fingerprint a strike.
    pub(crate) struck: AtomicBool,
}

/// What was tried for one shard.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    count: u32,
    /// Attempts that ran or may have run.
    ran: u32,
    /// The failure that an upstream answered with, if that is all there is.
    reply: Option<message::Reply>,
    pub(crate) tried: BTreeSet<Arc<str>>,
    pub(crate) gone: BTreeSet<Arc<str>>,
    last: Option<Reason>,
    barred: bool,
}

/// What a race of attempts brought.
enum Step {
    Ended(Arc<str>, Result<message::Reply, upstream::Error>),
    Slow,
}

impl Tries {
    /// Notes a failed attempt.
    pub(crate) fn note(&mut self, upstream: &Arc<str>, error: upstream::Error) {
        let reason = Reason::from(&error);
        self.last = Some(reason);
        match error {
            error if error.not_run() => self.ran = self.ran.saturating_sub(1),
            upstream::Error::Failed { reply, .. } => self.reply = reply.map(|r| *r),
            _ => {}
        }
        if matches!(reason, Reason::SnapshotGone | Reason::ShardGone) {
            self.gone.insert(Arc::clone(upstream));
        }
    }
}

impl<'a, R: Runtime, U: upstream::Upstream, H: Hooks> Query<'a, R, U, H> {
    /// Gets one shard's part. A failure that an upstream answered with is the part of a
    /// request that has only one.
    pub(crate) async fn ask(&self, shard: u32) -> Result<message::Reply, Reason> {
        let mut tries = Tries::default();
        match self.race(shard, &mut tries).await {
            Err(reason) if self.total == 1 => tries.reply.ok_or(reason),
            result => result,
        }
    }

    async fn race(&self, shard: u32, tries: &mut Tries) -> Result<message::Reply, Reason> {
        let mut race = FuturesUnordered::new();
        let mut wait = self.hedge_delay(shard);
        loop {
            if race.is_empty() {
                let place = self.place(shard, tries).await?;
                race.push(self.send(place, shard));
                wait = self.hedge_delay(shard);
            }
            match self.step(&mut race, wait).await? {
                Step::Ended(_, Ok(reply)) => return Ok(reply),
                Step::Ended(name, Err(error)) => {
                    tries.barred |= !self.repeatable(shard, &error);
                    tries.note(&name, error);
                    wait = self.hedge_delay(shard);
                }
                Step::Slow if race.len() >= RACE_LIMIT || self.spent(tries) => wait = self.left(),
                Step::Slow => {
                    wait = HEDGE_POLL;
                    let hedge = self.hedge(shard, tries);
                    race.extend(hedge.map(|place| self.send(place, shard)));
                }
            }
        }
    }

    /// Whether the shard had as many attempts as the request allows.
    fn spent(&self, tries: &Tries) -> bool {
        tries.ran >= self.request.policy.attempts
    }

    /// What is tracked for the service that serves `shard`.
    pub(crate) fn tracked(&self, shard: u32) -> &state::Service {
        let index = usize::try_from(shard).unwrap_or(usize::MAX);
        self.parts.get(index).unwrap_or(&self.service)
    }

    /// Sends to a reserved place and names the upstream with the result.
    pub(crate) async fn send(
        &self,
        place: attempt::Place<R, U, H>,
        shard: u32,
    ) -> (Arc<str>, Result<message::Reply, upstream::Error>) {
        let name = Arc::clone(&place.replica.target.name);
        let subquery = message::Subquery {
            request: self.request.id.clone(),
            id: self.core.subquery_id(),
            service: Arc::clone(&self.request.service),
            route: Arc::clone(&self.request.route),
            shard,
            snapshot: Arc::clone(&self.snapshot),
            deadline: place.until,
            body: Arc::clone(&self.request.body),
            call: self.request.call.clone(),
            key: self.key.clone(),
            start: place.start,
        };
        let started = self.core.rt.now();
        let cold = place.cold;
        self.trace.begin();
        let attempt = place.send(subquery, Arc::clone(&self.trace));
        let result = match self.core.settings.losers {
            engine::Losers::Cancel => attempt.await,
            engine::Losers::Finish => self.detach(attempt).await,
        };
        // Slow replies during a cold start would delay hedges for as long as the quantile's window.
        if result.is_ok() && !cold {
            self.record(shard, self.core.rt.now().since(started));
        }
        (name, result)
    }

    /// Runs an attempt that goes on when nobody waits for it any more, until the caller leaves.
    async fn detach<F>(&self, attempt: F) -> Result<message::Reply, upstream::Error>
    where
        F: Future<Output = Result<message::Reply, upstream::Error>> + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let scope = self.request.scope.clone();
        self.core.rt.spawn(async move {
            let cancelled = pin::pin!(scope.cancelled());
            if let future::Either::Left((result, _)) =
                future::select(Box::pin(attempt), cancelled).await
            {
                // Nobody waits for a losing attempt.
                let _ = tx.send(result);
            }
        });
        rx.await.unwrap_or(Err(upstream::Error::Lost))
    }

    /// Reserves a place for a first attempt or a retry, waiting for room and budget.
    pub(crate) async fn place(
        &self,
        shard: u32,
        tries: &mut Tries,
    ) -> Result<attempt::Place<R, U, H>, Reason> {
        // An attempt that was never sent is no load, so that the next one is not extra.
        let mut paid = tries.count == 0 || tries.last == Some(Reason::Unreachable);
        self.back_off(shard, tries).await?;
        loop {
            let mut waiting = Reason::Overloaded;
            match self.outlook(shard, tries) {
                Outlook::Never(reason) => return Err(tries.last.unwrap_or(reason)),
                Outlook::Wait(reason, freed) => {
                    waiting = reason;
                    self.await_room(freed).await;
                }
                Outlook::Chosen(choice) => {
                    let now = self.core.rt.now();
                    paid = paid || self.tracked(shard).budget.take_retries(now, 1);
                    if let (false, false, Some(reason)) =
                        (paid, self.request.policy.patient, tries.last)
                    {
                        return Err(reason);
                    }
                    match paid.then(|| self.reserve(shard, choice, tries)).flatten() {
                        Some(place) => return Ok(place),
                        None => self.core.rt.sleep(POLL.min(self.left())).await,
                    }
                }
            }
            if self.left().is_zero() {
                return Err(tries.last.unwrap_or(waiting));
            }
        }
    }

    async fn await_room(&self, freed: Vec<event_listener::EventListener>) {
        let sleep = pin::pin!(self.core.rt.sleep(ROOM_POLL.min(self.left())));
        future::select(future::select_all(freed), sleep).await;
    }

    fn reserve(
        &self,
        shard: u32,
        choice: attempt::Choice,
        tries: &mut Tries,
    ) -> Option<attempt::Place<R, U, H>> {
        let purpose = match tries.count {
            0 => Purpose::First,
            _ => Purpose::Retry,
        };
        let place = attempt::Place::reserve(self.core, choice, purpose, self.patience(shard))?;
        if purpose == Purpose::First {
            self.asked.fetch_add(1, Ordering::Relaxed);
        }
        // A rerun on a newer snapshot is extra load and earns no budget.
        if purpose == Purpose::First && self.fresh {
            self.tracked(shard).budget.add_first_attempts(1);
        }
        tries.count += 1;
        tries.ran += 1;
        tries.tried.insert(Arc::clone(&place.replica.target.name));
        Some(place)
    }

    /// Waits before a retry if every replica was tried. Fails if no retry is allowed.
    async fn back_off(&self, shard: u32, tries: &Tries) -> Result<(), Reason> {
        match tries.last {
            Some(reason) if tries.barred || tries.count >= ATTEMPT_LIMIT || self.spent(tries) => {
                Err(reason)
            }
            Some(_) if self.prospects(shard, &tries.tried).is_empty() => {
                let attempt = tries.count;
                let pause = runtime::backoff(&self.core.rt, attempt, BACKOFF_BASE, BACKOFF_CAP);
                self.core.rt.sleep(pause.min(self.left())).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Reserves a place for a hedge, if the budget and a ready replica allow it.
    fn hedge(&self, shard: u32, tries: &mut Tries) -> Option<attempt::Place<R, U, H>> {
        let untried = self.prospects(shard, &tries.tried);
        let options: Vec<_> = untried
            .into_iter()
            .filter(|o| !tries.gone.contains(&o.replica.target.name))
            .collect();
        let candidates: Vec<_> = options.iter().map(Prospect::candidate).collect();
        let random = || self.core.rt.random();
        let chosen = choice::choose_ready(&candidates, random)?;
        if self.may_crash() || !self.take_hedge(shard) {
            return None;
        }
        let choice = options[chosen].choice();
        let patience = self.patience(shard);
        let place = attempt::Place::reserve(self.core, choice, Purpose::Hedge, patience)?;
        tries.tried.insert(Arc::clone(&place.replica.target.name));
        tries.ran += 1;
        Some(place)
    }

    /// Whether the request may be one that crashes its upstreams. A hedge of it would take
    /// down the second replica of the shard as well, and with it the shard for all queries.
    fn may_crash(&self) -> bool {
        let harmless = self.harmless.load(Ordering::Relaxed);
        match self.core.settings.canary {
            engine::Canary::AfterStrike => self.suspect(),
            _ => !harmless && self.service.crashed(self.core.rt.now()),
        }
    }

    fn take_hedge(&self, shard: u32) -> bool {
        let tracked = self.tracked(shard);
        let granted = tracked.budget.take_hedge(self.core.rt.now());
        if !granted && tracked.stop(self.core.rt.now()) {
            let cause = "the hedge budget is spent";
            let kind = event::Kind::HedgingStopped;
            self.core
                .decided(kind, &self.request.service, cause, json!({}));
        }
        granted
    }

    /// Waits for the first attempt to end, or until the next hedge is due.
    async fn step(
        &self,
        race: &mut FuturesUnordered<
            impl Future<Output = (Arc<str>, Result<message::Reply, upstream::Error>)>,
        >,
        wait: Duration,
    ) -> Result<Step, Reason> {
        let sleep = self.core.rt.sleep(wait.min(self.left()));
        let sleep = pin::pin!(sleep);
        match future::select(race.next(), sleep).await {
            future::Either::Left((Some((name, result)), _)) => Ok(Step::Ended(name, result)),
            _ if self.left().is_zero() => Err(Reason::TimedOut),
            _ => Ok(Step::Slow),
        }
    }

    /// Whether the shard may be asked again after `error`. Counts crashes.
    fn repeatable(&self, shard: u32, error: &upstream::Error) -> bool {
        match error {
            upstream::Error::Lost => self.crashed(shard),
            upstream::Error::Refused { refusal, .. } => *refusal != upstream::Refusal::Expired,
            _ => true,
        }
    }

    /// Counts a lost connection against the fingerprint. Returns whether the subquery may
    /// be sent again.
    ///
    /// A request that ran elsewhere without a crash was probably hit by the crash of
    /// another one, or by the loss of a failure domain: it gains at most one strike and
    /// its shards may be retried. Otherwise one retry is left to the fingerprint; where
    /// canaries are in use it goes to another shard, because a request that crashes both
    /// replicas of a shard takes the shard from all other queries.
    pub(crate) fn crashed(&self, shard: u32) -> bool {
        let cautious = self.cautious();
        self.tracked(shard).crash(self.core.rt.now());
        let harmless = self.harmless.load(Ordering::Relaxed);
        let first = !self.struck.swap(true, Ordering::Relaxed);
        // A reset takes many connections at once, so that only the first says something.
        let lenient = self.core.settings.canary == engine::Canary::AfterStrike;
        if first || !harmless && !lenient {
            let strikes = self.core.ledger.add_strike(self.core.rt.wall(), self.print);
            self.core.hooks.observer().struck(self.print, strikes);
        }
        let struck = || {
            self.core
                .ledger
                .strike_count(self.core.rt.wall(), self.print)
        };
        match lenient {
            true => struck() < fingerprint::STRIKE_LIMIT,
            false => harmless || !cautious && self.core.ledger.take_retry(self.print),
        }
    }

    /// Time after which an attempt is hedged. Canaries wait longer: a crash that comes late in
    /// the service time would else take down both replicas of the shard.
    fn hedge_delay(&self, shard: u32) -> Duration {
        let known = match self.core.settings.canary {
            engine::Canary::AfterStrike => !self.suspect(),
            _ => self.harmless.load(Ordering::Relaxed),
        };
        match known {
            true => self.patience(shard),
            false => self.patience(shard) * CANARY_PATIENCE,
        }
    }

    fn patience(&self, shard: u32) -> Duration {
        let tracked = self.tracked(shard);
        tracked.patience(&self.request.route, self.core.rt.now())
    }

    fn record(&self, shard: u32, latency: Duration) {
        let tracker = self.tracked(shard).latencies.tracker(&self.request.route);
        tracker.record(self.core.rt.now(), latency);
    }

    /// Time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.since(self.core.rt.now())
    }
}
