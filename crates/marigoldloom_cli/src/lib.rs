//! Library of the operators' command-line tool `marigoldloom`, which manages records, failure
//! domains and version moves, and queries instances.
//!
//! Every write is conditional unless the operator passes `--force`, so that operators can't
//! unknowingly overwrite each other's changes.

pub mod admin;
pub mod args;
pub mod difference;
pub mod domain;
pub mod error;
pub mod file;
pub mod output;
pub mod records;
pub mod run;
pub mod table;
pub mod time;
pub mod version_move;
pub mod write;
