//! Adaptive limit on the number of running requests.
//!
//! Service times that grow with the number of running requests show that requests queue in the
//! upstreams. The limit grows while service times stay near their unloaded baseline and shrinks
//! when they exceed it. Probes measure the baseline again at intervals, at half the limit, because
//! otherwise a lasting overload would be taken for the normal state.

use std::time::Duration;

use marigoldloom_records::class;

use super::{Bounds, Outcome};

/// Mean ratio of service time to baseline above which the limit shrinks.
const MAX_RATIO: f64 = 1.5;

/// Share of overloaded requests above which the limit shrinks.
const MAX_OVERLOADED_SHARE: f64 = 0.1;

/// Relative growth of the limit in one window.
const GROWTH_RATE: f64 = 0.1;

/// Minimum factor on the limit in one window.
const MIN_SHRINK_FACTOR: f64 = 0.8;

/// Minimum number of requests in a window.
const MIN_WINDOW_SIZE: u32 = 16;

/// Windows between two probes.
const PROBE_PERIOD: u32 = 50;

/// Factor on the limit during a probe.
const PROBE_FACTOR: f64 = 0.5;

/// Windows at the reduced limit before the probe measures. In the first, the number of running
/// requests falls; in the second, those that began during the first end.
const SETTLE_WINDOWS: u32 = 2;

/// If service times at half the limit are below this fraction of those at the full limit, they are
/// nearly proportional to it: all requests queue, and the limit is far too high. It is then halved
/// and probed again.
const SATURATION_RATIO: f64 = 0.6;

/// Mean service times in seconds, by class.
type Means = [Option<f64>; class::Class::ALL.len()];

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: u32,
    seconds: f64,
}

impl Sum {
    fn mean(self) -> Option<f64> {
        (self.count > 0).then(|| self.seconds / f64::from(self.count))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    classes: [Sum; class::Class::ALL.len()],
    count: u32,
    overloaded: u32,
    /// Whether a request had to wait because of the limit.
    limit_reached: bool,
    /// Whether a request was refused because it couldn't finish in time.
    refused: bool,
}

impl Window {
    fn means(&self) -> Means {
        self.classes.map(Sum::mean)
    }

    /// Returns the ratio of the service times of all finished requests to the means in
    /// `reference`; 1 if none can be compared.
    fn ratio(&self, reference: &Means) -> f64 {
        let mut expected = 0.0;
        let mut actual = 0.0;
        for (mean, sum) in reference.iter().zip(self.classes) {
            expected += mean.unwrap_or(0.0) * f64::from(sum.count);
            actual += mean.map_or(0.0, |_| sum.seconds);
        }
        if expected > 0.0 {
            actual / expected
        } else {
            1.0
        }
    }
}

/// Combines the means of each class; a class that has only one mean keeps it.
fn merged(new: Means, old: Means, combine: fn(f64, f64) -> f64) -> Means {
    let mut result = old;
    for (result, new) in result.iter_mut().zip(new) {
        *result = match (new, *result) {
            (Some(new), Some(old)) => Some(combine(new, old)),
            (new, old) => new.or(old),
        };
    }
    result
}

/// Purpose of the current window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Adjusts the limit to the service times; counts windows since the last probe.
    Adjust(u32),
    /// Lets requests that began under the full limit end before measuring; counts windows left.
    Settle(u32),
    /// Measures the baseline at the reduced limit.
    Probe,
}

#[derive(Clone, Debug)]
pub(super) struct Limiter {
    bounds: Bounds,
    limit: f64,
    phase: Phase,
    baselines: Means,
    /// Mean service times at the full limit before a probe.
    full_means: Means,
    /// Whether requests were refused at the full limit before a probe.
    refused_before: bool,
    window: Window,
}

impl Limiter {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            limit: f64::from(bounds.initial),
            // The first probe starts after two windows, when requests have reached the limit.
            phase: Phase::Adjust(PROBE_PERIOD - 1),
            baselines: Means::default(),
            full_means: Means::default(),
            refused_before: false,
            window: Window::default(),
        }
    }

    pub(super) fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.clamp();
    }

    /// Returns how many requests may run concurrently.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit lies within bounds of type u32"
    )]
    pub(super) fn limit(&self) -> u32 {
        let factor = match self.phase {
            Phase::Adjust(_) => 1.0,
            Phase::Settle(_) | Phase::Probe => PROBE_FACTOR,
        };
        ((self.limit * factor) as u32).max(self.bounds.least)
    }

    /// Records that a request has to wait because of the limit.
    pub(super) const fn record_limit_reached(&mut self) {
        self.window.limit_reached = true;
    }

    /// Records that a request can't finish in time under the current limit. If a probe runs and no
    /// request was refused before it, the probe may be the cause and is cancelled. Returns
    /// whether a probe was cancelled.
    pub(super) fn record_refusal(&mut self) -> bool {
        let probing = matches!(self.phase, Phase::Settle(_) | Phase::Probe);
        if probing && !self.refused_before {
            self.window = Window::default();
            self.phase = Phase::Adjust(0);
            return true;
        }
        self.window.refused = true;
        false
    }

    /// Records a request that ended.
    pub(super) fn observe(&mut self, class: class::Class, time: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Finished => {
                let sum = &mut self.window.classes[class as usize];
                sum.count += 1;
                sum.seconds += time.as_secs_f64();
            }
            Outcome::Overloaded => self.window.overloaded += 1,
            Outcome::Abandoned => return,
        }
        self.window.count += 1;
        if self.window.count >= self.limit().max(MIN_WINDOW_SIZE) {
            self.close_window();
        }
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        self.phase = match self.phase {
            Phase::Adjust(PROBE_PERIOD) => {
                self.full_means = window.means();
                self.refused_before = window.refused;
                Phase::Settle(SETTLE_WINDOWS)
            }
            Phase::Adjust(count) => {
                self.baselines = merged(window.means(), self.baselines, f64::min);
                self.adjust(&window);
                Phase::Adjust(count + 1)
            }
            Phase::Settle(1) => Phase::Probe,
            Phase::Settle(left) => Phase::Settle(left - 1),
            Phase::Probe => self.end_probe(&window),
        };
    }

    fn end_probe(&mut self, window: &Window) -> Phase {
        let means = window.means();
        let saturated = window.ratio(&self.full_means) < SATURATION_RATIO;
        self.baselines = merged(means, self.baselines, |new, _| new);
        if saturated && self.limit > f64::from(self.bounds.least) {
            self.full_means = means;
            self.refused_before = window.refused;
            self.limit *= PROBE_FACTOR;
            self.clamp();
            return Phase::Settle(SETTLE_WINDOWS);
        }
        Phase::Adjust(0)
    }

    fn adjust(&mut self, window: &Window) {
        let overloaded = f64::from(window.overloaded) / f64::from(window.count);
        let ratio = window.ratio(&self.baselines);
        match () {
            () if overloaded > MAX_OVERLOADED_SHARE => self.limit *= MIN_SHRINK_FACTOR,
            () if ratio > MAX_RATIO => self.limit *= (MAX_RATIO / ratio).max(MIN_SHRINK_FACTOR),
            () if window.limit_reached => self.limit += (self.limit * GROWTH_RATE).max(1.0),
            () => (),
        }
        self.clamp();
    }

    fn clamp(&mut self) {
        let least = f64::from(self.bounds.least);
        let most = f64::from(self.bounds.most).max(least);
        self.limit = self.limit.clamp(least, most);
    }
}
