//! A randomized soak test of the query tier.
//!
//! It runs the real `marigoldloom-edge` program in several processes on one machine, injects
//! faults from outside, and checks the guarantees of the system on what callers and replicas
//! observe. `docs/soak.md` says how to run it.

pub mod balancer;
pub mod callers;
pub mod checks;
pub mod deployment;
pub mod guarantees;
pub mod history;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod replicas;
pub mod run;
pub mod steps;
