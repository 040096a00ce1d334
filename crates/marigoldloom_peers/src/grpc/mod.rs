//! The protocol between instances over tonic, on hyper connections that run on our runtime.
//!
//! tonic is used without its transport feature, which needs tokio. Its service traits
//! demand boxed futures; these are the only ones on the request path.

pub mod pool;
pub mod server;

use std::time::Duration;

/// A connection is pinged after this time without traffic. With its time limit, a
/// connection whose other end vanished is closed after 15 s.
const PING_PERIOD: Duration = Duration::from_secs(10);

/// Time limit of a ping.
const PING_LIMIT: Duration = Duration::from_secs(5);

/// HTTP/2 window of a stream, in bytes: a chunk of entries arrives without a pause.
const STREAM_WINDOW: u32 = 1 << 20;

/// HTTP/2 window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 << 20;
