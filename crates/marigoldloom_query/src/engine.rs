//! The engine: runs callers' requests against the topology in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
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
use crate::hooks::{self, Hooks, Observer, Verdict, Versions};
use crate::refusal::{Kind, Refusal, Run};
use crate::request;
use crate::shard;
use crate::state::Core;

/// Time kept for handing over an answer that the deadline cuts short.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// When a caller may try again after its service gave no answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Most snapshots that one query reads, one after the other.
const RUN_LIMIT: u32 = 3;

/// When an unknown request runs on one shard before it goes to all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Canary {
    /// Always, so that even the first run of a crashing request takes down only one upstream.
    #[default]
    Always,
    /// Only if an upstream of the service crashed in the last 30 s.
    AfterCrash,
    /// Only if the request itself was running when an upstream crashed.
    AfterStrike,
}

/// What becomes of attempts whose shard got its part from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Losers {
    /// They are cancelled, which closes their connections.
    #[default]
    Cancel,
    /// They run to their end, which keeps their connections and measures their latency.
    Finish,
}

/// Settings of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Latency quantile of a route after which a subquery is hedged, between 0 and 1.
    pub quantile: f64,
    /// Budgets for hedges and retries.
    pub budget: budget::Limits,
    /// When a cold upstream counts as warm.
    pub warmup: health::Warmup,
    /// When an unknown request runs on one shard first.
    pub canary: Canary,
    /// What becomes of attempts that are no longer needed.
    pub losers: Losers,
    /// How the instance learns that an upstream is in cold start.
    pub cold_start: health::ColdStart,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            budget: budget::Limits::default(),
            warmup: health::Warmup::default(),
            canary: Canary::default(),
            losers: Losers::default(),
            cold_start: health::ColdStart::default(),
        }
    }
}

/// How a request that must not run twice ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It ran, and this is the answer.
    Done(answer::Answer),
    /// It has not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
}

