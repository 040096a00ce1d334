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
    /// Unique name; mostly new with each start.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is cold.
    pub warmup: Duration,
    /// Start of the process, in wall-clock milliseconds, if it says so. A process that starts
    /// again under its old name has another one.
    pub born: Option<u64>,
}
