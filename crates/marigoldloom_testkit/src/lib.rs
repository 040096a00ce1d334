//! Deterministic test support: a single-threaded executor with a virtual clock, and a fleet of fake
//! upstreams.

pub mod fake_fleet;
pub mod virtual_runtime;
