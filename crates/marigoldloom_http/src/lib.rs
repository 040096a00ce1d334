//! HTTP/1.1 server and client connections on async-h1, with the limits that
//! async-h1 leaves to its callers: message sizes, receive times, connection
//! counts and graceful shutdown.

pub mod client;
pub mod hyper_runtime;
pub mod message;
pub mod pool;
pub mod server;
pub mod socket;
mod wire;
