//! Keeps the moves of an instance up to date and writes their phases to the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc;
use marigoldloom_peers::exchange::Exchange;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{self, Timestamp};

use crate::window::{TICK_INTERVAL, WindowedMoves};

/// Interval between two checks for orders while there are none.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between the first writes of a final phase by instances with evidence. Most of them then find
/// it written.
const RANK_DELAY: Duration = Duration::from_millis(40);

/// Number of instances with evidence that write at the same time, except for the first.
const RANK_WRITERS: usize = 2;

/// Time between the first writes of other phases, which are not urgent.
const RUNNING_RANK_DELAY: Duration = Duration::from_millis(200);

/// Delay before other phases are written, in which instances learn of each other's evidence.
const RUNNING_DELAY: Duration = Duration::from_secs(1);

/// Delay and its longest random addition before an instance without evidence writes a final phase.
const FALLBACK_DELAY: Duration = Duration::from_millis(400);
const FALLBACK_SPREAD: Duration = Duration::from_secs(2);

/// Delay and its longest random addition before an instance without evidence writes another phase.
const RUNNING_FALLBACK: Duration = Duration::from_secs(3);

/// Time without an answer after which a write is sent again, beside the first one. It doubles with
/// each write.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Base of the backoff after a failed write.
const RETRY_BASE: Duration = Duration::from_millis(50);

/// Longest time between two writes of a phase.
const RETRY_CAP: Duration = Duration::from_secs(1);

/// Where an instance learns of orders and writes their phases.
pub trait Orders: Clone + Send + Sync + 'static {
    /// Why a phase was not written.
    type Error: fmt::Display + Send;

    /// Returns the orders that are known here.
    fn current(&self) -> Vec<Order>;

    /// Returns whether this instance learns of changes on the platform.
    fn is_connected(&self) -> bool;

    /// Writes the phase of `order` as its status. Fails if the order has another revision by now.
    fn set_phase(
        &self,
        order: &Order,
        phase: Phase,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;
}

/// Evaluates the moves and writes their phases. Runs until it is dropped.
pub async fn run<R: Runtime, X: Exchange>(rt: R, moves: WindowedMoves<R, X>, orders: impl Orders) {
    let mut writes = Writes::default();
    let (finished, mut results) = mpsc::unbounded();
    loop {
        let known = orders.current();
        let unwritten = moves.tick(&known, orders.is_connected());
        for order in writes.take_due(&rt, &moves, unwritten) {
            let (orders, finished) = (orders.clone(), finished.clone());
            let clock = rt.clone();
            rt.spawn(async move {
                let written = write(&clock, &orders, &order).await;
                // The loop may have ended.
                let _ = finished.unbounded_send((key(&order), written));
            });
        }
        let interval = match known.is_empty() {
            true => IDLE_INTERVAL,
            false => TICK_INTERVAL,
        };
        let stage = moves.until_next_stage().unwrap_or(interval);
        let write = writes.until_next(&rt, &moves).unwrap_or(interval);
        let wait = interval.min(stage).min(write);
        if let Ok(Some((key, written))) = runtime::timeout(&rt, wait, results.next()).await {
            writes.record_result(&rt, &key, written);
        }
    }
}

/// Writes the phase of `order`. Returns whether that succeeded.
async fn write(rt: &impl Runtime, orders: &impl Orders, order: &Order) -> bool {
    let phase = order.phase.unwrap_or_default();
    let start = rt.now();
    let result = orders.set_phase(order, phase).await;
    let error = result.as_ref().err().map(tracing::field::display);
    tracing::info!(
        service = %order.service,
        version = %order.version,
        ?phase,
        took_ms = time::millis(rt.now().since(start)),
        error,
        "phase of a version move written"
    );
    result.is_ok()
}

/// Name of a move and the phase to write.
type Key = (Arc<str>, Phase);

fn key(order: &Order) -> Key {
    (Arc::clone(&order.name), order.phase.unwrap_or_default())
}

/// The writes of phases that the platform doesn't state yet.
#[derive(Debug, Default)]
struct Writes {
    planned: BTreeMap<Key, Write>,
}

