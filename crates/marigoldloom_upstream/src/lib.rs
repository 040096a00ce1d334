//! The protocol between an instance and upstreams: messages, errors and the client.
//!
//! `docs/upstream-protocol.md` specifies the HTTP messages.

pub mod client;
pub mod message;
pub mod protocol;
pub mod upstream;
