//! Latency quantiles over a sliding window.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use marigoldloom_runtime::time;

/// Length of each of the two windows. A quantile covers the current and the previous one.
const WINDOW: Duration = Duration::from_secs(10);

/// Minimum age of a computed quantile before it is computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of samples below which no quantile is returned.
const MIN_SAMPLES: u64 = 20;

/// Tracks one quantile of a series of latencies.
#[derive(Debug)]
pub struct Tracker {
    quantile: f64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    current: Histogram<u32>,
    previous: Histogram<u32>,
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
            state: Mutex::new(State {
                current: histogram(),
                previous: histogram(),
                rotated_at: time::Timestamp::ZERO,
                evaluated_at: time::Timestamp::ZERO,
                value: None,
            }),
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
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        state.current.saturating_record(micros.max(1));
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
        let mut merged = self.previous.clone();
        merged.add(&self.current).ok()?;
        match merged.len() {
            n if n < MIN_SAMPLES => None,
            _ => Some(Duration::from_micros(merged.value_at_quantile(quantile))),
        }
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are constants in range")
}

/// The quantile trackers of all routes, by route.
#[derive(Debug)]
pub struct RouteTrackers {
    quantile: f64,
    trackers: Mutex<BTreeMap<Arc<str>, Arc<Tracker>>>,
}

impl RouteTrackers {
    /// Creates an empty set of trackers of `quantile`, a number between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            trackers: Mutex::default(),
        }
    }

    /// Returns the tracker of `route`, and creates it on first use.
    pub fn tracker(&self, route: &str) -> Arc<Tracker> {
        let mut trackers = self.trackers.lock().unwrap_or_else(PoisonError::into_inner);
        match trackers.get(route) {
            Some(tracker) => Arc::clone(tracker),
            None => {
                let tracker = Arc::new(Tracker::new(self.quantile));
                trackers.insert(Arc::from(route), Arc::clone(&tracker));
                tracker
            }
        }
    }
}
