//! State that all requests of an engine share.

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

use crate::engine;
use crate::hooks::{self, Hooks, Observer};

/// Hedge delay of a route before its quantile is known.
const FIRST_PATIENCE: Duration = Duration::from_millis(50);

/// Shortest hedge delay: below it a hedge costs more than it gains.
const LEAST_PATIENCE: Duration = Duration::from_millis(2);

/// Time after a crash in which unknown requests to the service run on one shard first.
const CRASH_MEMORY: Duration = Duration::from_secs(30);

/// All of what a cold upstream bears, in thousandths.
const WHOLE: u32 = 1_000;

/// Least time between two reports that a service's hedge budget is spent.
const STOP_REPORT: Duration = Duration::from_secs(10);

/// Shared state of an engine.
pub(crate) struct Core<R, U, H> {
    pub(crate) rt: R,
    pub(crate) upstream: U,
    pub(crate) hooks: H,
    pub(crate) settings: engine::Settings,
    pub(crate) health: health::table::Table,
    pub(crate) ramps: cold::Ramps,
    pub(crate) paces: pace::Pacer,
    pub(crate) ledger: Arc<fingerprint::CrashTracker>,
    /// How late a query notices that its answer is due, e.g. while replies to others are read.
    pub(crate) lag: delay::Delay,
    /// Start ids of processes that other instances brought out of cold start.
    vouched: Mutex<BTreeMap<Arc<str>, u64>>,
    topology: RwLock<Option<Arc<topology::Topology>>>,
    services: Mutex<BTreeMap<Arc<str>, Arc<Service>>>,
    prefix: u64,
    counter: AtomicU64,
}

/// What is tracked per service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) budget: budget::Budget,
    pub(crate) latencies: quantile::RouteTrackers,
    crashed: Mutex<Option<Timestamp>>,
    stopped: Mutex<Option<Timestamp>>,
    sharers: AtomicU32,
    /// This instance's part of what a cold upstream of the service bears, in thousandths.
    pace_part: AtomicU32,
}

impl<R: Runtime, U, H: Hooks> Core<R, U, H> {
    pub(crate) fn new(rt: R, upstream: U, hooks: H, settings: engine::Settings) -> Self {
        let prefix = rt.random();
        Self {
            rt,
            upstream,
            hooks,
            settings,
            health: health::table::Table::new(health::Observation {
                cold_start: settings.cold_start,
                request_ages: settings.losers == engine::Losers::Finish,
            }),
            ramps: cold::Ramps::new(),
            paces: pace::Pacer::new(),
            ledger: Arc::default(),
            lag: delay::Delay::default(),
            vouched: Mutex::default(),
            topology: RwLock::default(),
            services: Mutex::default(),
            prefix,
            counter: AtomicU64::new(0),
        }
    }

    /// The topology in force.
    pub(crate) fn topology(&self) -> Option<Arc<topology::Topology>> {
        let topology = self.topology.read().unwrap_or_else(PoisonError::into_inner);
        topology.clone()
    }

    /// Puts a topology in force.
    pub(crate) fn apply(&self, topology: Arc<topology::Topology>) {
        let chilled = self.health.update(self.rt.now(), &topology);
        self.paces.retain(|name| topology.is_paced(name));
        let mut current = self
            .topology
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(topology);
        drop(current);
        for (name, cause) in chilled {
            self.ramps.reset(&name);
            match cause {
                // At the start every upstream is new; one event for each says nothing.
                health::ColdCause::FirstSeen => self.consult(&name),
                _ => self.changed(&name, &health::Change::Cold(cause)),
            }
        }
    }

    /// Notes that another instance brought the process `start` of `upstream` out of cold
    /// start, or with none that nobody's word for it counts any more.
    pub(crate) fn vouch(&self, upstream: &str, start: Option<u64>) {
        let mut vouched = self.vouched.lock().unwrap_or_else(PoisonError::into_inner);
        match start {
            Some(start) => vouched.insert(Arc::from(upstream), start),
            None => vouched.remove(upstream),
        };
        drop(vouched);
        self.consult(upstream);
    }

    /// Forgets the word of peers for another process than the one that was heard last.
    fn forget_others(&self, upstream: &str) {
        let health = self.health.get(upstream);
        let heard = health.and_then(|h| h.view(self.rt.now()).start_id);
        let mut vouched = self.vouched.lock().unwrap_or_else(PoisonError::into_inner);
        if vouched.get(upstream).copied() != heard {
            vouched.remove(upstream);
        }
    }

    /// Takes `upstream` out of cold start if another instance vouches for its process.
    fn consult(&self, upstream: &str) {
        let vouched = self.vouched.lock().unwrap_or_else(PoisonError::into_inner);
        let start = vouched.get(upstream).copied();
        drop(vouched);
        let health = start.and_then(|_| self.health.get(upstream));
        if let (Some(start), Some(health)) = (start, health)
            && let Some(change) = health.mark_warm(start)
        {
            self.changed(upstream, &change);
        }
    }

