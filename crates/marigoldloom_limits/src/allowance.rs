//! The extra attempts that operators allow at a service, divided among the instances that send to
//! it. Extra attempts are retries and hedges.

use std::time::Duration;

use crate::budget;

/// Part of the allowed share that extra attempts may use, in percent. The rest is a reserve for
/// requests that arrive twice because their caller repeats them, and for windows whose first second
/// has no requests.
const EXTRA_PERCENT: u64 = 75;

/// Part of the allowed share that hedges may use, in percent. What extra attempts may use beyond
/// it is left for retries.
const HEDGE_PERCENT: u64 = 65;

/// Part of the fixed allowance that all regular senders of a service may use together, in percent.
const REGULAR_PERCENT: f64 = 60.0;

/// Part of the fixed allowance that all other instances may use together, in percent. They send
/// only while no regular sender takes their requests.
const OTHER_PERCENT: f64 = 15.0;

/// Part of a sender's fixed allowance that may accumulate for a burst, in percent.
const BURST_PERCENT: f64 = 65.0;

/// Extra attempts that operators allow at one service in each window, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Extra attempts per first attempt.
    pub share: f64,
    /// Extra attempts in each window in addition to the share.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The role in which an instance sends to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// One of this many instances that send regularly.
    Regular(u32),
    /// One of this many instances that send only when no regular sender takes their requests.
    Other(u32),
}

impl Sender {
    /// Returns this instance's part of `total`, of which `regular_percent` is divided among
    /// the regular senders and `other_percent` among the others.
    pub fn part_of(self, total: f64, regular_percent: f64, other_percent: f64) -> f64 {
        let (percent, count) = match self {
            Self::Regular(count) => (regular_percent, count),
            Self::Other(count) => (other_percent, count),
        };
        total * percent / 100.0 / f64::from(count.max(1))
    }
}

impl Allowance {
    /// Returns the budget limits of one sender. The burst is at least one attempt, because a
    /// smaller one would never allow any. With many senders, these minimum bursts together may
    /// exceed the allowance.
    pub fn limits(&self, sender: Sender) -> budget::Limits {
        let share_thousandths = (self.share * 1_000.0) as u64;
        let fixed = sender.part_of(self.fixed, REGULAR_PERCENT, OTHER_PERCENT);
        let burst = (fixed * BURST_PERCENT / 100.0).floor().max(1.0);
        let refill_rate = (fixed - burst).max(0.0) / self.window.as_secs_f64().max(1.0);
        budget::Limits {
            hedges: share_thousandths * HEDGE_PERCENT / 100,
            extra: share_thousandths * EXTRA_PERCENT / 100,
            burst: burst as u64,
            initial_retries: 0,
            refill_rate: (refill_rate * 1_000.0) as u64,
        }
    }
}
