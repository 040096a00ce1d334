//! HTTP/1.1 server and client connections on async-h1, with what
//! async-h1 leaves to its callers: limits on message sizes, receive times and connection
//! counts, and graceful shutdown.

pub mod client;
pub mod hyper_runtime;
mod limited_stream;
pub mod message;
pub mod pool;
pub mod server;
pub mod socket;
