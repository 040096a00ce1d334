//! Estimate of service times by their moving average and deviation.

use std::time::Duration;

/// Inverse of a new sample's weight in the mean (RFC 6298).
const MEAN_GAIN: u32 = 8;

/// Inverse of a new sample's weight in the deviation (RFC 6298).
const DEVIATION_GAIN: u32 = 4;

/// Number of deviations above the mean that nearly all requests stay under.
const UPPER_DEVIATIONS: u32 = 3;

/// Moving averages of the service time and of its deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Mean and deviation; none before the first sample.
    value: Option<(Duration, Duration)>,
}

impl Estimate {
    pub(super) fn observe(&mut self, sample: Duration) {
        self.value = Some(match self.value {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                let error = mean.abs_diff(sample);
                let deviation = smoothed(deviation, error, DEVIATION_GAIN);
                (smoothed(mean, sample, MEAN_GAIN), deviation)
            }
        });
    }

    /// Returns the mean; zero before the first sample.
    pub(super) fn mean(&self) -> Duration {
        self.value.map_or(Duration::ZERO, |(mean, _)| mean)
    }

    /// Returns a time that nearly all requests stay under; zero before the first sample.
    pub(super) fn upper(&self) -> Duration {
        let upper = |(mean, deviation)| mean + deviation * UPPER_DEVIATIONS;
        self.value.map_or(Duration::ZERO, upper)
    }
}

fn smoothed(old: Duration, sample: Duration, gain: u32) -> Duration {
    old - old / gain + sample / gain
}
