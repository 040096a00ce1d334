//! The peer protocol as gRPC: tonic on hyper connections that run on the runtime of
//! [`marigoldloom_runtime`].
//!
//! tonic's transport feature is off, because it needs tokio. tonic's service traits require
//! boxed futures; these are the only boxed futures on the request path.

pub mod pool;
pub mod server;

use std::time::Duration;

/// A connection is pinged after this time without traffic. With [`PING_TIMEOUT`], a connection
/// whose remote end has disappeared is closed after 15 s.
const PING_PERIOD: Duration = Duration::from_secs(10);

/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP/2 flow-control window of a stream, in bytes; larger than a chunk of entries, so that
/// the sender of a chunk doesn't wait for a window update.
const STREAM_WINDOW: u32 = 1 << 20;

/// HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 << 20;