/// When a phase is written next.
#[derive(Clone, Copy, Debug)]
enum Write {
    /// For the first time here. The order among the instances depends on their evidence.
    First {
        /// When the phase became due.
        since: Timestamp,
        /// Delay if this instance has no evidence.
        fallback: Duration,
    },
    /// Again, because the platform doesn't state it by then.
    Again {
        at: Timestamp,
        /// Number of writes so far.
        count: u32,
    },
}

impl Write {
    fn at<R: Runtime, X: Exchange>(self, key: &Key, moves: &WindowedMoves<R, X>) -> Timestamp {
        match self {
            Self::First { since, fallback } => {
                let rank = moves.write_rank(&key.0);
                since + rank.map_or(fallback, |rank| rank_delay(key.1, rank))
            }
            Self::Again { at, .. } => at,
        }
    }
}

/// Returns the delay of an instance's first write if `rank` others write before it.
fn rank_delay(phase: Phase, rank: usize) -> Duration {
    let turn = u32::try_from(rank.div_ceil(RANK_WRITERS)).unwrap_or(u32::MAX);
    match phase {
        Phase::Running => RUNNING_DELAY.saturating_add(RUNNING_RANK_DELAY.saturating_mul(turn)),
        Phase::Done | Phase::TakenBack => RANK_DELAY.saturating_mul(turn),
    }
}

fn fallback_delay(rt: &impl Runtime, phase: Phase) -> Duration {
    let (delay, spread) = match phase {
        Phase::Running => (RUNNING_FALLBACK, RUNNING_FALLBACK),
        Phase::Done | Phase::TakenBack => (FALLBACK_DELAY, FALLBACK_SPREAD),
    };
    delay + runtime::backoff(rt, 0, spread, spread)
}

impl Writes {
    /// Plans the writes of new phases, and returns the orders whose phases must be written now.
    fn take_due<R: Runtime, X: Exchange>(
        &mut self,
        rt: &R,
        moves: &WindowedMoves<R, X>,
        unwritten: Vec<Order>,
    ) -> Vec<Order> {
        let now = rt.now();
        self.planned
            .retain(|planned, _| unwritten.iter().any(|order| key(order) == *planned));
        let due = unwritten.into_iter().filter(|order| {
            let key = key(order);
            let first = || Write::First {
                since: now,
                fallback: fallback_delay(rt, key.1),
            };
            let write = self.planned.entry(key.clone()).or_insert_with(first);
            let is_due = write.at(&key, moves) <= now;
            if is_due {
                let count = match *write {
                    Write::First { .. } => 1,
                    Write::Again { count, .. } => count.saturating_add(1),
                };
                let pause = ANSWER_TIME.saturating_mul(1 << (count - 1).min(16));
                let at = now + pause.min(RETRY_CAP);
                *write = Write::Again { at, count };
            }
            is_due
        });
        due.collect()
    }

    /// Plans the next write of a phase after one has ended.
    fn record_result(&mut self, rt: &impl Runtime, key: &Key, written: bool) {
        if let Some(Write::Again { at, count }) = self.planned.get_mut(key) {
            let now = rt.now();
            *at = match written {
                // Until then this instance has learned of it.
                true => now + RETRY_CAP,
                false => (now + retry_pause(rt, *count)).min(*at),
            };
        }
    }

    /// Returns the time until the next write; `None` if none is planned.
    fn until_next<R: Runtime, X: Exchange>(
        &self,
        rt: &R,
        moves: &WindowedMoves<R, X>,
    ) -> Option<Duration> {
        let times = self.planned.iter().map(|(key, write)| write.at(key, moves));
        times.min().map(|at| at.since(rt.now()))
    }
}

/// Returns the pause after the failure of the last of `count` writes.
fn retry_pause(rt: &impl Runtime, count: u32) -> Duration {
    let base = RETRY_BASE.saturating_mul(1 << (count - 1).min(16));
    let half = base.min(RETRY_CAP) / 2;
    half + runtime::backoff(rt, 0, half, half)
}
