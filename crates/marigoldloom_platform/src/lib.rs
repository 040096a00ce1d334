//! The object API of the operators' platform: versioned objects, conditional writes and
//! watches, with an HTTP client and an in-memory implementation.

pub mod http;
pub mod memory;
pub mod object;
pub mod platform;
pub mod protocol;
mod refusal;
mod store;
