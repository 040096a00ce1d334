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
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Shortest hedge delay: below it a hedge costs more than it gains.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Time after a crash in which unknown requests to the service run on one shard first.
const CRASH_WINDOW: Duration = Duration::from_secs(30);

/// All of what a cold upstream bears, in thousandths.
const FULL_SHARE: u32 = 1_000;

/// Least time between two reports that a service's hedge budget is spent.
const STOP_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Shared state of an engine.
pub(crate) struct Core<R, U, H> {
    pub(crate) rt: R,
    pub(crate) upstream: U,
    pub(crate) hooks: H,
    pub(crate) settings: engine::Settings,
    pub(crate) health: health::table::Table,
    pub(crate) ramps: cold::Ramps,
    pub(crate) paces: pace::Paces,
    pub(crate) ledger: Arc<fingerprint::Ledger>,
    /// How late a query notices that its answer is due, e.g. while replies to others are read.
    pub(crate) wakeup_lag: delay::Delay,
    /// Start ids of processes that other instances brought out of cold start.
    peer_warm: Mutex<BTreeMap<Arc<str>, u64>>,
    topology: RwLock<Option<Arc<topology::Topology>>>,
    services: Mutex<BTreeMap<Arc<str>, Arc<Service>>>,
    id_prefix: u64,
    id_counter: AtomicU64,
}

