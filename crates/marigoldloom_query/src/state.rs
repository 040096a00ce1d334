//! State shared by all requests of an engine.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use marigoldloom_limits::{budget, cold, fingerprint, pace};
use marigoldloom_routing::{health, quantile, topology};
use marigoldloom_runtime::delay;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_telemetry::event;
use marigoldloom_upstream::message;
use serde_json::json;

use crate::hooks::{self, Hooks, Observer};
use crate::{engine, silence};

/// Hedge delay of a route until its latency quantile is known.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Minimum hedge delay. With a shorter one a hedge costs more than it gains.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Time after a crash during which requests to the service that aren't known to be harmless run
/// on one shard first.
const CRASH_WINDOW: Duration = Duration::from_secs(30);

/// Value of [`Service::cold_share`] that stands for the whole request rate. Shares are in
/// thousandths.
const FULL_SHARE: u32 = 1_000;

/// Time for which the state of a service is kept once the topology no longer names it: it may return
/// soon, and its budget would begin anew.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);

/// Minimum time between two reports that the hedge budget of a service is spent.
const STOP_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// State of an engine, shared by its clones and by all requests.
pub(crate) struct Core<R, U, H> {
    pub(crate) rt: R,
    pub(crate) upstream: U,
    pub(crate) hooks: H,
    pub(crate) settings: engine::Settings,
    pub(crate) health: health::table::Table,
    pub(crate) ramps: cold::Ramps,
    pub(crate) pacer: pace::Pacer,
    pub(crate) crash_tracker: Arc<fingerprint::CrashTracker>,
    pub(crate) suspects: silence::Suspects,
    /// How late a query wakes up when a partial answer is due, e.g. because the replies to other
    /// queries are being read.
    pub(crate) wakeup_lag: delay::DelayEstimate,
    /// Start ids of the processes that other instances report as warm, by upstream.
    warm_reports: Mutex<BTreeMap<Arc<str>, u64>>,
    topology: RwLock<Option<Arc<topology::Topology>>>,
    services: Mutex<BTreeMap<Arc<str>, Arc<Service>>>,
    /// Upper half of subquery ids, random per engine.
    id_prefix: u64,
    /// Lower half of the next subquery id.
    id_counter: AtomicU64,
}

/// State of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) budget: budget::Budget,
    pub(crate) latencies: quantile::RouteTrackers,
    /// When an upstream of the service last crashed.
    last_crash: Mutex<Option<Timestamp>>,
    /// When it was last reported that the hedge budget is spent.
    stop_reported: Mutex<Option<Timestamp>>,
    /// When the topology last named the service, or when it was first used.
    named_at: AtomicU64,
    /// Number of instances that send to the service's upstreams.
    sender_count: AtomicU32,
    /// This instance's share of the request rate that a cold upstream accepts, in thousandths.
    cold_share: AtomicU32,
}

impl<R: Runtime, U, H: Hooks> Core<R, U, H> {
    pub(crate) fn new(rt: R, upstream: U, hooks: H, settings: engine::Settings) -> Self {
        let id_prefix = rt.random();
        Self {
            rt,
            upstream,
            hooks,
            settings,
            health: health::table::Table::new(health::Observation {
                cold_start: settings.cold_start,
                detect_silence: settings.losing_attempts == engine::LosingAttempts::Finish,
            }),
            ramps: cold::Ramps::new(),
            pacer: pace::Pacer::new(),
            crash_tracker: Arc::new(fingerprint::CrashTracker::new(id_prefix)),
            suspects: silence::Suspects::default(),
            wakeup_lag: delay::DelayEstimate::default(),
            warm_reports: Mutex::default(),
            topology: RwLock::default(),
            services: Mutex::default(),
            id_prefix,
            id_counter: AtomicU64::new(0),
        }
    }

    /// Returns the current topology; `None` before the first one.
    pub(crate) fn topology(&self) -> Option<Arc<topology::Topology>> {
        let topology = self.topology.read().unwrap_or_else(PoisonError::into_inner);
        topology.clone()
    }

    /// Whether the current topology allows new work for the process `replica` of `service`.
    pub(crate) fn is_usable(&self, service: &str, replica: &topology::Replica) -> bool {
        let topology = self.topology();
        let view = topology.as_ref().and_then(|t| t.service(service));
        let current = view.and_then(|v| v.upstreams().get(&replica.target.name));
        current.is_some_and(|current| {
            current.usable && current.target == replica.target && current.born == replica.born
        })
    }

