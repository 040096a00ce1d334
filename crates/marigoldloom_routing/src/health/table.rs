//! The health of all upstreams of a topology.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

use crate::health::{ColdCause, Health, Observation};
use crate::topology;

/// Time for which an upstream without a record is remembered if it wants no requests. Records can
/// lapse and return while the process goes on.
const RETENTION: Duration = Duration::from_secs(120);

/// Largest number of such upstreams.
const MAX_RETIRED: usize = 4_096;

/// The health of all upstreams, by name.
#[derive(Debug, Default)]
pub struct Table {
    observation: Observation,
    entries: RwLock<BTreeMap<Arc<str>, Entry>>,
    /// Upstreams that lost their records and wanted no requests then, with the time.
    retired: Mutex<BTreeMap<Arc<str>, (Timestamp, Entry)>>,
}

#[derive(Clone, Debug)]
struct Entry {
    health: Arc<Health>,
    replica: Arc<topology::Replica>,
}

impl Table {
    /// Creates an empty table. `observation` applies to all upstreams added later.
    pub fn new(observation: Observation) -> Self {
        Self {
            observation,
            entries: RwLock::default(),
            retired: Mutex::default(),
        }
    }

    /// Applies a new topology. Upstreams that are new or whose failure domain takes work again
    /// count as cold under `ColdStart::Assumed`, and upstreams that the topology no longer names
    /// are removed. Returns the names of the new and returned upstreams, with the cause.
    pub fn update(
        &self,
        now: Timestamp,
        topology: &topology::Topology,
    ) -> Vec<(Arc<str>, ColdCause)> {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        retired.retain(|_, (at, _)| now.since(*at) < RETENTION);
        let mut next = BTreeMap::new();
        let mut causes = Vec::new();
        let services = topology.services().values();
        for (name, replica) in services.flat_map(|s| s.upstreams()) {
            // An upstream may serve several services.
            if next.contains_key(name) {
                continue;
            }
            let old = entries.remove(name);
            let old = old.or_else(|| retired.remove(name).map(|(_, entry)| entry));
            let (entry, cause) = updated_entry(now, old, replica, self.observation);
            causes.extend(cause.map(|c| (Arc::clone(name), c)));
            next.insert(Arc::clone(name), entry);
        }
        let unwilling = std::mem::replace(&mut *entries, next).into_iter();
        let unwilling = unwilling.filter(|(_, entry)| entry.health.is_unwilling(now));
        for (name, entry) in unwilling.take(MAX_RETIRED.saturating_sub(retired.len())) {
            retired.insert(name, (now, entry));
        }
        causes
    }

    /// Returns the health of the upstream `name`; none if the topology doesn't name it.
    pub fn get(&self, name: &str) -> Option<Arc<Health>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(name).map(|e| Arc::clone(&e.health))
    }
}

fn updated_entry(
    now: Timestamp,
    old: Option<Entry>,
    replica: &Arc<topology::Replica>,
    observation: Observation,
) -> (Entry, Option<ColdCause>) {
    let replica = Arc::clone(replica);
    let known = old.filter(|e| is_same_process(&e.replica, &replica));
    let (health, cause) = match known {
        None => (
            Arc::new(Health::new(now, observation)),
            Some(ColdCause::FirstSeen),
        ),
        Some(entry) if replica.usable && !entry.replica.usable => {
            entry.health.mark_cold(now, ColdCause::DomainReturned);
            (entry.health, Some(ColdCause::DomainReturned))
        }
        Some(entry) => (entry.health, None),
    };
    (Entry { health, replica }, cause)
}

/// Returns whether two records describe the same process, as far as they tell.
fn is_same_process(a: &topology::Replica, b: &topology::Replica) -> bool {
    let restarted = matches!((a.born, b.born), (Some(a), Some(b)) if a != b);
    a.target == b.target && !restarted
}
