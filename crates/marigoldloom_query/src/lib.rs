//! Scatter-gather queries: one snapshot, hedging, true coverage and typed refusals.
//!
//! [`engine::Engine`] runs one caller request at a time per call; everything that
//! the decisions need (topology, health, budgets, strikes) is shared between calls.

pub mod answer;
mod attempt;
pub mod convert;
pub mod engine;
mod gather;
pub mod hooks;
pub mod refusal;
pub mod request;
mod selection;
mod shard;
mod state;
