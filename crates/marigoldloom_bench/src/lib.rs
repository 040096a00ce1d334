//! Deterministic benchmark of the routing policies: runs the production engine on virtual
//! time against fake upstreams with injected faults, and compares it with a naive baseline.
//!
//! The engine's tests also use [`world`], [`naive`] and [`checks`].

pub mod bounds;
pub mod checks;
pub mod differential;
pub mod fault;
pub mod figures;
pub mod measure;
pub mod naive;
pub mod report;
pub mod scenario;
pub mod world;
