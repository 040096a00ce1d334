//! Limits on work: admission, retry and hedge budgets, crash fingerprints, and the concurrency and
//! request rate of cold upstreams.

pub mod admission;
pub mod allowance;
pub mod budget;
pub mod cold;
pub mod fingerprint;
pub mod pace;
