//! Latency quantiles over a sliding window.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::time;

mod histogram;

use histogram::Histogram;

/// Length of each of the two windows. A quantile covers the current and the previous one.
const WINDOW: Duration = Duration::from_secs(10);

/// Minimum age of a computed quantile before it is computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Number of samples below which no quantile is returned.
const MIN_SAMPLES: u64 = 20;

/// Number of routes of a service whose latencies are tracked: those that were used last. With more
/// routes in use, few of them reach [`MIN_SAMPLES`].
const MAX_ROUTES: usize = 64;

/// Tracks one quantile of a series of latencies.
#[derive(Debug)]
pub struct Tracker {
    quantile: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    current: Histogram,
    previous: Histogram,
    rotated_at: time::Timestamp,
    evaluated_at: time::Timestamp,
    /// Quantile at `evaluated_at`; none if there were too few samples.
    value: Option<Duration>,
}

impl Tracker {
    /// Creates a tracker of `quantile`, a number between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            state: Mutex::default(),
        }
    }

    /// Adds a latency sample.
    pub fn record(&self, now: time::Timestamp, latency: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(state.rotated_at) >= WINDOW {
            let state = &mut *state;
            mem::swap(&mut state.current, &mut state.previous);
            state.current.clear();
            state.rotated_at = now;
        }
        state.current.record(latency);
    }

    /// Returns the quantile, or none if there are too few samples.
    pub fn value(&self, now: time::Timestamp) -> Option<Duration> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.value.is_none() || now.since(state.evaluated_at) >= REFRESH_INTERVAL {
            state.evaluated_at = now;
            state.value = state.evaluate(self.quantile);
        }
        state.value
    }
}

impl State {
    fn evaluate(&self, quantile: f64) -> Option<Duration> {
        let count = self.previous.count() + self.current.count();
        (count >= MIN_SAMPLES).then(|| histogram::quantile(&self.previous, &self.current, quantile))
    }
}

/// The quantile trackers of the routes of a service that were used last.
#[derive(Debug)]
pub struct RouteTrackers {
    quantile: f64,
    routes: Mutex<Routes>,
}

#[derive(Debug, Default)]
struct Routes {
    trackers: BTreeMap<Arc<str>, RouteTracker>,
    /// Number of lookups so far, by which the last uses are ordered.
    lookups: u64,
}

#[derive(Debug)]
struct RouteTracker {
    tracker: Arc<Tracker>,
    last_lookup: u64,
}

impl RouteTrackers {
    /// Creates an empty set of trackers of `quantile`, a number between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            routes: Mutex::default(),
        }
    }

    /// Returns the tracker of `route`. Creates it if the route wasn't among those used last; another
    /// one is forgotten if there are too many.
    pub fn tracker(&self, route: &str) -> Arc<Tracker> {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let routes = &mut *routes;
        routes.lookups += 1;
        if let Some(known) = routes.trackers.get_mut(route) {
            known.last_lookup = routes.lookups;
            return Arc::clone(&known.tracker);
        }
        if routes.trackers.len() >= MAX_ROUTES {
            let oldest = routes.trackers.iter().min_by_key(|(_, t)| t.last_lookup);
            let oldest = oldest.map(|(route, _)| Arc::clone(route));
            oldest.map(|route| routes.trackers.remove(&route));
        }
        let tracker = Arc::new(Tracker::new(self.quantile));
        let known = RouteTracker {
            tracker: Arc::clone(&tracker),
            last_lookup: routes.lookups,
        };
        routes.trackers.insert(Arc::from(route), known);
        tracker
    }
}
