//! A service: a sharded index or an unsharded replicated back end, in one or more versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::{self, Problem};

/// Maximum number of shards of one version.
pub const SHARD_LIMIT: u32 = 4_096;

/// Longest deadline a service may set, in milliseconds.
pub const DEADLINE_LIMIT_MS: u64 = 600_000;

/// Configuration of a service, written by operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Schema version of this record; at most [`record::SCHEMA`].
    pub schema: u32,
    /// Name, unique within the kind.
    pub name: String,
    /// The version that receives all traffic while no version move is running; a key of
    /// `versions`.
    pub active: String,
    /// Versions that may receive traffic, by name.
    pub versions: BTreeMap<String, Version>,
    /// Routes that callers may use, by name.
    pub routes: BTreeMap<String, Route>,
    /// Time limit of a whole query if the caller sets none, in milliseconds; at most
    /// [`DEADLINE_LIMIT_MS`].
    pub deadline_ms: u64,
    /// Fields that this build does not know, kept when the record is written back.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// Shard map of one version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Version {
    /// Number of shards; shards are numbered from zero.
    pub shards: u32,
    /// Shard map epoch; increases with each repartitioning.
    pub epoch: u64,
}

/// How requests on a route are executed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Whether a request may run more than once. On a route that is not idempotent, a
    /// request runs at most once, on the one shard that its idempotency key selects.
    pub idempotent: bool,
}

/// The data that a query reads: one version at one shard map epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// Version name.
    pub version: String,
    /// Shard map epoch.
    pub epoch: u64,
}

impl Service {
    /// Returns the snapshot of `version` at its current epoch; none if the service has no such
    /// version.
    pub fn snapshot(&self, version: &str) -> Option<Snapshot> {
        self.versions.get(version).map(|v| Snapshot {
            version: version.to_owned(),
            epoch: v.epoch,
        })
    }
}

impl record::Record for Service {
    const KIND: record::Kind = record::Kind::Service;

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
        checker.check_range("deadline_ms", self.deadline_ms, 1, DEADLINE_LIMIT_MS)?;
        for (name, version) in &self.versions {
            checker.check_name("versions", name)?;
            let shards = u64::from(version.shards);
            checker.check_range("shards", shards, 1, u64::from(SHARD_LIMIT))?;
        }
        for name in self.routes.keys() {
            checker.check_name("routes", name)?;
        }
        match () {
            () if self.routes.is_empty() => Err(checker.error("routes", Problem::Empty)),
            () if !self.versions.contains_key(&self.active) => {
                let name = self.active.clone();
                Err(checker.error("active", Problem::Undefined { name }))
            }
            () => Ok(()),
        }
    }
}
