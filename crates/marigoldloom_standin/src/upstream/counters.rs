//! Counters of a stand-in upstream, against which tests check what other programs report.

use std::collections::BTreeMap;

use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

/// Limit on the number of idempotency keys in the counters; runs of further keys aren't counted.
const KEY_LIMIT: usize = 100_000;

/// Counts since the stand-in was started; crashes and restarts don't reset them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Counters {
    /// Well-formed queries that arrived.
    pub received: u64,
    /// Queries that started to run.
    pub ran: u64,
    /// Queries that ran and were answered with status 200.
    pub completed: u64,
    /// Queries that a fault or an overload made fail, with status 500 or a closed connection.
    pub failed: u64,
    /// Queries that were cancelled or cut off by a crash while they ran.
    pub cancelled: u64,
    /// Queries that were stopped at their deadline while they ran.
    pub overdue: u64,
    /// Queries whose deadline passed while they waited for a slot.
    pub expired: u64,
    /// Queries refused because the queue was full.
    pub shed: u64,
    /// Queries refused while draining.
    pub drained: u64,
    /// Queries refused because the upstream doesn't hold their snapshot.
    pub wrong_snapshot: u64,
    /// Queries refused because the upstream doesn't hold their shard.
    pub wrong_shard: u64,
    /// Cancellation requests received, also for queries that didn't run.
    pub cancels: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Queries that arrived at a cold upstream beyond its cold slots.
    pub cold_excess: u64,
    /// Queries that started to run while the upstream was cold.
    pub cold_ran: u64,
    /// Greatest number of queries that ran at a time.
    pub peak_running: u32,
    /// Greatest number of queries that ran at a time while the upstream was cold.
    pub peak_cold: u32,
    /// Greatest number of connections at the arrival of a query.
    pub peak_connections: usize,
    /// Time at which a query last started to run.
    pub last_run: time::WallTime,
    /// Number of runs for each idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Number of runs for each route.
    pub routes: BTreeMap<String, u64>,
}

impl Counters {
    /// Counts the start of a query; `running` includes it.
    pub(super) fn start(&mut self, route: &str, key: Option<&str>, running: u32, cold: bool) {
        self.ran += 1;
        self.peak_running = self.peak_running.max(running);
        *self.routes.entry(route.to_owned()).or_default() += 1;
        if cold {
            self.cold_ran += 1;
            self.peak_cold = self.peak_cold.max(running);
        }
        match key {
            Some(key) if self.keys.len() < KEY_LIMIT || self.keys.contains_key(key) => {
                *self.keys.entry(key.to_owned()).or_default() += 1;
            }
            _ => (),
        }
    }
}
