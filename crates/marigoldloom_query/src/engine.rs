//! The engine, which runs callers' requests against the current topology.

use std::sync::atomic::{AtomicBool, AtomicU32};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use marigoldloom_limits::{budget, fingerprint};
use marigoldloom_records::service;
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_telemetry::event;
use marigoldloom_upstream::upstream;
use serde_json::json;
use xxhash_rust::xxh3;

use crate::answer::{self, Reason};
use crate::attempt;
use crate::gather;
use crate::hooks::{self, Hooks, Observer, RequestOutcome, Versions};
use crate::refusal::{Kind, Refusal, RunStatus};
use crate::request;
use crate::shard;
use crate::state::Core;

/// Time before the deadline at which work on a query ends, to leave time to return the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// Time after which a caller may retry when no shard answered.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of times that a request runs, each time on a newer snapshot.
const MAX_RUNS: u32 = 3;

/// When a request that isn't known to be harmless runs on one shard before it is sent to all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CanaryPolicy {
    /// Always. Even the first run of a crashing request then takes down only one upstream.
    #[default]
    Always,
    /// Only if an upstream of the service crashed in the last 30 s.
    AfterCrash,
    /// Only if an upstream crashed while it ran a request with the same fingerprint.
    AfterStrike,
}

/// What happens to the attempts that still run when another attempt has answered for the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LosingAttempts {
    /// They are cancelled, which closes their connections.
    #[default]
    Cancel,
    /// They run to completion, which keeps their connections open and measures their latency.
    Finish,
}

/// Settings that apply to all requests of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Latency quantile, between 0 and 1, after which a subquery of a route is hedged.
    pub quantile: f64,
    /// Budgets for hedges and retries.
    pub budget: budget::Limits,
    /// When a cold upstream counts as warm.
    pub warmup: health::Warmup,
    /// When a request runs on one shard first.
    pub canary: CanaryPolicy,
    /// What happens to attempts that are no longer needed.
    pub losing_attempts: LosingAttempts,
    /// How the instance learns that an upstream is in cold start.
    pub cold_start: health::ColdStart,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            budget: budget::Limits::default(),
            warmup: health::Warmup::default(),
            canary: CanaryPolicy::default(),
            losing_attempts: LosingAttempts::default(),
            cold_start: health::ColdStart::default(),
        }
    }
}

/// Result of a request that must not run more than once.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The request ran and this is its answer.
    Done(answer::Answer),
    /// The request has not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Refusal),
}

/// Runs requests on the upstreams of their service. Clones share all state.
pub struct Engine<R, U, H> {
    core: Arc<Core<R, U, H>>,
}

