//! Sequential comparison of two versions by their failures and slow replies.
//!
//! A sequential probability ratio test accepts the new version, see [`Proof`]. The new version
//! is at fault if two conditions hold together:
//!
//! - A CUSUM of the log-likelihood ratio of "worse than the old version was recently, by a margin"
//!   against "as good" reaches [`ALARM_THRESHOLD`]. The sum never falls below zero, so a good start
//!   doesn't hide a fault that begins later. For a good version and a known baseline the mean
//!   number of requests between alarms is at least `exp(`[`ALARM_THRESHOLD`]`)`, about 440,000, per
//!   route and statistic (Lorden's bound).
//! - The two versions differ at the same steps since the sum was last zero, so that a common cause
//!   is excluded ([`DIFFERENCE_THRESHOLD`]).
//!
//! While only the first condition holds, the new version is suspect.

use std::collections::BTreeMap;

use derive_more::derive;
use serde::{Deserialize, Serialize};

use crate::evidence::{CounterPair, Counters};
use crate::share;

/// Sum of log-likelihood ratios from which the new version is suspect.
pub const ALARM_THRESHOLD: f64 = 13.0;

/// Upper bound of the sum, so that a version that isn't at fault soon stops being suspect.
const SUM_LIMIT: f64 = 17.0;

/// Log-likelihood ratio of "different rates" against "the same rate" from which a common cause is
/// excluded.
///
/// By chance alone the new version reaches it in about 1 of 50,000 comparisons with a small
/// control group. It reached 6.0 in 3 of 50 simulated moves in which both versions became slow at
/// the last step.
pub const DIFFERENCE_THRESHOLD: f64 = 11.0;

/// Maximum probability of accepting a version that is worse by the margin, in one test.
pub const FALSE_ACCEPT_RATE: f64 = 0.01;

/// Minimum number of requests to the new version for a proof.
pub const MIN_PROOF_REQUESTS: u64 = 60;

/// Upper bound of the sums of a proof.
///
/// Without it, a few failures by chance or during a disturbance of both versions weighed on the
/// rest of the move and held 5 of 300 good versions at a small share for too long.
const PROOF_SUM_LIMIT: f64 = 0.0;

/// Minimum number of recent requests to the old version for a proof, weighted by age.
pub const MIN_BASELINE_REQUESTS: f64 = 20.0;

/// Margins by which a proof excludes that the new version is worse.
const PROOF_MARGINS: Margins = Margins {
    failures: Margin {
        floor: 0.005,
        excess: 0.03,
    },
    slow: Margin {
        floor: 0.05,
        excess: 0.2,
    },
};

/// Small margins of the alarm.
///
/// At a share of 5% a version that fails under load shows only about 3% of failures. The sum must
/// grow at that rate, which is too low for the margin of the proof.
const SMALL_MARGINS: Margins = Margins {
    failures: Margin {
        floor: 0.003,
        excess: 0.02,
    },
    slow: PROOF_MARGINS.slow,
};

/// Large margins of the alarm.
///
/// At a share of 1% a few requests must suffice, also if the old version has a high rate. The sum
/// for a small margin grows too slowly for that.
const LARGE_MARGINS: Margins = Margins {
    failures: Margin {
        floor: 0.003,
        excess: 0.2,
    },
    slow: Margin {
        floor: 0.05,
        excess: 0.5,
    },
};

/// Margins by which a load test excludes that the new version is worse. They are wide because the
/// test has to end within some tens of requests.
const LOAD_MARGINS: Margins = Margins {
    failures: Margin {
        floor: 0.005,
        excess: 0.2,
    },
    slow: Margin {
        floor: 0.05,
        excess: 0.4,
    },
};

/// Number of standard deviations added to the old version's rate in a proof.
const PROOF_SIGMAS: f64 = 2.0;

/// Number of standard deviations added to the old version's rate in the sums of the alarm.
const ALARM_SIGMAS: f64 = 1.0;

/// Maximum rate of a worse version; the test gives no evidence if its rate would be above it.
const RATE_LIMIT: f64 = 0.99;

/// Factor that the old version's counters are multiplied by at each update.
///
/// With one update per second, half of the weight lies in the last 30 s.
const DECAY_FACTOR: f64 = 0.977;

#[derive(Clone, Copy)]
struct Margins {
    failures: Margin,
    slow: Margin,
}

/// By how much a worse version exceeds the baseline.
#[derive(Clone, Copy)]
struct Margin {
    /// Minimum baseline rate; a lower rate of the old version is raised to it.
    floor: f64,
    /// Minimum by which a worse version's rate exceeds the baseline.
    excess: f64,
}

/// In what way the new version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// More requests fail than with the old version.
    #[display("the new version fails more often than the old one")]
    Failing,
    /// More replies are slow than with the old version.
    #[display("the new version is slow more often than the old one")]
    Slow,
}

/// Requests and bad results among them; fractional because older counts have less weight.
#[derive(Clone, Copy, Debug, Default)]
#[derive(derive::Add)]
struct Sample {
    requests: f64,
    bad: f64,
}

