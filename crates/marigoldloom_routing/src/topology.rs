//! An immutable view of the configuration for the request path.
//!
//! The builder keeps one view per service and rebuilds only those that a changed
//! record touches; a topology shares the others with its predecessor.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::{failure_domain, instance, record, service, upstream};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream as protocol;

/// Where an upstream is, as seen from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the instance's own failure domain.
    Domain,
    /// In another failure domain of the instance's region.
    Region,
    /// In another region, or in a failure domain whose region is not known.
    Remote,
}

impl Proximity {
    /// From nearest to farthest.
    pub const ALL: [Self; 3] = [Self::Domain, Self::Region, Self::Remote];

    /// How far the failure domain `other` is from `own`; `region` names a failure domain's region.
    pub fn between<'a>(
        own: &str,
        other: &str,
        region: impl Fn(&str) -> Option<&'a String>,
    ) -> Self {
        match region(own) {
            _ if own == other => Self::Domain,
            Some(known) if region(other) == Some(known) => Self::Region,
            _ => Self::Remote,
        }
    }
}

/// One upstream as the request path sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Name and address.
    pub target: protocol::Target,
    /// Failure domain.
    pub domain: Arc<str>,
    /// How far the failure domain is from this instance.
    pub proximity: Proximity,
    /// Snapshot served.
    pub snapshot: service::Snapshot,
    /// Shards served.
    pub shards: Vec<u32>,
    /// Requests that it runs at a time when warm.
    pub slots: u32,
    /// Requests that it runs at a time when cold.
    pub cold_slots: u32,
    /// Connections that it accepts, over all instances.
    pub connections: u32,
    /// What it bears while it is cold, if operators limit that.
    pub pace: Option<Pace>,
    /// Whether it takes new work: neither leaving nor in a failure domain that is out.
    pub usable: bool,
}

/// What a cold upstream bears, over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Least time between two requests.
    pub gap: Duration,
    /// When it is warm.
    pub until: Timestamp,
}

/// The usable replicas of one snapshot by shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shards {
    replicas: Vec<Vec<Arc<Replica>>>,
}

impl Shards {
    /// Number of shards of the snapshot.
    pub fn total(&self) -> u32 {
        u32::try_from(self.replicas.len()).unwrap_or(u32::MAX)
    }

    /// The usable replicas of `shard`.
    pub fn replicas(&self, shard: u32) -> &[Arc<Replica>] {
        let index = usize::try_from(shard).unwrap_or(usize::MAX);
        self.replicas.get(index).map_or(&[], Vec::as_slice)
    }

    /// Number of shards with a usable replica.
    pub fn held(&self) -> usize {
        self.replicas.iter().filter(|r| !r.is_empty()).count()
    }

    fn complete(&self) -> bool {
        self.held() == self.replicas.len()
    }
}

/// One service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The operators' record.
    pub record: service::Service,
    snapshots: BTreeMap<service::Snapshot, Shards>,
    upstreams: BTreeMap<Arc<str>, Arc<Replica>>,
    parts: Vec<Arc<str>>,
}

/// A replicated service that serves one shard of a composed service.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Name of the replicated service.
    pub service: Arc<str>,
    /// Its replicas.
    pub replicas: Vec<Arc<Replica>>,
}

impl ServiceView {
    /// A service whose shard `i` is the replicated service `parts[i]`. All versions of the
    /// record read the same shards.
    pub fn composed(record: service::Service, parts: Vec<Part>) -> Self {
        let all = parts.iter().flat_map(|p| &p.replicas);
        let upstreams = all.map(|r| (Arc::clone(&r.target.name), Arc::clone(r)));
        let upstreams = upstreams.collect();
        let usable = |part: &Part| {
            let replicas = part.replicas.iter().filter(|r| r.usable);
            replicas.cloned().collect()
        };
        let shards = Shards {
            replicas: parts.iter().map(usable).collect(),
        };
        let snapshots = record.versions.keys().filter_map(|v| record.snapshot(v));
        let snapshots = snapshots.map(|s| (s, shards.clone())).collect();
        Self {
            record,
            snapshots,
            upstreams,
            parts: parts.into_iter().map(|p| p.service).collect(),
        }
    }

    /// Names of the replicated services that a composed service consists of, by shard;
    /// empty for other services.
    pub fn parts(&self) -> &[Arc<str>] {
        &self.parts
    }

