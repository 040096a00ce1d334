//! Budgets for hedges and retries as a fraction of requests.
//!
//! A budget is a token bucket. Each first attempt adds a fraction of a token, and each hedge or
//! retry takes one, so in the long run the extra load stays within the fraction, whatever fails.
//! Saved tokens allow short bursts above it. A new bucket may start with tokens that its first
//! requests then make up for. Operators may also allow some extra load in addition to the
//! fraction, which refills the bucket at a constant rate.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigoldloom_runtime::time::Timestamp;

/// One token; tokens are counted in thousandths.
const TOKEN: u64 = 1_000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Refill rates and size of a budget's buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Hedges per thousand first attempts.
    pub hedges: u64,
    /// Hedges and retries together per thousand first attempts.
    pub extra: u64,
    /// Maximum number of whole tokens, which bounds a burst of extra attempts.
    pub burst: u64,
    /// Retries that a new budget allows before any first attempt. The first attempts add no
    /// tokens for retries until they have made up for these.
    pub initial_retries: u64,
    /// Constant refill in addition to the fraction, in thousandths of a token per second.
    pub refill_rate: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            hedges: 50,
            extra: 100,
            burst: 200,
            // As many as 100 requests earn: an upstream may be lost right after the start.
            initial_retries: 10,
            refill_rate: 0,
        }
    }
}

/// The budget of one service.
#[derive(Debug)]
pub struct Budget {
    tokens: Mutex<Tokens>,
}

#[derive(Clone, Copy, Debug)]
struct Tokens {
    limits: Limits,
    /// Thousandths of a token for hedges.
    hedges: u64,
    /// Thousandths of a token for all extra attempts, hedges included.
    extra: u64,
    /// Thousandths of the initial tokens that first attempts have not made up for yet.
    unearned: u64,
    /// Time up to which the constant refill has been added.
    refilled_at: Timestamp,
    attempts: Attempts,
}

/// Numbers of attempts since the budget was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Number of first attempts at a subquery.
    pub first: u64,
    /// Number of hedges that were granted.
    pub hedges: u64,
    /// Number of retries that were granted.
    pub retries: u64,
}

impl Budget {
    /// Creates a budget that allows the initial retries and no hedge.
    pub fn new(now: Timestamp, limits: Limits) -> Self {
        let initial = limits.initial_retries * TOKEN;
        let tokens = Tokens {
            limits,
            hedges: 0,
            extra: initial,
            unearned: initial,
            refilled_at: now,
            attempts: Attempts::default(),
        };
        Self {
            tokens: Mutex::new(tokens),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tokens> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits. Tokens above the new maximum are dropped.
    pub fn set_limits(&self, now: Timestamp, limits: Limits) {
        let mut tokens = self.lock();
        tokens.refill(now);
        tokens.limits = limits;
        tokens.add(0, 0);
    }

    /// Counts `attempts` first attempts and adds their tokens.
    pub fn add_first_attempts(&self, attempts: u64) {
        let mut tokens = self.lock();
        let earned = attempts * tokens.limits.extra;
        let made_up = earned.min(tokens.unearned);
        tokens.unearned -= made_up;
        let hedges = attempts * tokens.limits.hedges;
        tokens.add(hedges, earned - made_up);
        tokens.attempts.first += attempts;
    }

    /// Takes the tokens for a hedge, which also counts as an extra attempt. Returns false if the
    /// budget doesn't suffice.
    pub fn take_hedge(&self, now: Timestamp) -> bool {
        let mut tokens = self.lock();
        tokens.refill(now);
        let granted = tokens.hedges >= TOKEN && tokens.extra >= TOKEN;
        if granted {
            tokens.hedges -= TOKEN;
            tokens.extra -= TOKEN;
            tokens.attempts.hedges += 1;
        }
        granted
    }

    /// Takes the tokens for `attempts` retries, all or none. Returns false if the budget doesn't
    /// suffice.
    pub fn take_retries(&self, now: Timestamp, attempts: u64) -> bool {
        let mut tokens = self.lock();
        tokens.refill(now);
        let granted = tokens.extra >= attempts * TOKEN;
        if granted {
            tokens.extra -= attempts * TOKEN;
            tokens.attempts.retries += attempts;
        }
        granted
    }

    /// Returns the numbers of attempts since the budget was created.
    pub fn attempts(&self) -> Attempts {
        self.lock().attempts
    }
}

impl Tokens {
    /// Adds the constant refill since the last call. Hedges get the same part of it as of the
    /// fraction.
    fn refill(&mut self, now: Timestamp) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let extra = self.limits.refill_rate.saturating_mul(micros) / MICROS_PER_SECOND;
        // A time too short for a thousandth of a token is kept for a later call. Otherwise the
        // remainder below a thousandth is dropped.
        if extra > 0 {
            self.refilled_at = now;
            self.add(extra * self.limits.hedges / self.limits.extra.max(1), extra);
        }
    }

    fn add(&mut self, hedges: u64, extra: u64) {
        let cap = self.limits.burst.max(self.limits.initial_retries) * TOKEN;
        self.hedges = self.hedges.saturating_add(hedges).min(cap);
        self.extra = self.extra.saturating_add(extra).min(cap);
    }
}