/// Samples of both versions at the same time and step.
#[derive(Clone, Copy, Debug, Default)]
#[derive(derive::Add)]
struct SamplePair {
    new: Sample,
    old: Sample,
}

/// Log-likelihood ratios for both margins; negative if they favour the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(derive::Add)]
pub struct LogRatio {
    /// For the small margin.
    pub small: f64,
    /// For the large margin.
    pub large: f64,
}

/// Log-likelihood ratios against the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(derive::Add)]
pub struct LogRatios {
    /// From failures.
    pub failures: LogRatio,
    /// From slow replies.
    pub slow: LogRatio,
}

/// Recent results of the old version on one route, weighted by age.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    failures: Sample,
    slow: Sample,
}

/// A sequential probability ratio test of "worse by a margin" against "as good".
///
/// Each update is compared with the baseline at that time. An acceptance is final.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    failures: f64,
    slow: f64,
    new: u64,
    old: u64,
    accepted: bool,
}

/// A probability ratio test of the replies of a load test, summed over all routes. Each route is
/// compared with its own baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadProof {
    failures: f64,
    slow: f64,
    /// Part of `slow` from attempts that haven't ended.
    pending: f64,
    requests: u64,
}

/// CUSUMs of failures and slow replies, for both margins.
#[derive(Clone, Debug, Default)]
pub struct Cusum {
    failures: Sums,
    slow: Sums,
}

#[derive(Clone, Debug, Default)]
struct Sums {
    small: Sum,
    large: Sum,
}

/// A sum that never falls below zero, with the samples since it was last zero.
#[derive(Clone, Debug, Default)]
struct Sum {
    value: f64,
    pairs: BTreeMap<share::Step, SamplePair>,
}

impl Baseline {
    /// Adds the old version's requests since the last update.
    pub fn update(&mut self, old: &Counters) {
        self.failures = self.failures.decay() + failure_sample(old);
        self.slow = self.slow.decay() + slow_sample(old);
    }

    /// Compares the new version's requests since the last update with the baseline.
    pub fn compare(&self, new: &Counters) -> LogRatios {
        let failure_rate = upper_rate(self.failures, ALARM_SIGMAS);
        let slow_rate = upper_rate(self.slow, ALARM_SIGMAS);
        LogRatios {
            failures: LogRatio {
                small: log_ratio(failure_sample(new), failure_rate, SMALL_MARGINS.failures),
                large: log_ratio(failure_sample(new), failure_rate, LARGE_MARGINS.failures),
            },
            slow: LogRatio {
                small: log_ratio(slow_sample(new), slow_rate, SMALL_MARGINS.slow),
                large: log_ratio(slow_sample(new), slow_rate, LARGE_MARGINS.slow),
            },
        }
    }
}

impl Proof {
    /// Adds the requests since the last update. `baseline` must already include them.
    pub fn add(&mut self, increase: &CounterPair, baseline: &Baseline) {
        self.new += increase.new.requests;
        self.old += increase.old.requests;
        let failure_rate = upper_rate(baseline.failures, PROOF_SIGMAS);
        let slow_rate = upper_rate(baseline.slow, PROOF_SIGMAS);
        let failures = log_ratio(
            failure_sample(&increase.new),
            failure_rate,
            PROOF_MARGINS.failures,
        );
        let slow = log_ratio(slow_sample(&increase.new), slow_rate, PROOF_MARGINS.slow);
        self.failures = (self.failures + failures).min(PROOF_SUM_LIMIT);
        self.slow = (self.slow + slow).min(PROOF_SUM_LIMIT);
        let accepted = self.failures.max(self.slow) <= FALSE_ACCEPT_RATE.ln();
        let enough_baseline = baseline.failures.requests >= MIN_BASELINE_REQUESTS;
        self.accepted |= accepted && enough_baseline && self.new >= MIN_PROOF_REQUESTS;
    }

    /// Returns whether the new version is proven not to be worse by the margins.
    pub const fn is_accepted(&self) -> bool {
        self.accepted
    }

    /// Returns the number of requests to both versions.
    pub const fn requests(&self) -> u64 {
        self.new + self.old
    }
}

impl LoadProof {
    /// Adds replies of the new version on one route.
    pub fn add(&mut self, new: &Counters, baseline: &Baseline) {
        let failure_rate = upper_rate(baseline.failures, ALARM_SIGMAS);
        let slow_rate = upper_rate(baseline.slow, ALARM_SIGMAS);
        self.requests += new.requests;
        self.failures += log_ratio(failure_sample(new), failure_rate, LOAD_MARGINS.failures);
        self.slow += log_ratio(slow_sample(new), slow_rate, LOAD_MARGINS.slow);
    }

    /// Forgets the pending attempts, before those of the current evidence are added.
    pub const fn clear_pending(&mut self) {
        self.pending = 0.0;
    }

    /// Counts attempts on one route that haven't ended as slow. Only the fast replies of a slow
    /// version arrive in time.
    pub fn add_pending(&mut self, new: &Counters, baseline: &Baseline) {
        let requests = new.pending() as f64;
        let sample = Sample {
            requests,
            bad: requests,
        };
        let rate = upper_rate(baseline.slow, ALARM_SIGMAS);
        self.pending += log_ratio(sample, rate, LOAD_MARGINS.slow);
    }

