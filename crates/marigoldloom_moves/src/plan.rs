//! Plan of a move that has seconds to complete.
//!
//! A fault may show only at the load that the version carries after the move. Shortly before the end
//! of the window the new version therefore gets all first attempts for a moment, while the old
//! replicas still serve retries and can take everything back. The move is complete only if the
//! replies of that moment prove the version. All instances follow the same plan, which is sized by the
//! service's rate so far. If the rate rises meanwhile, the test ends as soon as the instances' reports
//! show that the bound is near.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::share::{self, Step};

/// Time before the end of the window at which all requests go to a proven version.
const SWITCH_MARGIN: Duration = Duration::from_millis(700);

/// Time between the end of the load test and the switch, in which its last replies arrive and the
/// instances learn of each other's evidence.
const VERDICT_TIME: Duration = Duration::from_millis(700);

/// Shortest window that leaves time for a trial; a shorter one counts as this one.
const MIN_WINDOW: Duration = Duration::from_secs(2);

/// Longest load test, as a part of the window.
const MAX_LOAD_PART: f64 = 0.35;

/// Part of the bound that the plan uses. The rest allows for the randomness of the choice by hash
/// and for a rate that grows.
const PLANNED_PART: f64 = 0.9;

/// Part of the additional requests that the plan uses. The rate behind it is an estimate.
const PLANNED_REQUESTS: f64 = 0.9;

/// Part of the bound that may be used according to the instances' reports while the rate is as planned.
const COUNTED_PART: f64 = 0.96;

/// Ratio of the rate during the load test to the mean one from which the plan doesn't hold.
const MIN_RISE: f64 = 1.5;

/// Share of the requests that the new version gets before the load test, as a part of the bound.
const TRIAL_PART: f64 = 0.15;

/// Time from the start of the load test in which reports of the time before it may still arrive.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Time over which the rate during the load test is measured.
const RATE_TIME: Duration = Duration::from_millis(300);

/// Requests to a service since the start of a move, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Traffic {
    /// Mean number of requests per second.
    pub(crate) rate: f64,
    /// Attempts at both versions.
    pub(crate) all: f64,
    /// Attempts at the new version.
    pub(crate) new: f64,
}

/// Largest number of requests that a bad version may get in the window of a move, over all
/// instances.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Exposure {
    /// Part of the service's requests.
    pub share: f64,
    /// Requests in addition to that part.
    pub requests: f64,
}

/// What happens at a moment of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The new version gets a small share.
    Trial,
    /// It gets all first attempts.
    LoadTest,
    /// It gets a small share again until all instances know what the load test has shown.
    Verdict,
    /// All requests go to it if it is proven.
    Switch,
}

impl Stage {
    /// Returns the step under which replies are counted. Those that arrive after the load test
    /// belong to it.
    pub(crate) const fn step(self) -> Step {
        match self {
            Self::Trial => Step::Five,
            Self::LoadTest | Self::Verdict | Self::Switch => Step::Full,
        }
    }
}

/// Stages of one move.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    window: Duration,
    exposure: Exposure,
    /// Start of the load test; `None` until the rate of the service is known.
    load_start: Option<Duration>,
    /// When the load test was ended before its time because the bound was near.
    cut_at: Option<Duration>,
    /// [`Traffic::all`] at recent moments of the load test, oldest first.
    samples: VecDeque<(Duration, f64)>,
}

impl Plan {
    pub(crate) fn new(window: Duration, exposure: Exposure) -> Self {
        Self {
            window: window.max(MIN_WINDOW),
            exposure,
            load_start: None,
            cut_at: None,
            samples: VecDeque::new(),
        }
    }

    /// Sets the length of the load test by the service's rate. Once the test has begun, it only ends
    /// it if the bound is near.
    pub(crate) fn set_traffic(&mut self, elapsed: Duration, traffic: Traffic) {
        match self.load_start {
            Some(start) if elapsed >= start => {
                if elapsed >= start + REPORT_TIME {
                    self.samples.push_back((elapsed, traffic.all));
                }
                let recent = self.recent_rate();
                let limit = match recent > traffic.rate * MIN_RISE {
                    true => self.allowed(elapsed, recent, traffic.all, PLANNED_PART),
                    false => self.allowed(elapsed, traffic.rate, traffic.all, COUNTED_PART),
                };
                if traffic.new >= limit {
                    self.cut_at.get_or_insert(elapsed);
                }
            }
            _ if traffic.rate > 0.0 => {
                let time = self.load_time(traffic.rate);
                self.load_start = Some(self.load_end().saturating_sub(time));
            }
            _ => {}
        }
    }

    /// Returns the rate over the last [`RATE_TIME`] of the load test; 0 if it isn't known yet.
    fn recent_rate(&mut self) -> f64 {
        let Some(&(last, all)) = self.samples.back() else {
            return 0.0;
        };
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| *at + RATE_TIME <= last)
        {
            self.samples.pop_front();
        }
        match self.samples.front() {
            Some((at, before)) if *at + RATE_TIME <= last => {
                (all - before) / (last - *at).as_secs_f64()
            }
            _ => 0.0,
        }
    }

    /// Returns how many requests the new version may have got until the end of the load test if the
    /// service has got `all` so far.
    /// `part` of the bound is used.
    fn allowed(&self, elapsed: Duration, rate: f64, all: f64, part: f64) -> f64 {
        let left = self.window.saturating_sub(elapsed).as_secs_f64();
        let Exposure { share, requests } = self.exposure;
        part * (share * (all + rate * left) + requests) - rate * SWITCH_MARGIN.as_secs_f64()
    }

    /// Returns how long the new version may get all requests of the service in addition to the trial
    /// and to the time after the switch.
    fn load_time(&self, rate: f64) -> Duration {
        let window = self.window.as_secs_f64();
        let Exposure { share, requests } = self.exposure;
        let allowed = share * PLANNED_PART * window + requests * PLANNED_REQUESTS / rate;
        let others = share * TRIAL_PART * window + SWITCH_MARGIN.as_secs_f64();
        // A service with few requests needs no more of them than a verdict takes.
        let enough = share::MIN_EVIDENCE_REQUESTS as f64 * 4.0 / rate;
        let longest = (window * MAX_LOAD_PART).min(enough.max(1.0));
        Duration::from_secs_f64((allowed - others).clamp(0.0, longest))
    }

    fn load_end(&self) -> Duration {
        self.switch_at().saturating_sub(VERDICT_TIME)
    }

    /// Returns the time from the start of the window to the switch.
    pub(crate) fn switch_at(&self) -> Duration {
        self.window.saturating_sub(SWITCH_MARGIN)
    }

    /// Returns the length of the window.
    pub(crate) const fn window(&self) -> Duration {
        self.window
    }

    pub(crate) fn stage(&self, elapsed: Duration) -> Stage {
        match self.load_start {
            _ if elapsed >= self.switch_at() => Stage::Switch,
            _ if elapsed >= self.load_end() || self.cut_at.is_some() => Stage::Verdict,
            Some(start) if elapsed >= start => Stage::LoadTest,
            _ => Stage::Trial,
        }
    }

    /// Returns the share of the requests that go to the new version before the switch, in
    /// thousandths.
    pub(crate) fn trial_share(&self) -> u64 {
        (self.exposure.share * TRIAL_PART * 1_000.0) as u64
    }
}
