//! Budgets for hedges and retries as a fraction of requests.
//!
//! Each first attempt adds a fraction of a token to a bucket, so the extra load never exceeds
//! the fraction, whatever fails. A new bucket may hold an advance on what its first requests
//! earn, and operators may allow some extra load beside the fraction, which flows in steadily.

use std::sync::{Mutex, MutexGuard, PoisonError};

use marigoldloom_runtime::time::Timestamp;

/// Tokens are counted in thousandths.
const UNIT: u64 = 1_000;

/// Microseconds in a second.
const MICROS: u64 = 1_000_000;

/// Fractions of requests, in thousandths, and the size of the buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Hedges per thousand first attempts.
    pub hedges: u64,
    /// Hedges and retries together per thousand first attempts.
    pub extra: u64,
    /// Most tokens saved up, which bounds a burst of extra attempts.
    pub burst: u64,
    /// Retries that a new budget allows in advance; the first requests earn no others until
    /// they have made up for these.
    pub advance: u64,
    /// Thousandths of an extra attempt that are allowed each second beside the fraction.
    pub steady: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            hedges: 50,
            extra: 100,
            burst: 200,
            // What 100 requests earn: an upstream may be lost right after the start.
            advance: 10,
            steady: 0,
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
    hedges: u64,
    extra: u64,
    /// Part of the advance that is not earned yet.
    owed: u64,
    /// Until when the steady inflow is counted.
    filled: Timestamp,
    spent: Spent,
}

/// Attempts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent {
    /// First attempts.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
}

impl Budget {
    /// Creates a budget that allows the advance and no hedge.
    pub fn new(now: Timestamp, limits: Limits) -> Self {
        let advance = limits.advance * UNIT;
        let tokens = Tokens {
            limits,
            hedges: 0,
            extra: advance,
            owed: advance,
            filled: now,
            spent: Spent::default(),
        };
        Self {
            tokens: Mutex::new(tokens),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tokens> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits. What is saved up stays as far as they allow.
    pub fn set_limits(&self, now: Timestamp, limits: Limits) {
        let mut tokens = self.lock();
        tokens.fill(now);
        tokens.limits = limits;
        tokens.add(0, 0);
    }

    /// Counts `attempts` first attempts.
    pub fn earn(&self, attempts: u64) {
        let mut tokens = self.lock();
        let earned = attempts * tokens.limits.extra;
        let repaid = earned.min(tokens.owed);
        tokens.owed -= repaid;
        let hedges = attempts * tokens.limits.hedges;
        tokens.add(hedges, earned - repaid);
        tokens.spent.first += attempts;
    }

    /// Takes a hedge, which also counts as an extra attempt. False if the budget is spent.
    pub fn take_hedge(&self, now: Timestamp) -> bool {
        let mut tokens = self.lock();
        tokens.fill(now);
        let granted = tokens.hedges >= UNIT && tokens.extra >= UNIT;
        if granted {
            tokens.hedges -= UNIT;
            tokens.extra -= UNIT;
            tokens.spent.hedges += 1;
        }
        granted
    }

    /// Takes `attempts` retries, all or none. False if the budget is spent.
    pub fn take_retries(&self, now: Timestamp, attempts: u64) -> bool {
        let mut tokens = self.lock();
        tokens.fill(now);
        let granted = tokens.extra >= attempts * UNIT;
        if granted {
            tokens.extra -= attempts * UNIT;
            tokens.spent.retries += attempts;
        }
        granted
    }

    /// Attempts counted since the start.
    pub fn spent(&self) -> Spent {
        self.lock().spent
    }
}

impl Tokens {
    /// Adds what flowed in since the last time. Hedges get their usual part of it.
    fn fill(&mut self, now: Timestamp) {
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let extra = self.limits.steady.saturating_mul(micros) / MICROS;
        // Less than a thousandth of a token is not lost: it stays in the time not counted yet.
        if extra > 0 {
            self.filled = now;
            self.add(extra * self.limits.hedges / self.limits.extra.max(1), extra);
        }
    }

    fn add(&mut self, hedges: u64, extra: u64) {
        let cap = self.limits.burst.max(self.limits.advance) * UNIT;
        self.hedges = self.hedges.saturating_add(hedges).min(cap);
        self.extra = self.extra.saturating_add(extra).min(cap);
    }
}
