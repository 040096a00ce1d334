//! Stand-ins for the users' platform: its object store, its replicas and its callers.
//!
//! They speak the users' wire format. The replicas keep the requests that they receive, so that
//! tests can check them.

pub mod caller;
pub mod documents;
pub mod replica;
pub mod server;
pub mod shard;
pub mod store;
