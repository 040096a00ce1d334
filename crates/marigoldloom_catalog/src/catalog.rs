//! The records of one instance, merged from what the platform lists and reports.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_runtime::time::Timestamp;

use crate::configuration::Configuration;
use crate::replica::Replica;
use crate::source::{Kind, Record};
use crate::view::{Inputs, Seen, View};

/// Time after an outage of the platform in which replicas whose records lapsed meanwhile
/// announce themselves again. The platform states about 2 s; the rest is the way of the news.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Where an instance is and how its surroundings are named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Failure domain of the instance.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
}

/// The records of one instance.
#[derive(Debug)]
pub struct Catalog {
    place: Place,
    current: Option<Configuration>,
    previous: Option<Configuration>,
    replicas: BTreeMap<Arc<str>, Entry>,
    evacuated: BTreeSet<Arc<str>>,
    listed: BTreeSet<Kind>,
}

#[derive(Debug)]
struct Entry {
    replica: Replica,
    /// When it is warm, by what it says of itself.
    warm: Timestamp,
    /// When the replica counts as gone unless its record comes back.
    expiry: Option<Timestamp>,
}

/// When the platform answered again after an outage, if there was one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Regained(pub Option<Timestamp>);

impl Regained {
    /// Until when a record that is missing may come back.
    fn grace(self, now: Timestamp) -> Option<Timestamp> {
        let end = self.0.map(|at| at + LAPSE_GRACE);
        end.filter(|end| *end > now)
    }
}

impl Catalog {
    /// Creates a catalog without records.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            current: None,
            previous: None,
            replicas: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            listed: BTreeSet::new(),
        }
    }

    /// Replaces all records of `kind` by `records`.
    pub fn replace(
        &mut self,
        kind: Kind,
        records: Vec<(Arc<str>, Record)>,
        now: Timestamp,
        regained: Regained,
    ) {
        let names: BTreeSet<_> = records.iter().map(|(name, _)| Arc::clone(name)).collect();
        let gone: Vec<_> = match kind {
            Kind::Configuration => Vec::new(),
            Kind::Replicas => missing(self.replicas.keys(), &names),
            Kind::Evacuations => missing(self.evacuated.iter(), &names),
        };
        for name in gone {
            self.set(kind, name, None, now, regained);
        }
        for (name, record) in records {
            self.set(kind, name, Some(record), now, regained);
        }
        self.listed.insert(kind);
    }

    /// Sets or removes one record.
    pub fn set(
        &mut self,
        kind: Kind,
        name: Arc<str>,
        record: Option<Record>,
        now: Timestamp,
        regained: Regained,
    ) {
        match (kind, record) {
            (_, Some(Record::Invalid(invalid))) => {
                tracing::warn!(%kind, %name, %invalid, "a record can't be used");
                if kind == Kind::Replicas {
                    self.replicas.remove(&name);
                }
            }
            (Kind::Configuration, Some(Record::Configuration(new))) => self.configure(*new),
            (Kind::Replicas, Some(Record::Replica(replica))) => self.announce(replica, now),
            (Kind::Replicas, None) => self.lapse(&name, regained.grace(now)),
            (Kind::Evacuations, Some(Record::Evacuation)) => {
                tracing::info!(domain = %name, "no new work goes to the failure domain");
                self.evacuated.insert(name);
            }
            (Kind::Evacuations, None) => {
                tracing::info!(domain = %name, "the failure domain takes work again");
                self.evacuated.remove(&name);
            }
            (Kind::Configuration, None) => {
                tracing::warn!("the configuration was removed; the last one stays in force");
            }
            (kind, Some(record)) => {
                tracing::warn!(%kind, %name, ?record, "a record is of another kind than its list");
            }
        }
    }

    /// A configuration that is older than the one in force is not news: an answer of the
    /// platform may be stale.
    fn configure(&mut self, new: Configuration) {
        let old = self.current.as_ref().map(|c| c.version);
        if old.is_some_and(|old| old >= new.version) {
            return;
        }
        tracing::info!(
            version = new.version,
            replaced = old,
            routes = new.routes.len(),
            "configuration in force"
        );
        self.previous = self.current.replace(new);
    }

    fn announce(&mut self, replica: Replica, now: Timestamp) {
        let entry = self.replicas.get(&replica.id);
        let known = entry.map(|e| &e.replica);
        // The same record once more says nothing new about when it was true.
        let warm = match entry {
            Some(entry) if entry.replica == replica => entry.warm,
            _ => now + replica.warmup,
        };
        if known.is_none_or(|k| k.draining != replica.draining || k.address != replica.address) {
            tracing::info!(
                upstream = %replica.id,
                service = %replica.service,
                address = %replica.address,
                domain = %replica.domain,
                draining = replica.draining,
                "upstream announced"
            );
        }
        let entry = Entry {
            replica,
            warm,
            expiry: None,
        };
        self.replicas.insert(Arc::clone(&entry.replica.id), entry);
    }

    fn lapse(&mut self, name: &Arc<str>, grace: Option<Timestamp>) {
        match (grace, self.replicas.get_mut(name)) {
            (Some(end), Some(entry)) => {
                entry.expiry.get_or_insert(end);
            }
            (None, Some(_)) => {
                tracing::info!(upstream = %name, "upstream gone");
                self.replicas.remove(name);
            }
            (_, None) => {}
        }
    }

    /// Removes replicas whose records did not come back. Returns whether any was removed.
    pub fn sweep(&mut self, now: Timestamp) -> bool {
        let before = self.replicas.len();
        self.replicas.retain(|name, entry| {
            let kept = entry.expiry.is_none_or(|end| end > now);
            if !kept {
                tracing::info!(upstream = %name, "upstream gone since the platform's outage");
            }
            kept
        });
        self.replicas.len() < before
    }

    /// Whether replicas wait for their record to come back.
    pub fn has_lapsed(&self) -> bool {
        self.replicas.values().any(|e| e.expiry.is_some())
    }

    /// The view of the records; none before each kind was listed.
    pub fn view(&self) -> Option<View> {
        let current = self.current.as_ref()?;
        if self.listed.len() < Kind::ALL.len() {
            return None;
        }
        let usable = |r: &Replica| !r.draining && !self.evacuated.contains(&r.domain);
        let replicas = self.replicas.values().map(|entry| Seen {
            replica: &entry.replica,
            warm: entry.warm,
            usable: usable(&entry.replica),
        });
        let replicas: Vec<_> = replicas.collect();
        let inputs = Inputs {
            own: &self.place.domain,
            regions: &self.place.regions,
            current,
            previous: self.previous.as_ref(),
            replicas: &replicas,
        };
        Some(inputs.view())
    }
}

fn missing<'a>(
    known: impl Iterator<Item = &'a Arc<str>>,
    listed: &BTreeSet<Arc<str>>,
) -> Vec<Arc<str>> {
    known.filter(|n| !listed.contains(*n)).cloned().collect()
}
