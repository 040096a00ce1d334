//! Immutable view of the services and upstreams for the request path.
//!
//! The builder keeps one view per service and rebuilds only those that a changed record
//! affects; a topology shares the others with its predecessor.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::{failure_domain, instance, record, service, upstream};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream as protocol;

/// Distance of an upstream from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the instance's own failure domain.
    Domain,
    /// In another failure domain of the instance's region.
    Region,
    /// In another region, or in a failure domain whose region is not known.
    Remote,
}

impl Distance {
    /// All values, from nearest to farthest.
    pub const ALL: [Self; 3] = [Self::Domain, Self::Region, Self::Remote];

    /// Returns the distance between the failure domains `own` and `other`. `region` returns the
    /// region of a failure domain, if known.
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

/// One upstream as the request path sees it. An upstream is called a replica of the shards that it
/// serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Name and address of the upstream.
    pub target: protocol::Target,
    /// Failure domain of the upstream.
    pub domain: Arc<str>,
    /// Distance of the failure domain from this instance.
    pub distance: Distance,
    /// Version of the upstream's software, which [`VersionFilter`] selects by.
    pub version: Arc<str>,
    /// Snapshot that the upstream serves.
    pub snapshot: service::Snapshot,
    /// Shards of the snapshot that the upstream serves.
    pub shards: Vec<u32>,
    /// Requests that it runs concurrently when warm.
    pub slots: u32,
    /// Requests that it runs concurrently when cold.
    pub cold_slots: u32,
    /// Connections that it accepts from all instances together.
    pub connections: u32,
    /// Request rate that it can handle while cold; none if operators set no limit.
    pub pace: Option<Pace>,
    /// Request rate that a process of it can handle after its start; none if operators set no limit.
    pub start_pace: Option<StartPace>,
    /// Whether it takes new work: it is not leaving, and its failure domain is not out.
    pub usable: bool,
    /// Start time of the process in wall-clock milliseconds, if it is known. It distinguishes a
    /// restarted process that kept its name.
    pub born: Option<u64>,
}

/// Which replicas of a shard an attempt may use, by their version. The default allows all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionFilter {
    /// Version whose replicas are used if one of them has room.
    pub preferred: Option<Arc<str>>,
    /// Versions whose replicas are used only if they are preferred.
    pub excluded: Option<Arc<BTreeSet<Arc<str>>>>,
}

impl VersionFilter {
    /// Returns whether `replica` has the preferred version.
    pub fn prefers(&self, replica: &Replica) -> bool {
        self.preferred.as_ref() == Some(&replica.version)
    }

    /// Returns whether `replica` may be used without being preferred.
    pub fn allows(&self, replica: &Replica) -> bool {
        let excluded = self.excluded.as_ref();
        excluded.is_none_or(|versions| !versions.contains(&replica.version))
    }
}

/// Request rate that a cold upstream can handle, over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Minimum time between two requests.
    pub interval: Duration,
    /// When the limit ends because the upstream counts as warm.
    pub end: Timestamp,
}

/// Request rate that the process of an upstream can handle after its start, over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartPace {
    /// Minimum time between two requests.
    pub interval: Duration,
    /// Time from the start until the process counts as warm.
    pub time: Duration,
}

/// The usable replicas of one snapshot, by shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shards {
    replicas: Vec<Vec<Arc<Replica>>>,
}

impl Shards {
    /// Returns the number of shards of the snapshot.
    pub fn total(&self) -> u32 {
        u32::try_from(self.replicas.len()).unwrap_or(u32::MAX)
    }

    /// Returns the usable replicas of `shard`; none if the snapshot has no such shard.
    pub fn replicas(&self, shard: u32) -> &[Arc<Replica>] {
        let index = usize::try_from(shard).unwrap_or(usize::MAX);
        self.replicas.get(index).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of shards with a usable replica.
    pub fn available(&self) -> usize {
        self.replicas.iter().filter(|r| !r.is_empty()).count()
    }

    fn is_complete(&self) -> bool {
        self.available() == self.replicas.len()
    }
}

/// One service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Record that operators wrote.
    pub record: service::Service,
    snapshots: BTreeMap<service::Snapshot, Shards>,
    upstreams: BTreeMap<Arc<str>, Arc<Replica>>,
    /// Names of the replicated services of a composed service, by shard.
    shard_services: Vec<Arc<str>>,
}

/// A replicated service that serves one shard of a composed service.
#[derive(Clone, Debug, Default)]
pub struct ShardService {
    /// Name of the replicated service.
    pub service: Arc<str>,
    /// Its replicas, usable or not.
    pub replicas: Vec<Arc<Replica>>,
}