/// What is tracked per service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) budget: budget::Budget,
    pub(crate) latencies: quantile::Routes,
    last_crash: Mutex<Option<Timestamp>>,
    stop_reported: Mutex<Option<Timestamp>>,
    senders: AtomicU32,
    /// This instance's part of what a cold upstream of the service bears, in thousandths.
    cold_rate_share: AtomicU32,
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
                ages: settings.losing_attempts == engine::LosingAttempts::Finish,
            }),
            ramps: cold::Ramps::new(),
            paces: pace::Paces::new(),
            ledger: Arc::default(),
            wakeup_lag: delay::Delay::default(),
            peer_warm: Mutex::default(),
            topology: RwLock::default(),
            services: Mutex::default(),
            id_prefix,
            id_counter: AtomicU64::new(0),
        }
    }

    /// The topology in force.
    pub(crate) fn topology(&self) -> Option<Arc<topology::Topology>> {
        let topology = self.topology.read().unwrap_or_else(PoisonError::into_inner);
        topology.clone()
    }

    /// Puts a topology in force.
    pub(crate) fn apply(&self, topology: Arc<topology::Topology>) {
        let cold_starts = self.health.follow(self.rt.now(), &topology);
        self.paces.retain(|name| topology.is_paced(name));
        let mut current = self
            .topology
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(topology);
        drop(current);
        for (name, cause) in cold_starts {
            self.ramps.reset(&name);
            match cause {
                // At the start every upstream is new; one event for each says nothing.
                health::ColdCause::FirstSeen => self.apply_peer_warm(&name),
                _ => self.handle_change(&name, &health::Change::Cold(cause)),
            }
        }
    }

    /// Notes that another instance brought the process `start` of `upstream` out of cold
    /// start, or with none that nobody's word for it counts any more.
    pub(crate) fn set_peer_warm(&self, upstream: &str, start_id: Option<u64>) {
        let mut peer_warm = self
            .peer_warm
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match start_id {
            Some(start_id) => peer_warm.insert(Arc::from(upstream), start_id),
            None => peer_warm.remove(upstream),
        };
        drop(peer_warm);
        self.apply_peer_warm(upstream);
    }

    /// Forgets the word of peers for another process than the one that was current last.
    fn forget_stale_peer_warm(&self, upstream: &str) {
        let health = self.health.get(upstream);
        let current = health.and_then(|h| h.view(self.rt.now()).start);
        let mut peer_warm = self
            .peer_warm
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if peer_warm.get(upstream).copied() != current {
            peer_warm.remove(upstream);
        }
    }

    /// Takes `upstream` out of cold start if another instance vouches for its process.
    fn apply_peer_warm(&self, upstream: &str) {
        let peer_warm = self
            .peer_warm
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let start_id = peer_warm.get(upstream).copied();
        drop(peer_warm);
        let health = start_id.and_then(|_| self.health.get(upstream));
        if let (Some(start_id), Some(health)) = (start_id, health)
            && let Some(change) = health.vouch(start_id)
        {
            self.handle_change(upstream, &change);
        }
    }

    /// The tracked state of the service `name`.
    pub(crate) fn service(&self, name: &Arc<str>) -> Arc<Service> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(Arc::clone(name)).or_insert_with(|| {
            Arc::new(Service {
                budget: budget::Budget::new(self.rt.now(), self.settings.budget),
                latencies: quantile::Routes::new(self.settings.quantile),
                last_crash: Mutex::default(),
                stop_reported: Mutex::default(),
                senders: AtomicU32::new(1),
                cold_rate_share: AtomicU32::new(FULL_SHARE),
            })
        });
        Arc::clone(service)
    }

    /// A subquery id that no other attempt has: the id_prefix is random per process.
    pub(crate) fn subquery_id(&self) -> message::SubqueryId {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        message::SubqueryId(u128::from(self.id_prefix) << 64 | u128::from(count))
    }

    /// Acts on a change of an upstream's standing and reports it.
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
            health::Change::Vouched { start } => {
                let cause = "another instance brought this process out of cold start";
                let evidence = json!({"start_id": start});
                (event::Kind::Warm, cause.to_owned(), evidence)
            }
            health::Change::Warm {
                successes,
                after,
                start,
            } => {
                let service = self.service_of(upstream);
                self.hooks
                    .observer()
                    .warmup_finished(&service, upstream, *start);
                let evidence = json!({"successes": successes, "after_ms": time::millis(*after)});
                (event::Kind::Warm, "replies succeeded".to_owned(), evidence)
            }
        };
        self.report_decision(kind, upstream, &cause, evidence);
        match change {
            // The new process may be one that a peer has already brought out of cold start.
            health::Change::Cold(health::ColdCause::Restarted) => {
                self.forget_stale_peer_warm(upstream);
                self.apply_peer_warm(upstream);
            }
            // The process is the same as before; peers' word for it is older than the sign.
            health::Change::Cold(cause) if cause.withdraws() => {
                let mut peer_warm = self
                    .peer_warm
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                peer_warm.remove(upstream);
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
    /// Instances that send to the service's upstreams.
    pub(crate) fn senders(&self) -> u32 {
        self.senders.load(Ordering::Relaxed)
    }

    pub(crate) fn set_sender_count(&self, instances: u32) {
        self.senders.store(instances, Ordering::Relaxed);
    }

    /// Sets this instance's part of what a cold upstream bears, between 0 and 1.
    pub(crate) fn set_cold_rate_share(&self, share: f64) {
        let thousandths = (share * f64::from(FULL_SHARE)) as u32;
        self.cold_rate_share
            .store(thousandths.max(1), Ordering::Relaxed);
    }

    /// Least time between two requests of this instance to a cold upstream, which bears one in
    /// each `gap` from all instances.
    pub(crate) fn own_interval(&self, interval: Duration) -> Duration {
        interval * FULL_SHARE / self.cold_rate_share.load(Ordering::Relaxed)
    }

    /// Time after which a subquery of `route` is hedged.
    pub(crate) fn hedge_delay(&self, route: &str, now: Timestamp) -> Duration {
        let tracked = self.latencies.tracker(route).value(now);
        tracked.unwrap_or(INITIAL_HEDGE_DELAY).max(MIN_HEDGE_DELAY)
    }

    /// Notes that the hedge budget is spent. True if that is to be reported.
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

    /// Notes that an upstream of the service crashed.
    pub(crate) fn record_crash(&self, now: Timestamp) {
        let mut last_crash = self
            .last_crash
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_crash = Some(now);
    }

    /// Whether an upstream of the service crashed lately.
    pub(crate) fn crashed_recently(&self, now: Timestamp) -> bool {
        let last_crash = self
            .last_crash
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW)
    }
}
