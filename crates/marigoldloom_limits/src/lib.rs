//! Limits on work: admission, retry and hedge budgets, crash fingerprints, cold-start capacity and pace.

pub mod admission;
pub mod allowance;
pub mod budget;
pub mod cold;
pub mod fingerprint;
pub mod pace;