    /// Replaces the current topology and handles the cold starts that result from it.
    pub(crate) fn apply(&self, topology: Arc<topology::Topology>) {
        let cold_starts = self.health.update(self.rt.now(), &topology);
        self.pacer.retain(|name| topology.has_pace(name));
        self.ramps.retain(|name| self.health.get(name).is_some());
        self.forget_services(&topology);
        let mut current = self
            .topology
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(topology);
        drop(current);
        self.resolve_suspects();
        for (name, cause) in cold_starts {
            self.ramps.reset(&name);
            match cause {
                // Not reported: at startup this would be one event for every upstream.
                health::ColdCause::FirstSeen => self.apply_warm_report(&name),
                _ => self.handle_change(&name, &health::Change::Cold(cause)),
            }
        }
    }

    /// Drops the state of services that no request uses and the topology hasn't named for
    /// [`SERVICE_RETENTION`].
    fn forget_services(&self, topology: &topology::Topology) {
        let now = self.rt.now();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, view) in topology.services() {
            for name in view.shard_services().iter().chain([key]) {
                if let Some(service) = services.get(name) {
                    service.named_at.store(now.as_nanos(), Ordering::Relaxed);
                }
            }
        }
        services.retain(|_, service| {
            let named_at = Timestamp::from_nanos(service.named_at.load(Ordering::Relaxed));
            now.since(named_at) < SERVICE_RETENTION || Arc::strong_count(service) > 1
        });
    }

    /// Number of services whose state is kept.
    pub(crate) fn service_count(&self) -> usize {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.len()
    }

    /// Records that another instance brought the process `start_id` of `upstream` out of cold
    /// start. `None` withdraws all such reports for the upstream.
    pub(crate) fn set_warm_report(&self, upstream: &str, start_id: Option<u64>) {
        let mut warm_reports = self
            .warm_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match start_id {
            Some(start_id) => warm_reports.insert(Arc::from(upstream), start_id),
            None => warm_reports.remove(upstream),
        };
        drop(warm_reports);
        self.apply_warm_report(upstream);
    }

    /// Removes the peers' report for `upstream` if it is about another process than the last
    /// known one.
    fn forget_stale_warm_report(&self, upstream: &str) {
        let health = self.health.get(upstream);
        let current = health.and_then(|h| h.view(self.rt.now()).start_id);
        let mut warm_reports = self
            .warm_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if warm_reports.get(upstream).copied() != current {
            warm_reports.remove(upstream);
        }
    }

    /// Takes `upstream` out of cold start if another instance reports its process as warm.
    fn apply_warm_report(&self, upstream: &str) {
        let warm_reports = self
            .warm_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let start_id = warm_reports.get(upstream).copied();
        drop(warm_reports);
        let health = start_id.and_then(|_| self.health.get(upstream));
        if let (Some(start_id), Some(health)) = (start_id, health)
            && let Some(change) = health.mark_warm(start_id)
        {
            self.handle_change(upstream, &change);
        }
    }

    /// Returns the state of the service `name`, which is created on first use.
    pub(crate) fn service(&self, name: &Arc<str>) -> Arc<Service> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(Arc::clone(name)).or_insert_with(|| {
            Arc::new(Service {
                budget: budget::Budget::new(self.rt.now(), self.settings.budget),
                latencies: quantile::RouteTrackers::new(self.settings.quantile),
                last_crash: Mutex::default(),
                stop_reported: Mutex::default(),
                named_at: AtomicU64::new(self.rt.now().as_nanos()),
                sender_count: AtomicU32::new(1),
                cold_share: AtomicU32::new(FULL_SHARE),
            })
        });
        Arc::clone(service)
    }

    /// Returns a subquery id that no other attempt has.
    pub(crate) fn subquery_id(&self) -> message::SubqueryId {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        message::SubqueryId(u128::from(self.id_prefix) << 64 | u128::from(count))
    }

    /// Handles a change of an upstream's health and reports it to the observer.
    pub(crate) fn handle_change(&self, upstream: &str, change: &health::Change) {
        let (kind, cause, evidence) = match change {
            health::Change::Ejected { failures, pause } => {
                let evidence = json!({"failures": failures, "pause_ms": time::millis(*pause)});
                (
                    event::Kind::Ejected,
                    "failures in a row".to_owned(),
                    evidence,
                )
            }
            health::Change::Readmitted => {
                let cause = "a probe succeeded".to_owned();
                (event::Kind::Readmitted, cause, json!({}))
            }
            health::Change::Cold(cause) => {
                self.ramps.reset(upstream);
                let service = self.service_of(upstream);
                self.hooks
                    .observer()
                    .cold_start_began(&service, upstream, *cause);
                (event::Kind::ColdStart, cause.to_string(), json!({}))
            }
            health::Change::ReportedWarm { start_id } => {
                let cause = "another instance brought this process out of cold start";
                let evidence = json!({"start_id": start_id});
                (event::Kind::Warm, cause.to_owned(), evidence)
            }
            health::Change::Leaving => {
                let cause = "it says that it leaves".to_owned();
                (event::Kind::Unwilling, cause, json!({}))
            }
            health::Change::Paused { pause } => {
                let cause = "it wants no requests for a time".to_owned();
                let evidence = json!({"pause_ms": time::millis(*pause)});
                (event::Kind::Unwilling, cause, evidence)
            }
            health::Change::Resumed => {
                let cause = "it replied after the time without requests".to_owned();
                (event::Kind::Willing, cause, json!({}))
            }
            health::Change::Warm {
                successes,
                after,
                start_id,
            } => {
                let service = self.service_of(upstream);
                self.hooks
                    .observer()
                    .warmup_finished(&service, upstream, *start_id);
                let evidence = json!({"successes": successes, "after_ms": time::millis(*after)});
                (event::Kind::Warm, "replies succeeded".to_owned(), evidence)
            }
        };
        self.report_decision(kind, upstream, &cause, evidence);
        match change {
            // A peer may already have brought the new process out of cold start.
            health::Change::Cold(health::ColdCause::Restarted) => {
                self.forget_stale_warm_report(upstream);
                self.apply_warm_report(upstream);
            }
            // The process is the same, so the peers' report of it as warm is outdated.
            health::Change::Cold(cause) if cause.invalidates_reports() => {
                let mut warm_reports = self
                    .warm_reports
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                warm_reports.remove(upstream);
            }
            _ => {}
        }
    }

    /// Returns the number of strikes against a fingerprint, over all instances.
    pub(crate) fn strike_count(&self, fingerprint: fingerprint::Fingerprint) -> u32 {
        let now = self.rt.wall();
        self.crash_tracker.strike_count(now, fingerprint)
    }

    /// Counts a strike against a fingerprint, unless the end of the upstream under `run` has been
    /// counted. `evidence` shows that the upstream ended.
    pub(crate) fn add_strike(
        &self,
        fingerprint: fingerprint::Fingerprint,
        run: Option<fingerprint::FatalRun<'_>>,
        evidence: &'static str,
    ) {
        let now = self.rt.wall();
        if let Some(own) = self.crash_tracker.add_strike(now, fingerprint, run) {
            let upstream = run.map(|run| run.upstream);
            self.report_strikes(fingerprint, &own, upstream, evidence);
        }
    }

    /// Begins a trial of a request with these refused fingerprints, unless another one has begun.
    pub(crate) fn begin_trial(&self, refused: &[fingerprint::Fingerprint]) -> bool {
        let begun = self.crash_tracker.begin_trial(self.rt.wall(), refused);
        for (fingerprint, own) in begun.iter().flatten() {
            self.report_strikes(*fingerprint, own, None, "a trial begins");
        }
        begun.is_some()
    }

    /// Takes back a trial that reached no upstream.
    pub(crate) fn cancel_trial(&self, refused: &[fingerprint::Fingerprint]) {
        let now = self.rt.wall();
        for (fingerprint, own) in self.crash_tracker.cancel_trial(now, refused) {
            self.report_strikes(fingerprint, &own, None, "a trial reached no upstream");
        }
    }

    fn report_strikes(
        &self,
        fingerprint: fingerprint::Fingerprint,
        own: &fingerprint::Strikes,
        upstream: Option<&str>,
        evidence: &'static str,
    ) {
        let total = self.crash_tracker.total(self.rt.wall(), fingerprint);
        self.hooks.observer().strikes_changed(&hooks::StrikeChange {
            fingerprint,
            own,
            total: &total,
            refused: total.count >= fingerprint::STRIKE_LIMIT,
            upstream,
            evidence,
        });
    }

    /// Clears the strikes against a fingerprint after a run without a crash.
    pub(crate) fn clear_strikes(&self, fingerprint: fingerprint::Fingerprint) {
        self.clear_silence(fingerprint);
        let refused = self.strike_count(fingerprint) >= fingerprint::STRIKE_LIMIT;
        let cleared = self
            .crash_tracker
            .clear_strikes(self.rt.wall(), fingerprint);
        if let Some(own) = cleared {
            self.hooks.observer().strikes_changed(&hooks::StrikeChange {
                fingerprint,
                own: &own,
                total: &own,
                refused,
                upstream: None,
                evidence: "an upstream survived a run",
            });
        }
    }

    /// Returns the time until each shard of `service` has a replica that takes requests, as far as
    /// replicas have said; zero if that holds now.
    pub(crate) fn pause_of(&self, service: &str) -> Duration {
        let now = self.rt.now();
        let topology = self.topology();
        let view = topology.as_ref().and_then(|t| t.service(service));
        let snapshot = view.and_then(|v| v.query_snapshot(&v.record.active));
        let shards = view.zip(snapshot.as_ref()).and_then(|(v, s)| v.shards(s));
        let Some(shards) = shards else {
            return Duration::ZERO;
        };
        let pauses = (0..shards.total()).filter_map(|shard| {
            let replicas = shards.replicas(shard).iter();
            replicas
                .filter_map(|replica| self.pause_of_replica(replica, now))
                .min()
        });
        pauses.max().unwrap_or_default()
    }

    /// Returns the time until a replica takes requests; `None` if it leaves or isn't known.
    fn pause_of_replica(&self, replica: &topology::Replica, now: Timestamp) -> Option<Duration> {
        let view = self.health.get(&replica.target.name)?.view(now);
        match view.resumes_at {
            Some(at) => Some(at.since(now)),
            None if view.availability == health::Availability::Unwilling => None,
            None => Some(Duration::ZERO),
        }
    }

    fn service_of(&self, upstream: &str) -> Arc<str> {
        let topology = self.topology();
        let service = topology.as_ref().and_then(|t| t.service_of(upstream));
        service.cloned().unwrap_or_default()
    }

    /// Reports a decision to the observer.
    pub(crate) fn report_decision(
        &self,
        kind: event::Kind,
        subject: &str,
        cause: &str,
        evidence: serde_json::Value,
    ) {
        self.hooks.observer().decision_made(&hooks::Decision {
            kind,
            subject,
            cause,
            evidence,
        });
    }
}