    /// The tracked state of the service `name`.
    pub(crate) fn service(&self, name: &Arc<str>) -> Arc<Service> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(Arc::clone(name)).or_insert_with(|| {
            Arc::new(Service {
                budget: budget::Budget::new(self.rt.now(), self.settings.budget),
                latencies: quantile::RouteTrackers::new(self.settings.quantile),
                crashed: Mutex::default(),
                stopped: Mutex::default(),
                sharers: AtomicU32::new(1),
                pace_part: AtomicU32::new(WHOLE),
            })
        });
        Arc::clone(service)
    }

    /// A subquery id that no other attempt has: the prefix is random per process.
    pub(crate) fn subquery_id(&self) -> message::SubqueryId {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        message::SubqueryId(u128::from(self.prefix) << 64 | u128::from(count))
    }

    /// Acts on a change of an upstream's standing and reports it.
    pub(crate) fn changed(&self, upstream: &str, change: &health::Change) {
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
                self.hooks.observer().chilled(&service, upstream, *cause);
                (event::Kind::ColdStart, cause.to_string(), json!({}))
            }
            health::Change::ReportedWarm { start_id } => {
                let cause = "another instance brought this process out of cold start";
                let evidence = json!({"start_id": start_id});
                (event::Kind::Warm, cause.to_owned(), evidence)
            }
            health::Change::Warm {
                successes,
                after,
                start_id,
            } => {
                let service = self.service_of(upstream);
                self.hooks.observer().warmed(&service, upstream, *start_id);
                let evidence = json!({"successes": successes, "after_ms": time::millis(*after)});
                (event::Kind::Warm, "replies succeeded".to_owned(), evidence)
            }
        };
        self.decided(kind, upstream, &cause, evidence);
        match change {
            // The new process may be one that a peer has already brought out of cold start.
            health::Change::Cold(health::ColdCause::Restarted) => {
                self.forget_others(upstream);
                self.consult(upstream);
            }
            // The process is the same as before; peers' word for it is older than the sign.
            health::Change::Cold(cause) if cause.invalidates_reports() => {
                let mut vouched = self.vouched.lock().unwrap_or_else(PoisonError::into_inner);
                vouched.remove(upstream);
            }
            _ => {}
        }
    }

    fn service_of(&self, upstream: &str) -> Arc<str> {
        let topology = self.topology();
        let service = topology.as_ref().and_then(|t| t.service_of(upstream));
        service.cloned().unwrap_or_default()
    }

    /// Reports a decision.
    pub(crate) fn decided(
        &self,
        kind: event::Kind,
        subject: &str,
        cause: &str,
        evidence: serde_json::Value,
    ) {
        self.hooks.observer().decided(&hooks::Decision {
            kind,
            subject,
            cause,
            evidence,
        });
    }
}

impl Service {
    /// Instances that send to the service's upstreams.
    pub(crate) fn sharers(&self) -> u32 {
        self.sharers.load(Ordering::Relaxed)
    }

    pub(crate) fn set_sharers(&self, instances: u32) {
        self.sharers.store(instances, Ordering::Relaxed);
    }

    /// Sets this instance's part of what a cold upstream bears, between 0 and 1.
    pub(crate) fn set_pace_part(&self, part: f64) {
        let thousandths = (part * f64::from(WHOLE)) as u32;
        self.pace_part.store(thousandths.max(1), Ordering::Relaxed);
    }

    /// Least time between two requests of this instance to a cold upstream, which bears one in
    /// each `gap` from all instances.
    pub(crate) fn own_gap(&self, gap: Duration) -> Duration {
        gap * WHOLE / self.pace_part.load(Ordering::Relaxed)
    }

    /// Time after which a subquery of `route` is hedged.
    pub(crate) fn patience(&self, route: &str, now: Timestamp) -> Duration {
        let tracked = self.latencies.tracker(route).value(now);
        tracked.unwrap_or(FIRST_PATIENCE).max(LEAST_PATIENCE)
    }

    /// Notes that the hedge budget is spent. True if that is to be reported.
    pub(crate) fn stop(&self, now: Timestamp) -> bool {
        let mut stopped = self.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        let due = stopped.is_none_or(|at| now.since(at) >= STOP_REPORT);
        if due {
            *stopped = Some(now);
        }
        due
    }

    /// Notes that an upstream of the service crashed.
    pub(crate) fn crash(&self, now: Timestamp) {
        let mut crashed = self.crashed.lock().unwrap_or_else(PoisonError::into_inner);
        *crashed = Some(now);
    }

    /// Whether an upstream of the service crashed lately.
    pub(crate) fn crashed(&self, now: Timestamp) -> bool {
        let crashed = self.crashed.lock().unwrap_or_else(PoisonError::into_inner);
        crashed.is_some_and(|at| now.since(at) < CRASH_MEMORY)
    }
}
