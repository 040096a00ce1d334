//! Attempts, hedges and retries of a query on one shard.

use std::collections::BTreeSet;
use std::pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use futures::stream::{FuturesUnordered, StreamExt};
use marigoldloom_limits::fingerprint;
use marigoldloom_records::service;
use marigoldloom_routing::{choice, topology};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_telemetry::event;
use marigoldloom_upstream::{message, upstream};
use serde_json::json;

use crate::answer::Reason;
use crate::attempt;
use crate::crashes::Trial;
use crate::engine;
use crate::hooks::{Hooks, Purpose, Versions};
use crate::request;
use crate::selection::{ReplicaView, Selection};
use crate::state;

/// Interval at which a query checks for retry budget, for a newer topology, or for the end of
/// another query's canary.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which a hedge is tried again after there was no budget or no ready replica.
const HEDGE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum time to wait for a request to end and leave room before checking again. Leases,
/// ejections and the topology also change without such an event.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of attempts at one shard, not counting hedges.
const MAX_UNHEDGED_ATTEMPTS: u32 = 4;

/// Maximum number of attempts at one shard that run at the same time.
const MAX_PARALLEL_ATTEMPTS: usize = 2;

/// Factor applied to the hedge delay of requests that aren't known to be harmless; under
/// `CanaryPolicy::AfterStrike`, only of those with strikes.
const UNPROVEN_HEDGE_FACTOR: u32 = 2;

/// Base of the exponential backoff before replicas that have all been tried are tried again.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Maximum backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// A request pinned to one snapshot.
pub(crate) struct Query<'a, R: Runtime, U: upstream::Upstream, H: Hooks> {
    pub(crate) core: &'a Arc<state::Core<R, U, H>>,
    pub(crate) request: &'a request::Request,
    pub(crate) service: Arc<state::Service>,
    /// The service at the start of the query.
    pub(crate) view: Arc<topology::ServiceView>,
    /// State of the service behind each shard of a composed service; empty for other services.
    pub(crate) shard_services: Vec<Arc<state::Service>>,
    pub(crate) snapshot: Arc<service::Snapshot>,
    /// Number of shards of the snapshot.
    pub(crate) total: u32,
    /// Fingerprint of the request at its service.
    pub(crate) fingerprint: fingerprint::Fingerprint,
    /// Fingerprint of the request at all services; `None` if its callers name the service.
    pub(crate) call_fingerprint: Option<fingerprint::Fingerprint>,
    /// The caller's idempotency key, sent to the upstream; `None` on idempotent routes.
    pub(crate) key: Option<Arc<str>>,
    pub(crate) deadline: Timestamp,
    pub(crate) run_counter: Arc<attempt::RunCounter>,
    /// Whether this is the request's first run, not one on a newer snapshot.
    pub(crate) first_run: bool,
    /// Number of shards with at least one attempt.
    pub(crate) shards_queried: AtomicU32,
    /// Whether a request with this fingerprint is known to have run without a crash.
    pub(crate) harmless: AtomicBool,
    /// Set if the request is refused and this run is to show whether it still crashes upstreams.
    pub(crate) trial: OnceLock<Trial<R, U, H>>,
    /// Whether this query already counted a strike against its fingerprint.
    pub(crate) strike_recorded: AtomicBool,
    /// Whether an upstream has run the request without a crash.
    pub(crate) survived: Arc<AtomicBool>,
}

/// Attempts of a query at one shard so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts, not counting hedges.
    count: u32,
    /// Number of attempts that may have run, including hedges.
    possible_runs: u32,
    /// Response of an upstream that answered with an error status.
    failure_reply: Option<message::Reply>,
    /// Upstreams that an attempt was made on.
    pub(crate) tried: BTreeSet<Arc<str>>,
    /// Upstreams that no longer hold the snapshot or the shard.
    pub(crate) without_data: BTreeSet<Arc<str>>,
    last_failure: Option<Reason>,
    /// Whether a failure rules out further attempts after those that still run.
    no_retry: bool,
}

/// What happened while the attempts at a shard were running.
enum RaceEvent {
    /// An attempt on the named upstream ended.
    Finished(Arc<str>, Result<message::Reply, upstream::Error>),
    HedgeDue,
}

