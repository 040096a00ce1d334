//! Latency estimate of an upstream.

use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight with which a sample above the recent minimum raises that minimum.
const RECENT_MIN_GAIN: f64 = 0.02;

/// Time in which the estimate's excess over the recent minimum halves while no samples
/// arrive, so that a slow upstream that has recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A moving average of latencies; zero before the first sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Average in nanoseconds at the time of the latest sample.
    latency: f64,
    /// Recent minimum in nanoseconds, to which the estimate decays without new samples.
    recent_min: f64,
    sampled_at: Timestamp,
}

impl Estimate {
    /// Creates an estimate without samples.
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            latency: 0.0,
            recent_min: 0.0,
            sampled_at: now,
        }
    }

    /// Returns the estimate at `now`.
    pub(super) fn at(&self, now: Timestamp) -> Duration {
        Duration::from_nanos(self.nanos(now) as u64)
    }

    /// Adds a sample.
    pub(super) fn sample(&mut self, now: Timestamp, latency: Duration) {
        let nanos = latency.as_nanos() as f64;
        self.latency = match self.latency {
            0.0 => nanos,
            _ => self.nanos(now) * (1.0 - SAMPLE_WEIGHT) + nanos * SAMPLE_WEIGHT,
        };
        self.recent_min = match self.recent_min {
            0.0 => nanos,
            recent_min => nanos.min(recent_min + (nanos - recent_min) * RECENT_MIN_GAIN),
        };
        self.sampled_at = now;
    }

    fn nanos(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.recent_min + (self.latency - self.recent_min) * 0.5_f64.powf(idle)
    }
}