impl ServiceView {
    /// Creates a composed service whose shard `i` is the replicated service
    /// `shard_services[i]`. All versions of the record read the same shards.
    pub fn composed(record: service::Service, shard_services: Vec<ShardService>) -> Self {
        let all = shard_services.iter().flat_map(|s| &s.replicas);
        let upstreams = all.map(|r| (Arc::clone(&r.target.name), Arc::clone(r)));
        let upstreams = upstreams.collect();
        let usable = |service: &ShardService| {
            let replicas = service.replicas.iter().filter(|r| r.usable);
            replicas.cloned().collect()
        };
        let shards = Shards {
            replicas: shard_services.iter().map(usable).collect(),
        };
        let snapshots = record.versions.keys().filter_map(|v| record.snapshot(v));
        let snapshots = snapshots.map(|s| (s, shards.clone())).collect();
        Self {
            record,
            snapshots,
            upstreams,
            shard_services: shard_services.into_iter().map(|s| s.service).collect(),
        }
    }

    /// Returns the names of the replicated services that a composed service consists of, by
    /// shard; empty for other services.
    pub fn shard_services(&self) -> &[Arc<str>] {
        &self.shard_services
    }

    /// Returns the snapshot that new queries of `version` read; none if the record has no such
    /// version.
    ///
    /// Its epoch is the record's. While a shard of that epoch has no replica, for example
    /// because the service record arrived before the upstreams' records, the newest epoch in
    /// which every shard has a replica is used; if there is none, the record's.
    pub fn query_snapshot(&self, version: &str) -> Option<service::Snapshot> {
        let current = self.record.snapshot(version)?;
        match self.snapshots.get(&current) {
            Some(shards) if shards.is_complete() => return Some(current),
            _ => {}
        }
        let complete = |(s, shards): &(&service::Snapshot, &Shards)| {
            s.version == version && shards.is_complete()
        };
        let newest = self.snapshots.iter().rev().find(complete);
        Some(newest.map_or(current, |(s, _)| s.clone()))
    }

    /// Returns the shards of a snapshot; none if the snapshot is not known.
    pub fn shards(&self, snapshot: &service::Snapshot) -> Option<&Shards> {
        self.snapshots.get(snapshot)
    }

    /// Returns all upstreams of the service, usable or not, by name.
    pub fn upstreams(&self) -> &BTreeMap<Arc<str>, Arc<Replica>> {
        &self.upstreams
    }
}

/// All services with their upstreams.
#[derive(Clone, Debug)]
pub struct Topology {
    own_domain: Arc<str>,
    services: BTreeMap<Arc<str>, Arc<ServiceView>>,
}

impl Topology {
    /// Creates the topology that an instance in the failure domain `own_domain` sees.
    pub fn new(own_domain: Arc<str>, services: BTreeMap<Arc<str>, Arc<ServiceView>>) -> Self {
        Self {
            own_domain,
            services,
        }
    }

