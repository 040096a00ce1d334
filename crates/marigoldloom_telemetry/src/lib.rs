//! Logs, metrics and decision events.

pub mod event;
pub mod log;
pub mod metrics;