    /// The snapshot that new queries of `version` read.
    ///
    /// That is the record's epoch. While a shard of it has no replica yet, for example
    /// because the service record arrived before the upstreams' records, it is the newest
    /// known epoch whose shards are all served.
    pub fn pin(&self, version: &str) -> Option<service::Snapshot> {
        let current = self.record.snapshot(version)?;
        match self.snapshots.get(&current) {
            Some(shards) if shards.complete() => return Some(current),
            _ => {}
        }
        let complete =
            |(s, shards): &(&service::Snapshot, &Shards)| s.version == version && shards.complete();
        let newest = self.snapshots.iter().rev().find(complete);
        Some(newest.map_or(current, |(s, _)| s.clone()))
    }

    /// The shards of a snapshot.
    pub fn shards(&self, snapshot: &service::Snapshot) -> Option<&Shards> {
        self.snapshots.get(snapshot)
    }

    /// All upstreams of the service, usable or not, by name.
    pub fn upstreams(&self) -> &BTreeMap<Arc<str>, Arc<Replica>> {
        &self.upstreams
    }
}

/// The view of all services.
#[derive(Clone, Debug)]
pub struct Topology {
    own: Arc<str>,
    services: BTreeMap<Arc<str>, Arc<ServiceView>>,
}

impl Topology {
    /// The view of an instance in the failure domain `own` on `services`.
    pub fn new(own: Arc<str>, services: BTreeMap<Arc<str>, Arc<ServiceView>>) -> Self {
        Self { own, services }
    }

    /// The failure domain of this instance.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Name of the service that an upstream belongs to.
    pub fn service_of(&self, upstream: &str) -> Option<&Arc<str>> {
        let mut services = self.services.iter();
        let found = services.find(|(_, view)| view.upstreams.contains_key(upstream));
        found.map(|(name, _)| name)
    }

    /// Whether an upstream is cold and bears only so many requests a second.
    pub fn is_paced(&self, upstream: &str) -> bool {
        let mut views = self.services.values();
        views.any(|view| {
            view.upstreams
                .get(upstream)
                .is_some_and(|r| r.pace.is_some())
        })
    }

    /// All services by name.
    pub fn services(&self) -> &BTreeMap<Arc<str>, Arc<ServiceView>> {
        &self.services
    }
}

/// Builds topologies from records.
#[derive(Debug)]
pub struct Builder {
    own: Arc<str>,
    services: BTreeMap<Arc<str>, service::Service>,
    out: BTreeSet<String>,
    regions: BTreeMap<String, String>,
    upstreams: BTreeMap<Arc<str>, upstream::Upstream>,
    members: BTreeMap<String, BTreeSet<Arc<str>>>,
    sizes: BTreeMap<(Arc<str>, service::Snapshot), u32>,
    views: BTreeMap<Arc<str>, Arc<ServiceView>>,
    dirty: BTreeSet<Arc<str>>,
}

