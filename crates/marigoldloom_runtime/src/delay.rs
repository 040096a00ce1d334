//! A delay that is estimated from few samples, with the spread that it has.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A new sample counts as one in so many, as in the estimate of TCP's round-trip time.
const WEIGHT: u32 = 8;

/// Deviations above the mean within which nearly all delays lie.
const SPREAD: u32 = 2;

/// An estimated delay.
#[derive(Debug, Default)]
pub struct Delay {
    state: Mutex<Option<State>>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mean: Duration,
    deviation: Duration,
}

impl Delay {
    /// Adds a sample.
    pub fn record(&self, sample: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let known = state.unwrap_or(State {
            mean: sample,
            deviation: sample / SPREAD,
        });
        let smooth = |old: Duration, new: Duration| (old * (WEIGHT - 1) + new) / WEIGHT;
        *state = Some(State {
            mean: smooth(known.mean, sample),
            deviation: smooth(known.deviation, known.mean.abs_diff(sample)),
        });
    }

    /// What nearly all delays don't exceed; zero before the first sample.
    pub fn bound(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.map_or(Duration::ZERO, |s| s.mean + s.deviation * SPREAD)
    }
}
