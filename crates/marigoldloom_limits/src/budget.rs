//! Budgets for hedges and retries as a fraction of requests.
//!
//! Each first attempt adds a fraction of a token to a bucket, so the extra load never exceeds
//! the fraction, whatever fails. A new bucket may hold an advance on what its first requests
//! earn.

use std::sync::{Mutex, PoisonError};

/// Tokens are counted in thousandths.
const UNIT: u64 = 1_000;

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
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            hedges: 50,
            extra: 100,
            burst: 200,
            // What 100 requests earn: an upstream may be lost right after the start.
            advance: 10,
        }
    }
}

/// The budget of one service.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    tokens: Mutex<Tokens>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tokens {
    hedges: u64,
    extra: u64,
    /// Part of the advance that is not earned yet.
    owed: u64,
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
    pub fn new(limits: Limits) -> Self {
        let tokens = Tokens {
            extra: limits.advance * UNIT,
            owed: limits.advance * UNIT,
            ..Tokens::default()
        };
        Self {
            limits,
            tokens: Mutex::new(tokens),
        }
    }

    /// Counts `attempts` first attempts.
    pub fn earn(&self, attempts: u64) {
        let limits = &self.limits;
        let cap = limits.burst * UNIT;
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        tokens.hedges = (tokens.hedges + attempts * limits.hedges).min(cap);
        let earned = attempts * limits.extra;
        let repaid = earned.min(tokens.owed);
        tokens.owed -= repaid;
        tokens.extra = (tokens.extra + earned - repaid).min(cap);
        tokens.spent.first += attempts;
    }

    /// Takes a hedge, which also counts as an extra attempt. False if the budget is spent.
    pub fn take_hedge(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let granted = tokens.hedges >= UNIT && tokens.extra >= UNIT;
        if granted {
            tokens.hedges -= UNIT;
            tokens.extra -= UNIT;
            tokens.spent.hedges += 1;
        }
        granted
    }

    /// Takes `attempts` retries, all or none. False if the budget is spent.
    pub fn take_retries(&self, attempts: u64) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let granted = tokens.extra >= attempts * UNIT;
        if granted {
            tokens.extra -= attempts * UNIT;
            tokens.spent.retries += attempts;
        }
        granted
    }

    /// Attempts counted since the start.
    pub fn spent(&self) -> Spent {
        let tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        tokens.spent
    }
}
