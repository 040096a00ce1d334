//! Counters of this instance's requests during running moves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::evidence;
use crate::share;

/// Number of recent latencies of the old version that set the threshold of slow replies.
const WINDOW_LEN: usize = 128;

/// Number of latencies before which no reply counts as slow.
const MIN_LATENCIES: usize = 20;

/// Number of new latencies after which the threshold is computed again.
const UPDATE_INTERVAL: usize = 16;

/// Quantile of the old version's latencies that the threshold is based on, in per cent.
const QUANTILE_PERCENT: usize = 95;

/// Ratio of the threshold to the quantile, in tenths.
const SLOW_FACTOR_TENTHS: u32 = 12;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was complete.
    Ok,
    /// The request failed, and the version may be the cause.
    Failed,
}

/// Which version of a move served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Old,
    New,
}

/// A finished request that a move counts.
pub(crate) struct Observation {
    pub(crate) side: Side,
    pub(crate) step: share::Step,
    pub(crate) outcome: RequestOutcome,
    pub(crate) latency: Duration,
    /// Whether the latency is counted. Those of the new version aren't while it is cold.
    pub(crate) timed: bool,
}

/// Counters of all running moves by name.
#[derive(Default)]
pub(crate) struct Recorder {
    moves: BTreeMap<Arc<str>, MoveCounts>,
}

#[derive(Default)]
struct MoveCounts {
    report: evidence::Report,
    /// Thresholds by route.
    thresholds: BTreeMap<String, Threshold>,
}

/// Latency above which a reply is slow, computed from recent replies of the old version.
#[derive(Default)]
struct Threshold {
    window: VecDeque<Duration>,
    /// The threshold; `None` until [`MIN_LATENCIES`] are known.
    limit: Option<Duration>,
    /// Number of latencies added since the threshold was computed.
    since_update: usize,
}

impl Recorder {
    pub(crate) fn observe(&mut self, name: &Arc<str>, route: &str, observation: &Observation) {
        let counts = self.moves.entry(Arc::clone(name)).or_default();
        let slow = counts
            .is_slow(route, observation)
            .filter(|_| observation.timed);
        let pair = counts.pair(route, observation.step);
        let counters = match observation.side {
            Side::Old => &mut pair.old,
            Side::New => &mut pair.new,
        };
        counters.requests += 1;
        counters.failures += u64::from(observation.outcome == RequestOutcome::Failed);
        counters.timed += u64::from(slow.is_some());
        counters.slow += u64::from(slow == Some(true));
    }

    /// Returns the report of one move; `None` if no request was counted.
    pub(crate) fn report(&self, name: &str) -> Option<evidence::Report> {
        self.moves.get(name).map(|counts| counts.report.clone())
    }

    /// Removes the moves that aren't among `names`.
    pub(crate) fn retain(&mut self, names: &BTreeSet<Arc<str>>) {
        self.moves.retain(|name, _| names.contains(name));
    }
}

impl MoveCounts {
    /// Returns whether a reply is slow; `None` for a failure or before the threshold is known.
    /// Then adds a reply of the old version to the threshold.
    fn is_slow(&mut self, route: &str, observation: &Observation) -> Option<bool> {
        if observation.outcome == RequestOutcome::Failed {
            return None;
        }
        if !self.thresholds.contains_key(route) {
            self.thresholds
                .insert(route.to_owned(), Threshold::default());
        }
        let threshold = self.thresholds.get_mut(route)?;
        let slow = threshold.limit.map(|t| observation.latency > t);
        if observation.side == Side::Old {
            threshold.add(observation.latency);
        }
        slow
    }

    fn pair(&mut self, route: &str, step: share::Step) -> &mut evidence::CounterPair {
        let routes = &mut self.report.routes;
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), BTreeMap::new());
        }
        let steps = routes.entry(route.to_owned()).or_default();
        steps.entry(step).or_default()
    }
}

impl Threshold {
    fn add(&mut self, latency: Duration) {
        self.window.push_back(latency);
        if self.window.len() > WINDOW_LEN {
            self.window.pop_front();
        }
        self.since_update += 1;
        if self.since_update >= UPDATE_INTERVAL && self.window.len() >= MIN_LATENCIES {
            self.since_update = 0;
            self.limit = Some(self.quantile() * SLOW_FACTOR_TENTHS / 10);
        }
    }

    fn quantile(&self) -> Duration {
        let mut sorted: Vec<_> = self.window.iter().copied().collect();
        let index = (sorted.len() * QUANTILE_PERCENT / 100).min(sorted.len() - 1);
        *sorted.select_nth_unstable(index).1
    }
}