impl Service {
    /// Returns the number of instances that send to the service's upstreams.
    pub(crate) fn sender_count(&self) -> u32 {
        self.sender_count.load(Ordering::Relaxed)
    }

    pub(crate) fn set_sender_count(&self, instances: u32) {
        self.sender_count.store(instances, Ordering::Relaxed);
    }

    /// Sets this instance's share of the request rate that a cold upstream accepts, between 0
    /// and 1.
    pub(crate) fn set_cold_rate_share(&self, share: f64) {
        let thousandths = (share * f64::from(FULL_SHARE)) as u32;
        self.cold_share.store(thousandths.max(1), Ordering::Relaxed);
    }

    /// Returns the minimum time between two requests of this instance to a cold upstream that
    /// accepts one request per `interval` from all instances together.
    pub(crate) fn own_interval(&self, interval: Duration) -> Duration {
        interval * FULL_SHARE / self.cold_share.load(Ordering::Relaxed)
    }

    /// Returns the time after which a subquery of `route` is hedged.
    pub(crate) fn hedge_delay(&self, route: &str, now: Timestamp) -> Duration {
        let tracked = self.latencies.tracker(route).value(now);
        tracked.unwrap_or(INITIAL_HEDGE_DELAY).max(MIN_HEDGE_DELAY)
    }

    /// Records that the hedge budget is spent. Returns whether a report of that is due.
    pub(crate) fn note_hedging_stopped(&self, now: Timestamp) -> bool {
        let mut stop_reported = self
            .stop_reported
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let due = stop_reported.is_none_or(|at| now.since(at) >= STOP_REPORT_INTERVAL);
        if due {
            *stop_reported = Some(now);
        }
        due
    }

    /// Records that an upstream of the service crashed.
    pub(crate) fn record_crash(&self, now: Timestamp) {
        let mut last_crash = self
            .last_crash
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_crash = Some(now);
    }

    /// Whether an upstream of the service crashed within [`CRASH_WINDOW`].
    pub(crate) fn crashed_recently(&self, now: Timestamp) -> bool {
        let last_crash = self
            .last_crash
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW)
    }
}
