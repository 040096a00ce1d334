//! Stand-ins for the users' platform: its store and its replicas.
//!
//! They speak the users' wire format and keep what they saw, so that tests can check it.

pub mod caller;
pub mod documents;
pub mod replica;
pub mod server;
pub mod shard;
pub mod store;
