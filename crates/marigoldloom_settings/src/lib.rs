//! The daemon's settings file.
//!
//! An invalid settings file is rejected as a whole before anything starts. Each error
//! names the file, the key and the reason.

pub mod error;
pub mod load;
pub mod settings;