    /// Returns the failure domain of this instance.
    pub fn own_domain(&self) -> &str {
        &self.own_domain
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Returns the name of a service that `upstream` belongs to.
    pub fn service_of(&self, upstream: &str) -> Option<&Arc<str>> {
        let mut services = self.services.iter();
        let found = services.find(|(_, view)| view.upstreams.contains_key(upstream));
        found.map(|(name, _)| name)
    }

    /// Returns whether operators limit the request rate of `upstream` while it is cold.
    pub fn has_pace(&self, upstream: &str) -> bool {
        let mut views = self.services.values();
        views.any(|view| {
            view.upstreams
                .get(upstream)
                .is_some_and(|r| r.pace.is_some() || r.start_pace.is_some())
        })
    }

    /// Returns all services by name.
    pub fn services(&self) -> &BTreeMap<Arc<str>, Arc<ServiceView>> {
        &self.services
    }
}

/// Builds topologies from records.
#[derive(Debug)]
pub struct Builder {
    own_domain: Arc<str>,
    services: BTreeMap<Arc<str>, service::Service>,
    /// Failure domains in the state `Out`.
    domains_out: BTreeSet<String>,
    /// Region by failure domain.
    regions: BTreeMap<String, String>,
    upstreams: BTreeMap<Arc<str>, upstream::Upstream>,
    /// Names of the upstreams of each service.
    service_upstreams: BTreeMap<String, BTreeSet<Arc<str>>>,
    /// Number of shards by service and snapshot.
    shard_counts: BTreeMap<(Arc<str>, service::Snapshot), u32>,
    views: BTreeMap<Arc<str>, Arc<ServiceView>>,
    /// Services whose views must be rebuilt.
    dirty: BTreeSet<Arc<str>>,
}

impl Builder {
    /// Creates a builder without records for an instance in the failure domain `own_domain`.
    pub fn new(own_domain: &str) -> Self {
        Self {
            own_domain: Arc::from(own_domain),
            services: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            regions: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            service_upstreams: BTreeMap::new(),
            shard_counts: BTreeMap::new(),
            views: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Adds or replaces a record. Records of kinds that don't affect routing are ignored.
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

    /// Removes the record `name` of `kind`.
    pub fn remove(&mut self, kind: record::Kind, name: &str) {
        match kind {
            record::Kind::Service => {
                self.services.remove(name);
                self.shard_counts
                    .retain(|(service, _), _| **service != *name);
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

    /// Builds the topology of the current records.
    pub fn build(&mut self) -> Arc<Topology> {
        for name in mem::take(&mut self.dirty) {
            match self.build_view(&name) {
                Some(view) => self.views.insert(name, Arc::new(view)),
                None => self.views.remove(&name),
            };
        }
        Arc::new(Topology {
            own_domain: Arc::clone(&self.own_domain),
            services: self.views.clone(),
        })
    }

    fn set_service(&mut self, record: service::Service) {
        let name: Arc<str> = Arc::from(record.name.as_str());
        for (version, definition) in &record.versions {
            let snapshot = service::Snapshot {
                version: version.clone(),
                epoch: definition.epoch,
            };
            let key = (Arc::clone(&name), snapshot);
            self.shard_counts.insert(key, definition.shards);
        }
        self.dirty.insert(Arc::clone(&name));
        self.services.insert(name, record);
    }

    fn set_domain(&mut self, name: &str, out: bool) {
        let changed = match out {
            true => self.domains_out.insert(name.to_owned()),
            false => self.domains_out.remove(name),
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
        let names = self
            .service_upstreams
            .entry(record.service.clone())
            .or_default();
        names.insert(Arc::clone(&name));
        self.upstreams.insert(name, record);
    }

    fn remove_upstream(&mut self, name: &str) {
        let Some(old) = self.upstreams.remove(name) else {
            return;
        };
        if let Some(names) = self.service_upstreams.get_mut(&old.service) {
            names.remove(name);
        }
        self.dirty.insert(Arc::from(old.service));
    }

    /// Builds the view of the service `name`; none if it has no record. Drops the shard counts of
    /// old epochs that no upstream serves any more.
    fn build_view(&mut self, name: &Arc<str>) -> Option<ServiceView> {
        let record = self.services.get(name)?.clone();
        let names = self.service_upstreams.get(&**name);
        let names = names.into_iter().flatten();
        let upstreams: BTreeMap<_, _> = names
            .filter_map(|n| {
                self.upstreams
                    .get(n)
                    .map(|u| (n.clone(), self.build_replica(n, u)))
            })
            .collect();
        let served: BTreeSet<_> = upstreams.values().map(|r| &r.snapshot).collect();
        self.shard_counts.retain(|(service, snapshot), _| {
            let current = record.snapshot(&snapshot.version);
            service != name || current.as_ref() == Some(snapshot) || served.contains(snapshot)
        });
        let shard_counts = self.shard_counts.iter().filter(|((s, _), _)| s == name);
        let snapshots = shard_counts
            .map(|((_, snapshot), total)| {
                let shards = collect_shards(upstreams.values(), snapshot, *total);
                (snapshot.clone(), shards)
            })
            .collect();
        Some(ServiceView {
            record,
            snapshots,
            upstreams,
            shard_services: Vec::new(),
        })
    }

    fn build_replica(&self, name: &Arc<str>, record: &upstream::Upstream) -> Arc<Replica> {
        let live = record.state == instance::State::Live;
        Arc::new(Replica {
            target: protocol::Target {
                name: Arc::clone(name),
                address: record.address,
            },
            domain: Arc::from(record.domain.as_str()),
            version: Arc::from(record.version.as_str()),
            distance: Distance::between(&self.own_domain, &record.domain, |d| self.regions.get(d)),
            snapshot: record.snapshot(),
            shards: record.shards.clone(),
            slots: record.slots,
            cold_slots: record.cold_slots,
            pace: None,
            start_pace: None,
            connections: record.connections,
            usable: live && !self.domains_out.contains(&record.domain),
            born: None,
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
