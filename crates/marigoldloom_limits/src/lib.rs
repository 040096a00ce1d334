//! Limits on work: admission, retry and hedge budgets, crash fingerprints, cold-start capacity.

pub mod admission;
pub mod allowance;
pub mod budget;
pub mod cold;
pub mod fingerprint;