    /// Returns whether enough replies have arrived for a verdict.
    pub const fn is_conclusive(&self) -> bool {
        self.requests >= share::MIN_EVIDENCE_REQUESTS
    }

    /// Returns whether enough replies show that the new version isn't worse by the margins.
    pub fn is_accepted(&self) -> bool {
        let worst = self.failures.max(self.slow + self.pending);
        self.is_conclusive() && worst <= FALSE_ACCEPT_RATE.ln()
    }
}

impl Cusum {
    /// Adds the log-likelihood ratios of one update and the requests behind them, by step.
    pub fn add(&mut self, ratios: LogRatios, increase: &BTreeMap<share::Step, CounterPair>) {
        self.failures.add(ratios.failures, increase, failure_sample);
        self.slow.add(ratios.slow, increase, slow_sample);
    }

    /// Returns the fault of the new version if both conditions hold.
    pub fn alarm(&self) -> Option<Fault> {
        match () {
            () if self.failures.is_conclusive() => Some(Fault::Failing),
            () if self.slow.is_conclusive() => Some(Fault::Slow),
            () => None,
        }
    }

    /// Returns whether the new version is worse than the old one was recently, whatever the cause.
    pub fn is_suspect(&self) -> bool {
        self.failures.is_suspect() || self.slow.is_suspect()
    }
}

impl Sums {
    fn add(
        &mut self,
        ratio: LogRatio,
        increase: &BTreeMap<share::Step, CounterPair>,
        sample: fn(&Counters) -> Sample,
    ) {
        self.small.add(ratio.small, increase, sample);
        self.large.add(ratio.large, increase, sample);
    }

    fn is_suspect(&self) -> bool {
        self.small.is_suspect() || self.large.is_suspect()
    }

    fn is_conclusive(&self) -> bool {
        self.small.is_conclusive() || self.large.is_conclusive()
    }
}

impl Sum {
    fn add(
        &mut self,
        ratio: f64,
        increase: &BTreeMap<share::Step, CounterPair>,
        sample: fn(&Counters) -> Sample,
    ) {
        self.value = (self.value + ratio).clamp(0.0, SUM_LIMIT);
        if self.value <= 0.0 {
            self.pairs.clear();
            return;
        }
        for (&step, counters) in increase {
            let pair = self.pairs.entry(step).or_default();
            let (new, old) = (sample(&counters.new), sample(&counters.old));
            *pair = *pair + SamplePair { new, old };
        }
    }

    fn is_suspect(&self) -> bool {
        self.value >= ALARM_THRESHOLD
    }

    fn is_conclusive(&self) -> bool {
        let ratio: f64 = self.pairs.values().map(SamplePair::ratio).sum();
        self.is_suspect() && ratio >= DIFFERENCE_THRESHOLD
    }
}

impl SamplePair {
    /// Log-likelihood ratio of "different rates" against "the same rate"; negative if the new
    /// version is better.
    fn ratio(&self) -> f64 {
        let (new, old) = (self.new, self.old);
        let common = (new + old).rate();
        let ratio = new.requests * divergence(new.rate(), common)
            + old.requests * divergence(old.rate(), common);
        if new.rate() >= old.rate() {
            ratio
        } else {
            -ratio
        }
    }
}

impl Sample {
    fn decay(self) -> Self {
        Self {
            requests: self.requests * DECAY_FACTOR,
            bad: self.bad * DECAY_FACTOR,
        }
    }

    fn rate(self) -> f64 {
        self.bad / self.requests.max(1.0)
    }
}

/// Kullback-Leibler divergence of `rate` from `reference`.
fn divergence(rate: f64, reference: f64) -> f64 {
    let term = |a: f64, b: f64| if a > 0.0 { a * (a / b).ln() } else { 0.0 };
    term(rate, reference) + term(1.0 - rate, 1.0 - reference)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
const fn failure_sample(counters: &Counters) -> Sample {
    Sample {
        requests: counters.requests as f64,
        bad: counters.failures as f64,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
const fn slow_sample(counters: &Counters) -> Sample {
    Sample {
        requests: counters.timed as f64,
        bad: counters.slow as f64,
    }
}

/// Upper estimate of the true rate. With few requests it is high, so that the test gives no
/// evidence.
fn upper_rate(sample: Sample, sigmas: f64) -> f64 {
    (sample.bad + sigmas * sample.bad.sqrt() + 1.0) / (sample.requests + 1.0)
}

/// Log-likelihood ratio of "worse by the margin" against "as good as the baseline".
fn log_ratio(new: Sample, baseline_rate: f64, margin: Margin) -> f64 {
    let good_rate = baseline_rate.max(margin.floor);
    let bad_rate = good_rate + margin.excess.max(good_rate);
    if bad_rate > RATE_LIMIT {
        return 0.0;
    }
    let good = new.requests - new.bad;
    new.bad * (bad_rate / good_rate).ln() + good * ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
}
