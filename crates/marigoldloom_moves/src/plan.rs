//! Plan of a move that has seconds to complete.
//!
//! A fault may show only at the load that the version carries after the move. Shortly before the end
//! of the window the new version therefore gets all first attempts for a moment, while the old
//! replicas still serve retries and can take everything back. The move is complete only if the
//! replies of that moment prove the version. All instances follow the same plan, so the bound on what
//! a bad version gets holds in sum without a count over all instances.

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

/// Share of the requests that the new version gets before the load test, as a part of the bound.
const TRIAL_PART: f64 = 0.15;

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
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    window: Duration,
    exposure: Exposure,
    /// Start of the load test; `None` until the rate of the service is known.
    load_start: Option<Duration>,
}

impl Plan {
    pub(crate) fn new(window: Duration, exposure: Exposure) -> Self {
        Self {
            window: window.max(MIN_WINDOW),
            exposure,
            load_start: None,
        }
    }

    /// Sets the length of the load test by the service's rate, in requests per second. It is fixed
    /// once the test has begun.
    pub(crate) fn set_rate(&mut self, elapsed: Duration, rate: f64) {
        let begun = self.load_start.is_some_and(|start| elapsed >= start);
        if !begun && rate > 0.0 {
            self.load_start = Some(self.load_end().saturating_sub(self.load_time(rate)));
        }
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
            _ if elapsed >= self.load_end() => Stage::Verdict,
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