impl Builder {
    /// Creates a builder for an instance in the failure domain `own`.
    pub fn new(own: &str) -> Self {
        Self {
            own: Arc::from(own),
            services: BTreeMap::new(),
            out: BTreeSet::new(),
            regions: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            members: BTreeMap::new(),
            sizes: BTreeMap::new(),
            views: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Adds or replaces a record. Kinds that don't concern routing are ignored.
    pub fn set(&mut self, record: record::AnyRecord) {
        match record {
            record::AnyRecord::Service(s) => self.set_service(s),
            record::AnyRecord::FailureDomain(d) => {
                self.set_domain(&d.name, d.state == failure_domain::State::Out);
                self.set_region(d.name, Some(d.region));
            }
            record::AnyRecord::Upstream(u) => self.set_upstream(u),
            record::AnyRecord::Instance(_) | record::AnyRecord::VersionMove(_) => {}
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, kind: record::Kind, name: &str) {
        match kind {
            record::Kind::Service => {
                self.services.remove(name);
                self.sizes.retain(|(service, _), _| **service != *name);
                self.dirty.insert(Arc::from(name));
            }
            record::Kind::FailureDomain => {
                self.set_domain(name, false);
                self.set_region(name.to_owned(), None);
            }
            record::Kind::Upstream => self.remove_upstream(name),
            record::Kind::Instance | record::Kind::VersionMove => {}
        }
    }

    /// The topology of the current records.
    pub fn build(&mut self) -> Arc<Topology> {
        for name in mem::take(&mut self.dirty) {
            match self.view(&name) {
                Some(view) => self.views.insert(name, Arc::new(view)),
                None => self.views.remove(&name),
            };
        }
        Arc::new(Topology {
            own: Arc::clone(&self.own),
            services: self.views.clone(),
        })
    }

    fn set_service(&mut self, record: service::Service) {
        let name: Arc<str> = Arc::from(record.name.as_str());
        for (version, shape) in &record.versions {
            let snapshot = service::Snapshot {
                version: version.clone(),
                epoch: shape.epoch,
            };
            let key = (Arc::clone(&name), snapshot);
            self.sizes.insert(key, shape.shards);
        }
        self.dirty.insert(Arc::clone(&name));
        self.services.insert(name, record);
    }

    fn set_domain(&mut self, name: &str, out: bool) {
        let changed = match out {
            true => self.out.insert(name.to_owned()),
            false => self.out.remove(name),
        };
        if changed {
            self.dirty.extend(self.services.keys().cloned());
        }
    }

    fn set_region(&mut self, name: String, region: Option<String>) {
        if self.regions.get(&name) == region.as_ref() {
            return;
        }
        match region {
            Some(region) => self.regions.insert(name, region),
            None => self.regions.remove(&name),
        };
        self.dirty.extend(self.services.keys().cloned());
    }

    fn set_upstream(&mut self, record: upstream::Upstream) {
        self.remove_upstream(&record.name);
        let name: Arc<str> = Arc::from(record.name.as_str());
        self.dirty.insert(Arc::from(record.service.as_str()));
        let members = self.members.entry(record.service.clone()).or_default();
        members.insert(Arc::clone(&name));
        self.upstreams.insert(name, record);
    }

    fn remove_upstream(&mut self, name: &str) {
        let Some(old) = self.upstreams.remove(name) else {
            return;
        };
        if let Some(members) = self.members.get_mut(&old.service) {
            members.remove(name);
        }
        self.dirty.insert(Arc::from(old.service));
    }

    /// Builds one service's view. Epochs that no upstream serves any more are forgotten.
    fn view(&mut self, name: &Arc<str>) -> Option<ServiceView> {
        let record = self.services.get(name)?.clone();
        let members = self.members.get(&**name);
        let names = members.into_iter().flatten();
        let upstreams: BTreeMap<_, _> = names
            .filter_map(|n| {
                self.upstreams
                    .get(n)
                    .map(|u| (n.clone(), self.replica(n, u)))
            })
            .collect();
        let served: BTreeSet<_> = upstreams.values().map(|r| &r.snapshot).collect();
        self.sizes.retain(|(service, snapshot), _| {
            let current = record.snapshot(&snapshot.version);
            service != name || current.as_ref() == Some(snapshot) || served.contains(snapshot)
        });
        let sizes = self.sizes.iter().filter(|((s, _), _)| s == name);
        let snapshots = sizes
            .map(|((_, snapshot), total)| {
                let shards = collect_shards(upstreams.values(), snapshot, *total);
                (snapshot.clone(), shards)
            })
            .collect();
        Some(ServiceView {
            record,
            snapshots,
            upstreams,
            parts: Vec::new(),
        })
    }

    fn replica(&self, name: &Arc<str>, record: &upstream::Upstream) -> Arc<Replica> {
        let live = record.state == instance::State::Live;
        Arc::new(Replica {
            target: protocol::Target {
                name: Arc::clone(name),
                address: record.address,
            },
            domain: Arc::from(record.domain.as_str()),
            proximity: Proximity::between(&self.own, &record.domain, |d| self.regions.get(d)),
            snapshot: record.snapshot(),
            shards: record.shards.clone(),
            slots: record.slots,
            cold_slots: record.cold_slots,
            pace: None,
            connections: record.connections,
            usable: live && !self.out.contains(&record.domain),
        })
    }
}

fn collect_shards<'a>(
    replicas: impl Iterator<Item = &'a Arc<Replica>>,
    snapshot: &service::Snapshot,
    total: u32,
) -> Shards {
    let mut shards = vec![Vec::new(); usize::try_from(total).unwrap_or(0)];
    for replica in replicas.filter(|r| r.usable && r.snapshot == *snapshot) {
        for shard in &replica.shards {
            let index = usize::try_from(*shard).unwrap_or(usize::MAX);
            if let Some(list) = shards.get_mut(index) {
                list.push(Arc::clone(replica));
            }
        }
    }
    Shards { replicas: shards }
}
