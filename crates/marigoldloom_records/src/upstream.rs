//! An upstream: a replica that serves shards of one version of a service.

use std::net;

use serde::{Deserialize, Serialize};

use crate::instance;
use crate::record;
use crate::service;

/// Maximum number of requests that one upstream may run concurrently.
pub const SLOT_LIMIT: u64 = 1_024;

/// Maximum number of connections that one upstream may accept.
pub const CONNECTION_LIMIT: u64 = 65_535;

/// An upstream as registered with the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Upstream {
    /// Schema version of this record; at most [`record::SCHEMA`].
    pub schema: u32,
    /// Name, unique within the kind.
    pub name: String,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Version of the service that the upstream serves.
    pub version: String,
    /// Shard map epoch that the numbers in `shards` belong to.
    pub epoch: u64,
    /// Numbers of the shards that the upstream serves, in ascending order.
    pub shards: Vec<u32>,
    /// Failure domain that the upstream runs in.
    pub domain: String,
    /// Address on which the upstream serves the upstream protocol.
    pub address: net::SocketAddr,
    /// Requests that the upstream runs concurrently once it is warm.
    pub slots: u32,
    /// Requests that the upstream runs concurrently during a cold start; at most `slots`.
    pub cold_slots: u32,
    /// Connections that the upstream accepts, summed over all instances.
    pub connections: u32,
    /// Whether the upstream is in service or draining.
    pub state: instance::State,
    /// Fields that this build does not know, kept when the record is written back.
    #[serde(flatten)]
    pub extra: record::Extra,
}

impl Upstream {
    /// The snapshot that the upstream serves.
    pub fn snapshot(&self) -> service::Snapshot {
        service::Snapshot {
            version: self.version.clone(),
            epoch: self.epoch,
        }
    }
}

impl record::Record for Upstream {
    const KIND: record::Kind = record::Kind::Upstream;

    fn name(&self) -> &str {
        &self.name
    }

    fn schema(&self) -> u32 {
        self.schema
    }

    fn check(&self) -> Result<(), record::Invalid> {
        let checker = record::Checker {
            kind: Self::KIND,
            name: &self.name,
        };
        checker.check_name("service", &self.service)?;
        checker.check_name("version", &self.version)?;
        checker.check_name("domain", &self.domain)?;
        checker.check_range("slots", u64::from(self.slots), 1, SLOT_LIMIT)?;
        let slots = u64::from(self.slots);
        checker.check_range("cold_slots", u64::from(self.cold_slots), 1, slots)?;
        let connections = u64::from(self.connections);
        checker.check_range("connections", connections, 1, CONNECTION_LIMIT)?;
        match self.shards.is_empty() {
            true => Err(checker.error("shards", record::Problem::Empty)),
            false => Ok(()),
        }
    }
}
