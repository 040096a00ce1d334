//! Estimated latency of an upstream.

use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

/// Weight of a new sample in the estimate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a sample above the least latency of late in that latency.
const BASE_WEIGHT: f64 = 0.02;

/// Time in which what an estimate has beyond the least latency of late halves without new
/// samples, so that a straggler that has recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// An estimated latency, in nanoseconds; zero before the first sample.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    latency: f64,
    /// Least latency of late, to which the estimate falls without new samples.
    base: f64,
    sampled: Timestamp,
}

impl Estimate {
    /// An estimate without samples.
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            latency: 0.0,
            base: 0.0,
            sampled: now,
        }
    }

    /// The estimate at `now`.
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
        self.base = match self.base {
            0.0 => nanos,
            base => nanos.min(base + (nanos - base) * BASE_WEIGHT),
        };
        self.sampled = now;
    }

    fn nanos(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.sampled).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.base + (self.latency - self.base) * 0.5_f64.powf(idle)
    }
}
