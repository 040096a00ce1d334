//! Moves of replicated services within a window of seconds.
//!
//! What the new version gets over the whole window stays within a bound, whenever it turns out to be
//! bad: all instances follow the same [`plan`]. An instance that can't learn of the others' decisions
//! sends it nothing. A version that isn't proven at full load is taken back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::{self, Timestamp};

use crate::evidence::{Counters, Report};
use crate::plan::{Exposure, Stage};
use crate::share::{self, Step};
use crate::status;

mod active_move;

use active_move::Move;

/// Interval at which [`WindowedMoves::tick`] must be called while there are orders.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the last tick from which the new version gets no requests: the process was paused and may
/// have missed a decision.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Time after the start of the process in which the new version gets no requests, because decisions
/// that were made before are not known yet.
const STARTUP_HOLD: Duration = Duration::from_secs(2);

/// Time with contact to the platform after which an instance knows the phases that others wrote.
const INFORMED_TIME: Duration = Duration::from_secs(1);

/// Longest time between two publications of evidence that shows no fault.
const PUBLISH_PERIOD: Duration = Duration::from_secs(2);

/// Time after the end of a move for which its evidence is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// All requests, in thousandths.
const ALL: u64 = 1_000;

/// What an attempt was sent for.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// Name of the replicated service.
    pub service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Version of the upstream's software.
    pub version: &'a str,
}

/// A finished attempt, as evidence about the version of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// What it was sent for.
    pub origin: Origin<'a>,
    /// Whether the attempt failed, and the version may be the cause.
    pub failed: bool,
    /// Whether the reply came later than usual for the service and route; `None` if that tells
    /// nothing, as on a cold upstream.
    pub slow: Option<bool>,
}

/// How this instance's requests to one service are split between its versions.
#[derive(Clone, Debug)]
struct Split {
    name: Arc<str>,
    target: Arc<str>,
    step: Step,
    /// Share of the requests that go to the target, in thousandths.
    share: u64,
    /// Whether retries go to the target, too.
    decided: bool,
    /// Versions that get no requests otherwise.
    excluded: Arc<BTreeSet<Arc<str>>>,
}

#[derive(Debug, Default)]
struct Table {
    built_at: Timestamp,
    splits: BTreeMap<Arc<str>, Split>,
}

struct State {
    moves: BTreeMap<Arc<str>, Move>,
    /// Own evidence by move.
    reports: BTreeMap<Arc<str>, Report>,
    /// Versions that were taken back, by service.
    rejected: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Since when this instance has contact to the platform; `None` if it has none.
    connected_at: Option<Timestamp>,
}

struct Inner<R, X> {
    rt: R,
    exchange: X,
    /// Name under which this process publishes its evidence.
    writer: Arc<str>,
    started: Timestamp,
    exposure: Exposure,
    table: RwLock<Arc<Table>>,
    state: Mutex<State>,
}

/// The moves of one instance. Clones share their state.
pub struct WindowedMoves<R, X> {
    inner: Arc<Inner<R, X>>,
}

impl<R, X> Clone for WindowedMoves<R, X> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<R: Runtime, X: Exchange> WindowedMoves<R, X> {
    /// Creates the moves of the process `writer`. Over a whole window, a bad version gets at most
    /// `exposure`.
    pub fn new(rt: R, exchange: X, writer: Arc<str>, exposure: Exposure) -> Self {
        let started = rt.now();
        Self {
            inner: Arc::new(Inner {
                rt,
                exchange,
                writer,
                started,
                exposure,
                table: RwLock::default(),
                state: Mutex::new(State {
                    moves: BTreeMap::new(),
                    reports: BTreeMap::new(),
                    rejected: BTreeMap::new(),
                    connected_at: None,
                }),
            }),
        }
    }

    /// Returns which replicas of `service` an attempt may use. `request` is the hash of the request
    /// id. Only first attempts may go to a version on trial, so that retries help its callers.
    pub fn filter(&self, service: &str, request: u64, first: bool) -> topology::VersionFilter {
        let table = self.table();
        let Some(split) = table.splits.get(service) else {
            return topology::VersionFilter::default();
        };
        let fresh = self.inner.rt.now().since(table.built_at) <= MAX_AGE;
        let chosen = match split.share {
            0 => false,
            ALL if split.decided && fresh => true,
            share => first && fresh && is_chosen(&split.name, request, share),
        };
        topology::VersionFilter {
            preferred: chosen.then(|| Arc::clone(&split.target)),
            excluded: (!split.excluded.is_empty()).then(|| Arc::clone(&split.excluded)),
        }
    }