impl<R, U, H> Clone for Engine<R, U, H> {
    fn clone(&self) -> Self {
        Self {
            core: Arc::clone(&self.core),
        }
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Engine<R, U, H> {
    /// Creates an engine without a topology. It refuses all requests until [`Engine::apply`] is
    /// called.
    pub fn new(rt: R, upstream: U, hooks: H, settings: Settings) -> Self {
        Self {
            core: Arc::new(Core::new(rt, upstream, hooks, settings)),
        }
    }

    /// Replaces the current topology. Running queries use it for their next attempts.
    pub fn apply(&self, topology: Arc<topology::Topology>) {
        self.core.apply(topology);
    }

    /// Returns the current topology; `None` before the first one.
    pub fn topology(&self) -> Option<Arc<topology::Topology>> {
        self.core.topology()
    }

    /// Records that a peer saw `upstream` run as the process `start_id`. The upstream counts as
    /// cold if the last known process was another one.
    pub fn note_restart(&self, upstream: &str, start_id: u64) {
        let health = self.core.health.get(upstream);
        let change = health.and_then(|h| h.record_start_id(self.core.rt.now(), start_id));
        if let Some(change) = change {
            self.core.handle_change(upstream, &change);
        }
    }

    /// Records that a peer brought the process `start_id` of `upstream` out of cold start. The
    /// upstream counts as warm for as long as it is that process. `None` withdraws the report.
    pub fn set_warm_report(&self, upstream: &str, start_id: Option<u64>) {
        self.core.set_warm_report(upstream, start_id);
    }

    /// Returns the service, name and start id of each upstream that this instance considers warm.
    pub fn warm_upstreams(&self) -> Vec<(Arc<str>, Arc<str>, u64)> {
        let now = self.core.rt.now();
        let topology = self.core.topology();
        let services = topology.iter().flat_map(|t| t.services());
        let upstreams = services.flat_map(|(service, view)| {
            let names = view.upstreams().keys();
            names.map(move |name| (service, name))
        });
        let warm = upstreams.filter_map(|(service, name)| {
            let view = self.core.health.get(name)?.view(now);
            let start_id = view.start_id.filter(|_| !view.cold)?;
            Some((Arc::clone(service), Arc::clone(name), start_id))
        });
        warm.collect()
    }

    /// Whether some shard of `service` only has replicas that count as cold because this instance
    /// never received a reply from them. Requests would wait for a dispatch lease although the
    /// replicas may be warm.
    pub fn has_unknown_shard(&self, service: &str) -> bool {
        let now = self.core.rt.now();
        let topology = self.core.topology();
        let view = topology.as_ref().and_then(|t| t.service(service));
        let shards = view.and_then(|v| v.shards(&v.query_snapshot(&v.record.active)?));
        let unknown = |r: &Arc<topology::Replica>| {
            let health = self.core.health.get(&r.target.name);
            health.is_some_and(|h| {
                let view = h.view(now);
                view.cold && view.start_id.is_none()
            })
        };
        let all_unknown = |shards: &topology::Shards, shard: u32| {
            let replicas = shards.replicas(shard);
            !replicas.is_empty() && replicas.iter().all(unknown)
        };
        shards.is_some_and(|shards| (0..shards.total()).any(|s| all_unknown(shards, s)))
    }

    /// Sets the number of upstreams that the instance `origin` sent a request with a fingerprint to
    /// and that have been silent since.
    pub fn merge_silence(
        &self,
        origin: &str,
        fingerprint: fingerprint::Fingerprint,
        silence: fingerprint::Silence,
    ) {
        let tracker = &self.core.crash_tracker;
        tracker.merge_silence(origin, fingerprint, silence);
    }

    /// Merges the strikes that the instance `origin` recorded for a fingerprint.
    pub fn merge_strikes(
        &self,
        origin: &str,
        fingerprint: fingerprint::Fingerprint,
        strikes: fingerprint::Strikes,
    ) {
        self.core.crash_tracker.merge(origin, fingerprint, strikes);
    }

    /// Sets the number of instances that send to the upstreams of `service`; initially one. The
    /// capacity of a warm upstream is divided between them.
    pub fn set_sender_count(&self, service: &Arc<str>, instances: u32) {
        self.core.service(service).set_sender_count(instances);
    }

    /// Sets the budget for hedges and retries of `service`; initially [`Settings::budget`].
    pub fn set_budget(&self, service: &Arc<str>, limits: budget::Limits) {
        let now = self.core.rt.now();
        self.core.service(service).budget.set_limits(now, limits);
    }

    /// Sets this instance's share of the request rate that a cold upstream of `service` accepts,
    /// between 0 and 1; initially 1.
    pub fn set_cold_rate_share(&self, service: &Arc<str>, share: f64) {
        self.core.service(service).set_cold_rate_share(share);
    }

    /// Returns the number of attempts at subqueries of `service` since the start.
    pub fn attempt_counts(&self, service: &Arc<str>) -> budget::Attempts {
        self.core.service(service).budget.attempts()
    }

    /// Returns the number of services whose state is kept, e.g. their budgets.
    pub fn service_count(&self) -> usize {
        self.core.service_count()
    }

    /// Returns the time until each shard of `service` has a replica that takes requests, as far as
    /// its replicas have said; zero if that holds now.
    pub fn pause_of(&self, service: &str) -> Duration {
        self.core.pause_of(service)
    }

    /// Returns the health of an upstream as this instance sees it; `None` if the topology doesn't
    /// contain it.
    pub fn health(&self, upstream: &str) -> Option<health::View> {
        let health = self.core.health.get(upstream)?;
        Some(health.view(self.core.rt.now()))
    }

    /// Runs an idempotent request on all shards of its service.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no answer. Its `run` is [`RunStatus::NotRun`] only if no upstream ran
    /// any part of the request.
    pub async fn run(&self, request: &request::Request) -> Result<answer::Answer, Refusal> {
        let started = self.core.rt.now();
        let mut version = None;
        let result = self.run_on_all_shards(request, &mut version).await;
        self.report_finished(request, started, version.as_deref(), &result);
        result
    }

    /// Runs a request of a route that is not idempotent at most once, on the shard given by the
    /// hash of its idempotency key.
    ///
    /// It is sent to another upstream only if the failure proves that the first has not run it.
    pub async fn run_once(&self, request: &request::Request, key: &str) -> Outcome {
        let started = self.core.rt.now();
        let mut version = None;
        let result = self.run_keyed(request, key, &mut version).await;
        self.report_finished(request, started, version.as_deref(), &result);
        match result {
            Ok(answer) => Outcome::Done(answer),
            Err(refusal) if refusal.run == RunStatus::NotRun => Outcome::NotRun(refusal),
            Err(refusal) => Outcome::Unknown(refusal),
        }
    }

    async fn run_on_all_shards(
        &self,
        request: &request::Request,
        version: &mut Option<String>,
    ) -> Result<answer::Answer, Refusal> {
        let run_counter = Arc::new(attempt::RunCounter::default());
        let mut runs = 1;
        loop {
            let query = self.pin(request, None, runs == 1, &run_counter);
            let query = query.map_err(|refusal| run_counter.qualify(refusal))?;
            *version = Some(query.snapshot.version.clone());
            match query.gather(runs == MAX_RUNS).await? {
                Some(gathered) => return query.build_answer(gathered),
                None => runs += 1,
            }
        }
    }

    async fn run_keyed(
        &self,
        request: &request::Request,
        key: &str,
        version: &mut Option<String>,
    ) -> Result<answer::Answer, Refusal> {
        let run_counter = Arc::new(attempt::RunCounter::default());
        let mut runs = 1;
        loop {
            let query = self.pin(request, Some(key), runs == 1, &run_counter);
            let query = query.map_err(|refusal| run_counter.qualify(refusal))?;
            *version = Some(query.snapshot.version.clone());
            query.check_quarantine()?;
            let shard = xxh3::xxh3_64(key.as_bytes()) % u64::from(query.total.max(1));
            let shard = u32::try_from(shard).unwrap_or(0);
            match query.query_shard_once(shard).await {
                Ok(part) => return Ok(query.single_shard_answer(part)),
                Err(Reason::SnapshotGone) if runs < MAX_RUNS && query.is_superseded() => runs += 1,
                Err(reason) => return Err(query.unavailable(reason)),
            }
        }
    }

    /// Checks a request and pins it to the current snapshot of its version.
    fn pin<'a>(
        &'a self,
        request: &'a request::Request,
        key: Option<&str>,
        first_run: bool,
        run_counter: &Arc<attempt::RunCounter>,
    ) -> Result<shard::Query<'a, R, U, H>, Refusal> {
        let topology = self.core.topology();
        let topology = topology.ok_or(Refusal::not_run(Kind::NotReady))?;
        let view = topology.service(&request.service);
        let view = view.ok_or(Refusal::not_run(Kind::UnknownService))?;
        check_route(&view.record, request, key.is_none())?;
        let versions = self.core.hooks.versions();
        let version = versions.choose(&view.record, &request.route, request.hash());
        let snapshot = view.query_snapshot(&version);
        let snapshot = snapshot.ok_or(Refusal::not_run(Kind::UnknownVersion))?;
        let total = view.shards(&snapshot).map_or(0, topology::Shards::total);
        let query = shard::Query {
            core: &self.core,
            request,
            service: self.core.service(&request.service),
            view: Arc::clone(view),
            shard_services: view
                .shard_services()
                .iter()
                .map(|s| self.core.service(s))
                .collect(),
            snapshot: Arc::new(snapshot),
            total,
            fingerprint: request.fingerprint(),
            call_fingerprint: request.call_fingerprint(),
            key: key.map(Arc::from),
            deadline: Timestamp::ZERO + request.deadline.since(Timestamp::ZERO + ANSWER_MARGIN),
            run_counter: Arc::clone(run_counter),
            first_run,
            shards_queried: AtomicU32::new(0),
            harmless: AtomicBool::new(false),
            trial: OnceLock::new(),
            strike_recorded: AtomicBool::new(false),
            survived: Arc::default(),
        };
        match query.time_left().is_zero() {
            true => Err(query.refusal(Kind::Expired)),
            false => Ok(query),
        }
    }

