//! Replicas as they announce themselves on the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One running process of a replicated service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Replica {
    /// Unique name; usually a new one with each start of the process.
    pub id: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Address that it accepts requests on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and must get no new requests.
    pub draining: bool,
    /// Remaining time until it is warm, as of the record; zero if it is warm.
    pub warmup: Duration,
    /// Start time of the process in wall-clock milliseconds; `None` if the replica doesn't report
    /// it. It distinguishes a restarted process that kept its name.
    pub born: Option<u64>,
}
