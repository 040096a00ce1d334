//! What operators allow beside first attempts at a service, divided among its senders.

use std::time::Duration;

use crate::budget;

/// Part of the allowed share of requests that extra attempts use, in percent. The rest covers
/// the repeats of callers that arrive twice and windows that begin with an idle second.
const SHARE_PART: u64 = 75;

/// Part of the allowed share of requests that hedges may use, in percent; retries keep the rest.
const HEDGE_PART: u64 = 65;

/// Part of the fixed allowance that the regular senders of a service use together, in percent.
const SENDERS_PART: f64 = 60.0;

/// Part of the fixed allowance that all other instances use together while they send because no
/// regular sender takes their requests, in percent.
const OTHERS_PART: f64 = 15.0;

/// Part of a sender's fixed allowance that may be saved up for a burst, in percent.
const SAVED_PART: f64 = 65.0;

/// Extra attempts that operators allow at one service, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// As a share of first attempts.
    pub share: f64,
    /// In each window beside the share.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How an instance sends to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// One of so many that send regularly.
    Regular(u32),
    /// One of so many that send only when no regular sender takes their requests.
    Other(u32),
}

impl Sender {
    /// This instance's part of what `regular` percent of `total` is for the regular senders
    /// and `other` percent for the others.
    pub fn part(self, total: f64, regular: f64, other: f64) -> f64 {
        let (percent, count) = match self {
            Self::Regular(count) => (regular, count),
            Self::Other(count) => (other, count),
        };
        total * percent / 100.0 / f64::from(count.max(1))
    }
}

impl Allowance {
    /// The budget of one sender. At least one attempt can be saved up, because a budget below
    /// one would never allow any.
    pub fn limits(&self, sender: Sender) -> budget::Limits {
        let share = (self.share * 1_000.0) as u64;
        let fixed = sender.part(self.fixed, SENDERS_PART, OTHERS_PART);
        let saved = (fixed * SAVED_PART / 100.0).floor().max(1.0);
        let inflow = (fixed - saved).max(0.0) / self.window.as_secs_f64().max(1.0);
        budget::Limits {
            hedges: share * HEDGE_PART / 100,
            extra: share * SHARE_PART / 100,
            burst: saved as u64,
            advance: 0,
            steady: (inflow * 1_000.0) as u64,
        }
    }
}