    fn report_finished(
        &self,
        request: &request::Request,
        started: Timestamp,
        version: Option<&str>,
        result: &Result<answer::Answer, Refusal>,
    ) {
        if let Err(refusal) = result {
            self.report_refusal(request, refusal);
        }
        self.core
            .hooks
            .observer()
            .request_finished(&hooks::FinishedRequest {
                tenant: &request.tenant,
                class: request.class,
                service: &request.service,
                route: &request.route,
                version,
                latency: self.core.rt.now().since(started),
                outcome: request_outcome(result),
            });
    }

    /// Reports a refusal if it was caused by the upstreams.
    fn report_refusal(&self, request: &request::Request, refusal: &Refusal) {
        let kind = match refusal.kind {
            Kind::Quarantined => event::Kind::Quarantined,
            Kind::Unavailable | Kind::Crashed => event::Kind::Refused,
            _ => return,
        };
        let evidence = json!({
            "service": &*request.service,
            "route": &*request.route,
            "fingerprint": request.fingerprint(),
            "reason": refusal.reason,
            "run": refusal.run,
            "retry_after_ms": refusal.retry_after.map(time::millis),
        });
        let cause = refusal.kind.to_string();
        self.core
            .report_decision(kind, &request.id.0, &cause, evidence);
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> shard::Query<'_, R, U, H> {
    fn build_answer(&self, gathered: gather::ShardResults) -> Result<answer::Answer, Refusal> {
        if gathered.parts.is_empty() {
            let reason = gathered.missing.first().map(|m| m.reason);
            return Err(self.unavailable(reason.unwrap_or(Reason::NoReplica)));
        }
        if gathered.missing.is_empty() {
            self.clear_strikes();
        }
        Ok(answer::Answer {
            request: self.request.id.clone(),
            snapshot: (*self.snapshot).clone(),
            coverage: answer::Coverage {
                answered: gathered.parts.iter().map(|p| p.shard).collect(),
                missing: gathered.missing,
                total: self.total,
            },
            results: gathered.parts,
        })
    }

    /// Sends the request to one replica, and to another only if the failure proves that the first
    /// has not run it.
    async fn query_shard_once(&self, shard: u32) -> Result<answer::Part, Reason> {
        let mut history = shard::AttemptHistory::default();
        loop {
            let reservation = self.acquire(shard, &mut history).await?;
            match self.send(reservation, shard).await {
                (_, Ok(reply)) => return Ok(answer::Part::new(shard, reply)),
                (name, Err(error)) if error.not_run() => history.record_failure(&name, error),
                (
                    _,
                    Err(upstream::Error::Failed {
                        reply: Some(reply), ..
                    }),
                ) if self.relays_errors() => {
                    return Ok(answer::Part::new(shard, *reply));
                }
                (_, Err(error)) => {
                    if matches!(error, upstream::Error::Lost | upstream::Error::Ended) {
                        self.record_lost_connection(shard);
                    }
                    return Err(Reason::from(&error));
                }
            }
        }
    }

    fn single_shard_answer(&self, part: answer::Part) -> answer::Answer {
        self.clear_strikes();
        answer::Answer {
            request: self.request.id.clone(),
            snapshot: (*self.snapshot).clone(),
            coverage: answer::Coverage {
                answered: vec![part.shard],
                missing: Vec::new(),
                total: 1,
            },
            results: vec![part],
        }
    }

    fn unavailable(&self, reason: Reason) -> Refusal {
        let refusal = self.refusal(Kind::Unavailable);
        refusal
            .with_reason(reason, self.run_status())
            .with_retry_after(RETRY_AFTER)
    }
}

fn check_route(
    record: &service::Service,
    request: &request::Request,
    without_key: bool,
) -> Result<(), Refusal> {
    match record.routes.get(&*request.route) {
        None => Err(Refusal::not_run(Kind::UnknownRoute)),
        Some(route) if route.idempotent && !without_key => Err(Refusal::not_run(Kind::KeyRefused)),
        Some(route) if !route.idempotent && without_key => Err(Refusal::not_run(Kind::KeyRequired)),
        Some(_) => Ok(()),
    }
}

fn request_outcome(result: &Result<answer::Answer, Refusal>) -> RequestOutcome {
    match result {
        Ok(answer) => match answer.coverage.missing.first() {
            Some(missing) => RequestOutcome::Partial(missing.reason),
            None => RequestOutcome::Full,
        },
        Err(refusal) if refusal.run == RunStatus::NotRun => RequestOutcome::NotRun,
        Err(refusal) => RequestOutcome::Failed(refusal.reason.unwrap_or(Reason::TimedOut)),
    }
}
