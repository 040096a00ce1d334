//! Scatter-gather queries over the shards of one snapshot, with hedging, exact coverage and
//! typed refusals.
//!
//! Each call to [`engine::Engine::run`] or [`engine::Engine::run_once`] runs one request.
//! Calls share the topology, upstream health, budgets and strikes.

pub mod answer;
mod attempt;
pub mod convert;
mod crashes;
pub mod engine;
mod gather;
pub mod hooks;
pub mod refusal;
pub mod request;
mod selection;
mod shard;
mod silence;
mod state;
