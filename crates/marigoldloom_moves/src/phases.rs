//! Keeps the moves of an instance up to date and writes their phases to the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::Exchange;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;

use crate::window::{TICK_INTERVAL, WindowedMoves};

/// Interval between two checks for orders while there are none.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest random delay before an instance that has evidence about a move writes its phase. Most
/// instances then find it written. The end of a move is due within [`TICK_INTERVAL`].
const WRITE_SPREAD: Duration = Duration::from_millis(100);

/// Delay and its longest random addition before an instance without evidence writes a phase.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

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
    loop {
        let known = orders.current();
        let due = moves.tick(&known, orders.is_connected());
        for order in writes.take_due(&rt, &moves, due) {
            let (orders, phase) = (orders.clone(), order.phase.unwrap_or_default());
            rt.spawn(async move { write(&orders, &order, phase).await });
        }
        let interval = match known.is_empty() {
            true => IDLE_INTERVAL,
            false => TICK_INTERVAL,
        };
        rt.sleep(interval).await;
    }
}

async fn write(orders: &impl Orders, order: &Order, phase: Phase) {
    let result = orders.set_phase(order, phase).await;
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
    fn take_due<R: Runtime, X: Exchange>(
        &mut self,
        rt: &R,
        moves: &WindowedMoves<R, X>,
        orders: Vec<Order>,
    ) -> Vec<Order> {
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