/// Runs requests. Clones share all state.
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
    /// Creates an engine without a topology; it refuses everything until [`Engine::apply`].
    pub fn new(rt: R, upstream: U, hooks: H, settings: Settings) -> Self {
        Self {
            core: Arc::new(Core::new(rt, upstream, hooks, settings)),
        }
    }

    /// Puts a topology in force. New attempts of running queries obey it too.
    pub fn apply(&self, topology: Arc<topology::Topology>) {
        self.core.apply(topology);
    }

    /// The topology in force.
    pub fn topology(&self) -> Option<Arc<topology::Topology>> {
        self.core.topology()
    }

    /// Notes that a peer saw `upstream` run under `start`. If that is news here, the
    /// upstream counts as cold.
    pub fn restarted(&self, upstream: &str, start: u64) {
        let health = self.core.health.get(upstream);
        let change = health.and_then(|h| h.record_start_id(self.core.rt.now(), start));
        if let Some(change) = change {
            self.core.changed(upstream, &change);
        }
    }

    /// Notes that a peer brought the process `start` of `upstream` out of cold start. The
    /// upstream counts as warm here for as long as it is that process; none withdraws the word.
    pub fn vouch(&self, upstream: &str, start: Option<u64>) {
        self.core.vouch(upstream, start);
    }

    /// Service, name and start id of the upstreams that count as warm here.
    pub fn warm(&self) -> Vec<(Arc<str>, Arc<str>, u64)> {
        let now = self.core.rt.now();
        let topology = self.core.topology();
        let services = topology.iter().flat_map(|t| t.services());
        let upstreams = services.flat_map(|(service, view)| {
            let names = view.upstreams().keys();
            names.map(move |name| (service, name))
        });
        let warm = upstreams.filter_map(|(service, name)| {
            let view = self.core.health.get(name)?.view(now);
            let start = view.start_id.filter(|_| !view.cold)?;
            Some((Arc::clone(service), Arc::clone(name), start))
        });
        warm.collect()
    }

    /// Whether all replicas of some shard of `service` are in cold start and were never heard
    /// here, so that requests would wait for a dispatch lease although the replicas may be warm.
    pub fn is_unknown(&self, service: &str) -> bool {
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

    /// Merges strikes that the instance `origin` gave.
    pub fn merge_strikes(
        &self,
        origin: &str,
        print: fingerprint::Fingerprint,
        strikes: fingerprint::Strikes,
    ) {
        self.core.ledger.merge(origin, print, strikes);
    }

    /// Sets how many instances send to the upstreams of `service`; one until it is set. The
    /// room of a warm upstream is divided between them.
    pub fn set_sharers(&self, service: &Arc<str>, instances: u32) {
        self.core.service(service).set_sharers(instances);
    }

    /// Sets the budget for extra attempts at `service`; that of the settings until then.
    pub fn set_budget(&self, service: &Arc<str>, limits: budget::Limits) {
        let now = self.core.rt.now();
        self.core.service(service).budget.set_limits(now, limits);
    }

    /// Sets this instance's part of the requests a second that a cold upstream of `service` bears,
    /// between 0 and 1; all of them until it is set.
    pub fn set_pace_part(&self, service: &Arc<str>, part: f64) {
        self.core.service(service).set_pace_part(part);
    }

    /// Attempts at subqueries of `service` since the start.
    pub fn spent(&self, service: &Arc<str>) -> budget::Attempts {
        self.core.service(service).budget.attempts()
    }

    /// The health of an upstream as this instance sees it.
    pub fn health(&self, upstream: &str) -> Option<health::View> {
        let health = self.core.health.get(upstream)?;
        Some(health.view(self.core.rt.now()))
    }

    /// Runs an idempotent request on all shards of its service.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no shard answered. Its `run` is [`Run::NotRun`] only if no upstream
    /// ran any part of the request.
    pub async fn run(&self, request: &request::Request) -> Result<answer::Answer, Refusal> {
        let started = self.core.rt.now();
        let mut version = None;
        let result = self.run_pinned(request, &mut version).await;
        self.finish(request, started, version.as_deref(), &result);
        result
    }

    /// Runs a request of a route that is not idempotent, at most once, on the shard that
    /// its idempotency key chooses.
    ///
    /// It is sent to another upstream only if the failure proves that it has not run.
    pub async fn run_once(&self, request: &request::Request, key: &str) -> Outcome {
        let started = self.core.rt.now();
        let mut version = None;
        let result = self.run_keyed(request, key, &mut version).await;
        self.finish(request, started, version.as_deref(), &result);
        match result {
            Ok(answer) => Outcome::Done(answer),
            Err(refusal) if refusal.run == Run::NotRun => Outcome::NotRun(refusal),
            Err(refusal) => Outcome::Unknown(refusal),
        }
    }

    async fn run_pinned(
        &self,
        request: &request::Request,
        version: &mut Option<String>,
    ) -> Result<answer::Answer, Refusal> {
        let trace = Arc::new(attempt::Trace::default());
        let mut runs = 1;
        loop {
            let query = self.pin(request, None, runs == 1, &trace)?;
            *version = Some(query.snapshot.version.clone());
            match query.gather(runs == RUN_LIMIT).await? {
                Some(gathered) => return query.conclude(gathered),
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
        let trace = Arc::new(attempt::Trace::default());
        let mut runs = 1;
        loop {
            let query = self.pin(request, Some(key), runs == 1, &trace)?;
            *version = Some(query.snapshot.version.clone());
            query.check_strikes()?;
            let shard = xxh3::xxh3_64(key.as_bytes()) % u64::from(query.total.max(1));
            let shard = u32::try_from(shard).unwrap_or(0);
            match query.ask_once(shard).await {
                Ok(part) => return Ok(query.answer_once(part)),
                Err(Reason::SnapshotGone) if runs < RUN_LIMIT && query.superseded() => runs += 1,
                Err(reason) => return Err(query.unavailable(reason)),
            }
        }
    }

    /// Checks a request and pins it to a snapshot.
    fn pin<'a>(
        &'a self,
        request: &'a request::Request,
        key: Option<&str>,
        fresh: bool,
        trace: &Arc<attempt::Trace>,
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
            parts: view.parts().iter().map(|p| self.core.service(p)).collect(),
            snapshot: Arc::new(snapshot),
            total,
            print: request.fingerprint(),
            key: key.map(Arc::from),
            deadline: Timestamp::ZERO + request.deadline.since(Timestamp::ZERO + ANSWER_MARGIN),
            trace: Arc::clone(trace),
            fresh,
            asked: AtomicU32::new(0),
            harmless: AtomicBool::new(false),
            struck: AtomicBool::new(false),
        };
        match query.left().is_zero() {
            true => Err(query.refuse(Kind::Expired)),
            false => Ok(query),
        }
    }

    fn finish(
        &self,
        request: &request::Request,
        started: Timestamp,
        version: Option<&str>,
        result: &Result<answer::Answer, Refusal>,
    ) {
        if let Err(refusal) = result {
            self.explain(request, refusal);
        }
        self.core.hooks.observer().finished(&hooks::Finished {
            tenant: &request.tenant,
            class: request.class,
            service: &request.service,
            route: &request.route,
            version,
            latency: self.core.rt.now().since(started),
            verdict: verdict(result),
        });
    }

    /// Reports a refusal that the state of the upstreams caused.
    fn explain(&self, request: &request::Request, refusal: &Refusal) {
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
        self.core.decided(kind, &request.id.0, &cause, evidence);
    }
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> shard::Query<'_, R, U, H> {
    fn conclude(&self, gathered: gather::Gathered) -> Result<answer::Answer, Refusal> {
        if gathered.parts.is_empty() {
            let reason = gathered.missing.first().map(|m| m.reason);
            return Err(self.unavailable(reason.unwrap_or(Reason::NoReplica)));
        }
        if gathered.missing.is_empty() {
            self.core.ledger.clear_strikes(self.print);
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

    /// Sends to one replica, and to another only if the failure proves that nothing ran.
    async fn ask_once(&self, shard: u32) -> Result<answer::Part, Reason> {
        let mut tries = shard::Tries::default();
        loop {
            let place = self.place(shard, &mut tries).await?;
            match self.send(place, shard).await {
                (_, Ok(reply)) => return Ok(answer::Part::new(shard, reply)),
                (name, Err(error)) if error.not_run() => tries.note(&name, error),
                (
                    _,
                    Err(upstream::Error::Failed {
                        reply: Some(reply), ..
                    }),
                ) => {
                    return Ok(answer::Part::new(shard, *reply));
                }
                (_, Err(error)) => {
                    if error == upstream::Error::Lost {
                        self.crashed(shard);
                    }
                    return Err(Reason::from(&error));
                }
            }
        }
    }

    fn answer_once(&self, part: answer::Part) -> answer::Answer {
        self.core.ledger.clear_strikes(self.print);
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
        let refusal = Refusal::not_run(Kind::Unavailable);
        refusal.because(reason, self.run()).after(RETRY_AFTER)
    }
}

fn check_route(
    record: &service::Service,
    request: &request::Request,
    idempotent: bool,
) -> Result<(), Refusal> {
    match record.routes.get(&*request.route) {
        None => Err(Refusal::not_run(Kind::UnknownRoute)),
        Some(route) if route.idempotent && !idempotent => Err(Refusal::not_run(Kind::KeyRefused)),
        Some(route) if !route.idempotent && idempotent => Err(Refusal::not_run(Kind::KeyRequired)),
        Some(_) => Ok(()),
    }
}

fn verdict(result: &Result<answer::Answer, Refusal>) -> Verdict {
    match result {
        Ok(answer) => match answer.coverage.missing.first() {
            Some(missing) => Verdict::Partial(missing.reason),
            None => Verdict::Full,
        },
        Err(refusal) if refusal.run == Run::NotRun => Verdict::NotRun,
        Err(refusal) => Verdict::Failed(refusal.reason.unwrap_or(Reason::TimedOut)),
    }
}