    /// Counts an attempt that is sent if a move of its service is under way.
    pub fn begin(&self, origin: Origin<'_>) {
        self.count(origin, |counters| counters.started += 1);
    }

    /// Counts an attempt that ended without telling anything about the version.
    pub fn discard(&self, origin: Origin<'_>) {
        self.count(origin, |counters| counters.discarded += 1);
    }

    /// Counts a finished attempt if a move of its service is under way.
    pub fn observe(&self, attempt: &Attempt<'_>) {
        let slow = attempt.slow.filter(|_| !attempt.failed);
        self.count(attempt.origin, |counters| {
            counters.requests += 1;
            counters.failures += u64::from(attempt.failed);
            counters.timed += u64::from(slow.is_some());
            counters.slow += u64::from(slow == Some(true));
        });
    }

    fn count(&self, origin: Origin<'_>, update: impl FnOnce(&mut Counters)) {
        let table = self.table();
        let Some(split) = table.splits.get(origin.service) else {
            return;
        };
        let mut state = self.state();
        let report = state.reports.entry(Arc::clone(&split.name)).or_default();
        if !report.routes.contains_key(origin.route) {
            report
                .routes
                .insert(origin.route.to_owned(), BTreeMap::new());
        }
        let Some(steps) = report.routes.get_mut(origin.route) else {
            return;
        };
        let pair = steps.entry(split.step).or_default();
        let counters = match *origin.version == *split.target {
            true => &mut pair.new,
            false => &mut pair.old,
        };
        update(counters);
    }

    /// Evaluates all moves and applies the decisions. `connected` tells whether this instance learns
    /// of changes on the platform. Returns the orders with the phase that their status must state.
    pub fn tick(&self, orders: &[Order], connected: bool) -> Vec<Order> {
        let now = self.inner.rt.now();
        let mut state = self.state();
        state.update_orders(orders, now, self.inner.exposure);
        state.connected_at = connected.then(|| state.connected_at.unwrap_or(now));
        let informed = state
            .connected_at
            .is_some_and(|at| now.since(at) >= INFORMED_TIME);
        let State { moves, reports, .. } = &mut *state;
        for (name, active) in moves.iter_mut() {
            if active.decided.is_none() {
                let own = reports.entry(Arc::clone(name)).or_default();
                self.update(active, own, now, informed);
            }
        }
        state.note_rejections();
        let table = self.build_table(&state, now, connected);
        let due = state.moves.values().filter_map(Move::due_status);
        let due = due.collect();
        drop(state);
        let mut current = self
            .inner
            .table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(table);
        due
    }

    /// Returns whether this instance has evidence of its own about the move `name`.
    pub fn has_evidence(&self, name: &str) -> bool {
        let state = self.state();
        state
            .reports
            .get(name)
            .is_some_and(|report| !report.routes.is_empty())
    }