impl AttemptHistory {
    /// Whether no attempt was made yet.
    pub(crate) const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(&mut self, upstream: &Arc<str>, error: upstream::Error) {
        let reason = Reason::from(&error);
        self.last_failure = Some(reason);
        match error {
            error if error.not_run() => self.possible_runs = self.possible_runs.saturating_sub(1),
            upstream::Error::Failed { reply, .. } => self.failure_reply = reply.map(|r| *r),
            _ => {}
        }
        if matches!(reason, Reason::SnapshotGone | Reason::ShardGone) {
            self.without_data.insert(Arc::clone(upstream));
        }
    }
}

impl<'a, R: Runtime, U: upstream::Upstream, H: Hooks> Query<'a, R, U, H> {
    /// Runs the query on one shard. If the request's policy says so, an upstream's response with an
    /// error status counts as the result.
    pub(crate) async fn query_shard(&self, shard: u32) -> Result<message::Reply, Reason> {
        let mut history = AttemptHistory::default();
        match self.run_attempts(shard, &mut history).await {
            Err(reason) if self.relays_errors() => history.failure_reply.ok_or(reason),
            result => result,
        }
    }

    /// Whether the caller gets an upstream's response with an error status.
    pub(crate) fn relays_errors(&self) -> bool {
        self.request.policy.error_replies == request::ErrorReplies::Relay
    }

    /// Makes attempts at one shard, one after the other or hedged, until one succeeds.
    async fn run_attempts(
        &self,
        shard: u32,
        history: &mut AttemptHistory,
    ) -> Result<message::Reply, Reason> {
        let mut running = FuturesUnordered::new();
        let mut wait = self.hedge_delay(shard);
        loop {
            if running.is_empty() {
                let reservation = self.acquire(shard, history).await?;
                running.push(self.send(reservation, shard));
                wait = self.hedge_delay(shard);
            }
            match self.next_event(&mut running, wait).await? {
                RaceEvent::Finished(_, Ok(reply)) => return Ok(reply),
                RaceEvent::Finished(name, Err(error)) => {
                    history.no_retry |= !self.may_retry(shard, &error);
                    history.record_failure(&name, error);
                    wait = self.hedge_delay(shard);
                }
                RaceEvent::HedgeDue
                    if running.len() >= MAX_PARALLEL_ATTEMPTS
                        || self.max_attempts_reached(history) =>
                {
                    wait = self.time_left();
                }
                RaceEvent::HedgeDue => {
                    wait = HEDGE_POLL_INTERVAL;
                    let hedge = self.reserve_hedge(shard, history);
                    running.extend(hedge.map(|reservation| self.send(reservation, shard)));
                }
            }
        }
    }

    /// Whether as many attempts may have run as the request's policy allows.
    fn max_attempts_reached(&self, history: &AttemptHistory) -> bool {
        history.possible_runs >= self.request.policy.max_attempts
    }

    /// Returns the state of the service that serves `shard`.
    pub(crate) fn shard_service(&self, shard: u32) -> &state::Service {
        let index = usize::try_from(shard).unwrap_or(usize::MAX);
        self.shard_services.get(index).unwrap_or(&self.service)
    }

    /// Returns the name of the replicated service that serves `shard`.
    fn shard_service_name(&self, shard: u32) -> &Arc<str> {
        let index = usize::try_from(shard).unwrap_or(usize::MAX);
        let names = self.view.shard_services();
        names.get(index).unwrap_or(&self.request.service)
    }

    /// Returns which replicas of `shard` an attempt may use.
    pub(crate) fn version_filter(&self, shard: u32, first: bool) -> topology::VersionFilter {
        let name = self.shard_service_name(shard);
        let versions = self.core.hooks.versions();
        versions.filter(name, self.request.hash(), first)
    }

    /// Sends the subquery of `shard` to the reserved replica. Returns the upstream's name with the
    /// result.
    pub(crate) async fn send(
        &self,
        reservation: attempt::Reservation<R, U, H>,
        shard: u32,
    ) -> (Arc<str>, Result<message::Reply, upstream::Error>) {
        let name = Arc::clone(&reservation.replica.target.name);
        let subquery = message::Subquery {
            request: self.request.id.clone(),
            id: self.core.subquery_id(),
            service: Arc::clone(&self.request.service),
            route: Arc::clone(&self.request.route),
            shard,
            snapshot: Arc::clone(&self.snapshot),
            deadline: reservation.deadline,
            body: Arc::clone(&self.request.body),
            call: self.request.call.clone(),
            idempotency_key: self.key.clone(),
            start_id: reservation.start_id,
        };
        let started = self.core.rt.now();
        let cold = reservation.cold;
        self.run_counter.add();
        let error_replies = self.request.policy.error_replies;
        let watch = self.crash_watch(&reservation);
        let attempt = reservation.send(subquery, Arc::clone(&self.run_counter), error_replies);
        let attempt = watch.watch(attempt);
        let result = match self.core.settings.losing_attempts {
            engine::LosingAttempts::Cancel => attempt.await,
            engine::LosingAttempts::Finish => self.run_detached(attempt).await,
        };
        // Slow replies during a cold start would delay hedges for the whole window of the latency
        // quantile.
        if result.is_ok() && !cold {
            self.record_latency(shard, self.core.rt.now().since(started));
        }
        (name, result)
    }

