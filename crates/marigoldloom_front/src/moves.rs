//! Runs the version moves of an instance and writes their phases to the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::source::{Kind, Source};
use marigoldloom_moves::window::{TICK_INTERVAL, WindowedMoves};
use marigoldloom_query::hooks;
use marigoldloom_records::service;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::supervisor;
use marigoldloom_runtime::time::Timestamp;

use crate::exchange::PeerExchange;

/// The moves of an instance of the front end.
pub(crate) type Moves<R> = WindowedMoves<R, PeerExchange<R>>;

/// Interval between two checks for orders while there are none. A new view is applied at once.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest random delay before an instance that has evidence about a move writes its phase. Most
/// instances then find it written. The end of a move is due within [`TICK_INTERVAL`].
const WRITE_SPREAD: Duration = Duration::from_millis(100);

/// Delay and its longest random addition before an instance without evidence writes a phase.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Chooses replicas by the moves of their services.
pub(crate) struct Versions<R>(pub(crate) Moves<R>);

impl<R: Runtime> hooks::Versions for Versions<R> {
    fn choose(&self, service: &service::Service, _route: &str, _hash: u64) -> String {
        service.active.clone()
    }

    fn filter(&self, service: &str, hash: u64, first: bool) -> topology::VersionFilter {
        self.0.filter(service, hash, first)
    }
}

/// Keeps the moves up to date and writes their phases. Runs until it is dropped.
pub(crate) async fn run<R: Runtime, S: Source>(
    rt: R,
    source: S,
    moves: Moves<R>,
    latest: LatestView,
    feed: Arc<Feed>,
) {
    let start = || run_once(&rt, &source, &moves, &latest, &feed);
    supervisor::supervise(&rt, "moves", start).await;
}

async fn run_once<R: Runtime>(
    rt: &R,
    source: &impl Source,
    moves: &Moves<R>,
    latest: &LatestView,
    feed: &Feed,
) {
    let mut writes = Writes::default();
    loop {
        let view = latest.get();
        let orders = view.as_ref().map_or(&[][..], |view| &view.moves);
        let due = moves.tick(orders, feed.follows(rt.now(), Kind::Moves));
        for order in writes.take_due(rt, moves, due) {
            let (source, phase) = (source.clone(), order.phase.unwrap_or_default());
            rt.spawn(async move { write(&source, &order, phase).await });
        }
        let interval = match orders.is_empty() {
            true => IDLE_INTERVAL,
            false => TICK_INTERVAL,
        };
        rt.sleep(interval).await;
    }
}

async fn write(source: &impl Source, order: &Order, phase: Phase) {
    let result = source.set_phase(order, phase).await;
    let error = result.as_ref().err().map(tracing::field::display);
    tracing::info!(
        service = %order.service,
        version = %order.version,
        ?phase,
        error,
        "phase of a version move written"
    );
}

/// When the phases that are not written yet are due.
#[derive(Debug, Default)]
struct Writes {
    planned: BTreeMap<(Arc<str>, Phase), Timestamp>,
}

impl Writes {
    /// Plans the writes of new phases, and returns the orders whose phases must be written now.
    fn take_due<R: Runtime>(&mut self, rt: &R, moves: &Moves<R>, orders: Vec<Order>) -> Vec<Order> {
        let now = rt.now();
        let key = |order: &Order| (Arc::clone(&order.name), order.phase.unwrap_or_default());
        self.planned
            .retain(|planned, _| orders.iter().any(|order| key(order) == *planned));
        let due = orders.into_iter().filter(|order| {
            let delay = || match moves.has_evidence(&order.name) {
                true => runtime::backoff(rt, 0, WRITE_SPREAD, WRITE_SPREAD),
                false => FALLBACK_DELAY + runtime::backoff(rt, 0, FALLBACK_DELAY, FALLBACK_DELAY),
            };
            let at = self
                .planned
                .entry(key(order))
                .or_insert_with(|| now + delay());
            let is_due = *at <= now;
            if is_due {
                *at = now + RETRY_PAUSE;
            }
            is_due
        });
        due.collect()
    }
}
