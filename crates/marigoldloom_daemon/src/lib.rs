//! One instance of the query tier: combines the libraries and serves callers, other instances
//! and operators.

pub mod admin;
pub mod caller;
pub mod capacity;
pub mod command;
pub mod config;
pub mod frontend;
pub mod homes;
pub mod instance;
pub mod observer;
pub mod refusal;
pub mod registrar;
pub mod trial;

mod admissions;
mod forwarding;
mod leases;
mod refusal_log;
mod versions;
mod warm_entries;