    fn table(&self) -> Arc<Table> {
        let table = self.inner.table.read();
        Arc::clone(&table.unwrap_or_else(PoisonError::into_inner))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates a move that is under way. `informed` tells whether this instance would know its final
    /// phase if another one had written it.
    fn update(&self, active: &mut Move, own: &mut Report, now: Timestamp, informed: bool) {
        let Inner {
            rt,
            exchange,
            writer,
            ..
        } = &*self.inner;
        let name = Arc::clone(&active.order.name);
        if active.take_evaluation(own, now) {
            let writer = format!("{name}/{writer}");
            let mut merged = status::merged_evidence(exchange, &name);
            merged.add(&writer, own);
            active.adjust_start(now, merged.elapsed());
            active.progress.add_evidence(&merged);
            let elapsed = now.since(active.start);
            active.plan.set_traffic(elapsed, merged.traffic());
            active.merged = merged;
            own.elapsed_ms = time::millis(elapsed);
            self.publish(active, &writer, own, now);
        }
        let elapsed = now.since(active.start);
        active.note_stage(elapsed);
        active.switch(elapsed);
        if let Some(reason) = active.fault(elapsed, informed) {
            status::take_back(exchange, rt.wall(), &name, &reason);
        }
        let verdict = status::verdict(exchange, rt.wall(), &name);
        active.decide(verdict.as_ref(), elapsed);
        own.done |= active.switched;
    }

    /// Publishes this instance's evidence at once from the load test on or if it shows new bad replies
    /// of the new version, otherwise at regular intervals.
    fn publish(&self, active: &mut Move, writer: &str, own: &Report, now: Timestamp) {
        let bad = bad_replies(own);
        let due = active
            .published_at
            .is_none_or(|at| now.since(at) >= PUBLISH_PERIOD);
        let tested = active.stage(now) > Stage::Trial;
        if own.routes.is_empty() || !(due || tested || bad != active.published_bad) {
            return;
        }
        active.published_at = Some(now);
        active.published_bad = bad;
        let wall = self.inner.rt.wall();
        let value = serde_json::to_string(own).ok();
        self.inner.exchange.publish(Entry {
            space: Space::Evidence,
            name: Arc::from(writer),
            stamp: wall.0,
            value: value.map(Arc::from),
            expires: Some(wall + active.order.window + RETENTION),
        });
    }

    fn build_table(&self, state: &State, now: Timestamp, connected: bool) -> Table {
        let held = now.since(self.inner.started) < STARTUP_HOLD;
        let mut splits = BTreeMap::new();
        for active in state.moves.values() {
            let service = &active.order.service;
            let (step, share) = active.share(now);
            let usable = connected && !held;
            let mut excluded = state.rejected.get(service).cloned().unwrap_or_default();
            match active.decided {
                Some(_) => {}
                // Whether the old or the new replicas have stopped can't be known here.
                None if !connected && active.is_over(now) => {}
                None => {
                    excluded.insert(Arc::clone(&active.order.version));
                }
            }
            let split = Split {
                name: Arc::clone(&active.order.name),
                target: Arc::clone(&active.order.version),
                step,
                share: if usable || active.switched { share } else { 0 },
                decided: active.switched || active.decided == Some(Phase::Done),
                excluded: Arc::new(excluded),
            };
            splits.insert(Arc::clone(service), split);
        }
        for (service, rejected) in &state.rejected {
            splits.entry(Arc::clone(service)).or_insert_with(|| Split {
                name: Arc::default(),
                target: Arc::default(),
                step: Step::None,
                share: 0,
                decided: false,
                excluded: Arc::new(rejected.clone()),
            });
        }
        Table {
            built_at: now,
            splits,
        }
    }
}

impl State {
    /// Adds new orders and drops those that were withdrawn.
    fn update_orders(&mut self, orders: &[Order], now: Timestamp, exposure: Exposure) {
        self.moves
            .retain(|name, _| orders.iter().any(|order| order.name == *name));
        self.reports
            .retain(|name, _| orders.iter().any(|order| order.name == *name));
        for order in orders {
            if let Some(rejected) = self.rejected.get_mut(&order.service)
                && order.phase != Some(Phase::TakenBack)
                && !self.moves.contains_key(&order.name)
            {
                // The operator orders the version again.
                rejected.remove(&order.version);
            }
            let active = self.moves.entry(Arc::clone(&order.name));
            let active = active.or_insert_with(|| Move::new(order.clone(), now, exposure));
            active.set_order(order);
        }
    }

    /// Remembers the versions that were taken back: their replicas go on for a while, also after
    /// the order was withdrawn.
    fn note_rejections(&mut self) {
        for active in self.moves.values() {
            if active.decided == Some(Phase::TakenBack) {
                let rejected = self.rejected.entry(Arc::clone(&active.order.service));
                rejected
                    .or_default()
                    .insert(Arc::clone(&active.order.version));
            }
        }
    }
}

/// Returns whether a request goes to the new version at a share in thousandths. All instances decide
/// alike, so that a forwarded request gets the same version.
fn is_chosen(name: &str, request: u64, share: u64) -> bool {
    share::hash(name, request) % ALL < share
}

/// Number of failed or slow requests to the new version in an instance's own report.
fn bad_replies(report: &Report) -> u64 {
    let pairs = report.routes.values().flat_map(BTreeMap::values);
    pairs.map(|pair| pair.new.failures + pair.new.slow).sum()
}
