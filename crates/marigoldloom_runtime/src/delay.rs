//! Estimates a delay and its deviation from samples, with exponential smoothing.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Inverse of a new sample's weight; 8 is also the value of TCP's round-trip time estimate.
const SMOOTHING: u32 = 8;

/// Deviations above the mean that nearly all delays stay within.
const BOUND_DEVIATIONS: u32 = 2;

/// Smoothed mean and deviation of a delay.
#[derive(Debug, Default)]
pub struct DelayEstimate {
    state: Mutex<Option<State>>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mean: Duration,
    deviation: Duration,
}

impl DelayEstimate {
    /// Adds a sample to the estimate.
    pub fn record(&self, sample: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = state.unwrap_or(State {
            mean: sample,
            deviation: sample / BOUND_DEVIATIONS,
        });
        let smooth = |old: Duration, new: Duration| (old * (SMOOTHING - 1) + new) / SMOOTHING;
        *state = Some(State {
            mean: smooth(previous.mean, sample),
            deviation: smooth(previous.deviation, previous.mean.abs_diff(sample)),
        });
    }

    /// Returns the upper bound of nearly all delays; zero before the first sample.
    pub fn upper_bound(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.map_or(Duration::ZERO, |s| s.mean + s.deviation * BOUND_DEVIATIONS)
    }
}