    /// Runs an attempt in a task of its own. It goes on when this future is dropped, until the
    /// caller disconnects.
    async fn run_detached<F>(&self, attempt: F) -> Result<message::Reply, upstream::Error>
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
                // The receiver of a losing attempt is gone.
                let _ = tx.send(result);
            }
        });
        rx.await.unwrap_or(Err(upstream::Error::Lost))
    }

    /// Reserves a replica for a first attempt or a retry. Waits for capacity and retry budget.
    pub(crate) async fn acquire(
        &self,
        shard: u32,
        history: &mut AttemptHistory,
    ) -> Result<attempt::Reservation<R, U, H>, Reason> {
        // An attempt that was never sent caused no load, so the next one needs no retry budget.
        let mut budgeted = match (history.count, history.last_failure) {
            (0, _) => !self.request.policy.repeated,
            (_, Some(Reason::Unreachable | Reason::Unwilling)) => true,
            _ => false,
        };
        self.back_off(shard, history).await?;
        loop {
            let mut wait_reason = Reason::Overloaded;
            match self.select_replica(shard, history) {
                Selection::Unavailable(Reason::Unwilling) if history.possible_runs == 0 => {
                    return Err(Reason::Unwilling);
                }
                Selection::Unavailable(reason) => {
                    return Err(history.last_failure.unwrap_or(reason));
                }
                Selection::Wait(reason, freed) => {
                    wait_reason = reason;
                    self.wait_for_room(freed).await;
                }
                Selection::Selected(replica) => {
                    let now = self.core.rt.now();
                    budgeted = budgeted || self.shard_service(shard).budget.take_retries(now, 1);
                    if !budgeted && !self.request.policy.may_wait {
                        return Err(history.last_failure.unwrap_or(Reason::Overloaded));
                    }
                    match budgeted
                        .then(|| self.try_reserve(shard, replica, history))
                        .flatten()
                    {
                        Some(reservation) => return Ok(reservation),
                        None => {
                            self.core
                                .rt
                                .sleep(POLL_INTERVAL.min(self.time_left()))
                                .await;
                        }
                    }
                }
            }
            if self.time_left().is_zero() {
                return Err(history.last_failure.unwrap_or(wait_reason));
            }
        }
    }

    async fn wait_for_room(&self, freed: Vec<event_listener::EventListener>) {
        let sleep = pin::pin!(self.core.rt.sleep(ROOM_POLL_INTERVAL.min(self.time_left())));
        future::select(future::select_all(freed), sleep).await;
    }

    fn try_reserve(
        &self,
        shard: u32,
        replica: attempt::SelectedReplica,
        history: &mut AttemptHistory,
    ) -> Option<attempt::Reservation<R, U, H>> {
        let purpose = match history.count {
            0 => Purpose::First,
            _ => Purpose::Retry,
        };
        let origin = self.origin(shard, purpose);
        let reservation = attempt::Reservation::reserve(self.core, replica, origin)?;
        if purpose == Purpose::First {
            self.shards_queried.fetch_add(1, Ordering::Relaxed);
        }
        // A repeated query, also one on a newer snapshot, is extra load, so it earns no budget.
        if purpose == Purpose::First && self.first_run && !self.request.policy.repeated {
            self.shard_service(shard).budget.add_first_attempts(1);
        }
        history.count += 1;
        history.possible_runs += 1;
        history
            .tried
            .insert(Arc::clone(&reservation.replica.target.name));
        Some(reservation)
    }

    fn origin(&self, shard: u32, purpose: Purpose) -> attempt::Origin<'_> {
        attempt::Origin {
            purpose,
            slow_after: self.base_hedge_delay(shard),
            shard_service: self.shard_service_name(shard),
            route: &self.request.route,
        }
    }

    /// Waits before a retry if every replica has been tried. Fails if no retry is allowed.
    async fn back_off(&self, shard: u32, history: &AttemptHistory) -> Result<(), Reason> {
        match history.last_failure {
            Some(reason)
                if history.no_retry
                    || history.count >= MAX_UNHEDGED_ATTEMPTS
                    || self.max_attempts_reached(history) =>
            {
                Err(reason)
            }
            Some(_) if self.allowed_views(shard, &history.tried).is_empty() => {
                let attempt = history.count;
                let pause = runtime::backoff(&self.core.rt, attempt, BACKOFF_BASE, MAX_BACKOFF);
                self.core.rt.sleep(pause.min(self.time_left())).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Reserves a replica for a hedge; `None` without hedge budget or a ready replica.
    fn reserve_hedge(
        &self,
        shard: u32,
        history: &mut AttemptHistory,
    ) -> Option<attempt::Reservation<R, U, H>> {
        let untried = self.allowed_views(shard, &history.tried);
        let options: Vec<_> = untried
            .into_iter()
            .filter(|view| !history.without_data.contains(&view.replica.target.name))
            .collect();
        let candidates: Vec<_> = options.iter().map(ReplicaView::candidate).collect();
        let random = || self.core.rt.random();
        let chosen = choice::choose_ready(&candidates, random)?;
        if self.may_crash_upstreams() || !self.take_hedge_budget(shard) {
            return None;
        }
        let replica = options[chosen].select();
        let origin = self.origin(shard, Purpose::Hedge);
        let reservation = attempt::Reservation::reserve(self.core, replica, origin)?;
        history
            .tried
            .insert(Arc::clone(&reservation.replica.target.name));
        history.possible_runs += 1;
        Some(reservation)
    }

    fn take_hedge_budget(&self, shard: u32) -> bool {
        let service = self.shard_service(shard);
        let granted = service.budget.take_hedge(self.core.rt.now());
        if !granted && service.note_hedging_stopped(self.core.rt.now()) {
            let cause = "the hedge budget is spent";
            let kind = event::Kind::HedgingStopped;
            self.core
                .report_decision(kind, &self.request.service, cause, json!({}));
        }
        granted
    }

    /// Waits until an attempt ends or the next hedge is due.
    async fn next_event(
        &self,
        running: &mut FuturesUnordered<
            impl Future<Output = (Arc<str>, Result<message::Reply, upstream::Error>)>,
        >,
        wait: Duration,
    ) -> Result<RaceEvent, Reason> {
        let sleep = self.core.rt.sleep(wait.min(self.time_left()));
        let sleep = pin::pin!(sleep);
        match future::select(running.next(), sleep).await {
            future::Either::Left((Some((name, result)), _)) => {
                Ok(RaceEvent::Finished(name, result))
            }
            _ if self.time_left().is_zero() => Err(Reason::TimedOut),
            _ => Ok(RaceEvent::HedgeDue),
        }
    }

    /// Whether another attempt may follow `error`. Records a lost connection.
    fn may_retry(&self, shard: u32, error: &upstream::Error) -> bool {
        match error {
            upstream::Error::Lost | upstream::Error::Ended => self.record_lost_connection(shard),
            upstream::Error::Refused { refusal, .. } => *refusal != upstream::Refusal::Expired,
            _ => true,
        }
    }

    /// Returns the time after which an attempt is hedged. Requests that may crash their upstreams
    /// wait longer, because a crash late in the service time would otherwise take down both
    /// replicas of the shard.
    fn hedge_delay(&self, shard: u32) -> Duration {
        let known = match self.core.settings.canary {
            engine::CanaryPolicy::AfterStrike => !self.has_strikes(),
            _ => self.harmless.load(Ordering::Relaxed),
        };
        match known {
            true => self.base_hedge_delay(shard),
            false => self.base_hedge_delay(shard) * UNPROVEN_HEDGE_FACTOR,
        }
    }

    fn base_hedge_delay(&self, shard: u32) -> Duration {
        let service = self.shard_service(shard);
        service.hedge_delay(&self.request.route, self.core.rt.now())
    }

    fn record_latency(&self, shard: u32, latency: Duration) {
        let tracker = self
            .shard_service(shard)
            .latencies
            .tracker(&self.request.route);
        tracker.record(self.core.rt.now(), latency);
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.since(self.core.rt.now())
    }
}
