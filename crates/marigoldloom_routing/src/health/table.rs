//! Health of all upstreams of a topology.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use marigoldloom_runtime::time::Timestamp;

use crate::health::{ColdCause, Health, Observation};
use crate::topology;

/// Health of all upstreams.
#[derive(Debug, Default)]
pub struct Table {
    observation: Observation,
    entries: RwLock<BTreeMap<Arc<str>, Entry>>,
}

#[derive(Clone, Debug)]
struct Entry {
    health: Arc<Health>,
    replica: Arc<topology::Replica>,
}

impl Table {
    /// Creates an empty table of upstreams that are observed as `observation` says.
    pub fn new(observation: Observation) -> Self {
        Self {
            observation,
            entries: RwLock::default(),
        }
    }

    /// Follows a new topology: new upstreams and those whose failure domain returned count
    /// as cold, those that vanished are forgotten. Returns the names of upstreams that
    /// turned cold, with the cause.
    pub fn follow(
        &self,
        now: Timestamp,
        topology: &topology::Topology,
    ) -> Vec<(Arc<str>, ColdCause)> {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = BTreeMap::new();
        let mut chilled = Vec::new();
        let services = topology.services().values();
        for (name, replica) in services.flat_map(|s| s.upstreams()) {
            // An upstream may serve several services.
            if next.contains_key(name) {
                continue;
            }
            let old = entries.remove(name);
            let (entry, cause) = follow_one(now, old, replica, self.observation);
            chilled.extend(cause.map(|c| (Arc::clone(name), c)));
            next.insert(Arc::clone(name), entry);
        }
        *entries = next;
        chilled
    }

    /// The health of the upstream `name`.
    pub fn get(&self, name: &str) -> Option<Arc<Health>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(name).map(|e| Arc::clone(&e.health))
    }
}

fn follow_one(
    now: Timestamp,
    old: Option<Entry>,
    replica: &Arc<topology::Replica>,
    observation: Observation,
) -> (Entry, Option<ColdCause>) {
    let replica = Arc::clone(replica);
    let known = old.filter(|e| e.replica.target == replica.target);
    let (health, cause) = match known {
        None => (
            Arc::new(Health::new(now, observation)),
            Some(ColdCause::FirstSeen),
        ),
        Some(entry) if replica.usable && !entry.replica.usable => {
            entry.health.chill(now, ColdCause::DomainReturned);
            (entry.health, Some(ColdCause::DomainReturned))
        }
        Some(entry) => (entry.health, None),
    };
    (Entry { health, replica }, cause)
}
