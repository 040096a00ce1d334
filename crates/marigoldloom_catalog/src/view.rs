//! Immutable snapshot of the catalog for the request path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::version_move::Order;
use marigoldloom_records::{record, service};
use marigoldloom_routing::topology;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream::Target;
use xxhash_rust::xxh3;

use crate::configuration::{Backend, Configuration, Limits, Route};
use crate::replica::Replica;
use crate::table::Table;

/// Version of every service in a view. The records of services have no versions here: the version
/// of a replica's software is in the replica's own record.
const VERSION: &str = "current";

/// Concurrent requests per slot that a replica gets while it is not known to be warm.
const COLD_REQUESTS_PER_SLOT: u32 = 4;

/// Least rate of requests to a cold replica, in requests per second. Cold starts take seconds, so a
/// lower rate would allow no request either.
const MIN_COLD_RATE: f64 = 0.01;

/// Routes and replicas at one point in time.
#[derive(Clone, Debug)]
pub struct View {
    /// Version of the configuration in force.
    pub version: u64,
    /// Routes by host and path prefix.
    pub table: Table,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Number of connections that one replica accepts from all instances together, by service.
    pub connections: BTreeMap<Arc<str>, u32>,
    /// Orders to move a service's traffic to a version.
    pub moves: Arc<[Order]>,
    /// Services that the routing engine serves, by the names that [`backend_key`] returns.
    pub topology: Arc<topology::Topology>,
}

/// Returns the name of the routing engine's service for the shards `services` in `regions`. Routes
/// with the same shards and regions share one service.
pub fn backend_key(services: &[Arc<str>], regions: &[String]) -> Arc<str> {
    let mut hasher = xxh3::Xxh3::new();
    let names = services.iter().map(|s| &**s);
    for part in names.chain([""]).chain(regions.iter().map(String::as_str)) {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Arc::from(format!("{:016x}", hasher.digest()))
}

/// Returns the shard lists of a route, each as the names of its services: one list for a single
/// service or a scatter, one for each share of a split, and none for an unusable route.
pub fn shard_lists(route: &Route) -> Vec<Vec<Arc<str>>> {
    match &route.backend {
        Backend::Single(service) => vec![vec![Arc::clone(service)]],
        Backend::Split(shares) => {
            let shares = shares.iter().map(|s| vec![Arc::clone(&s.service)]);
            shares.collect()
        }
        Backend::Scatter(scatter) => vec![scatter.shards.clone()],
        Backend::Unusable => Vec::new(),
    }
}

/// Data that a view is built from.
#[derive(Clone, Debug)]
pub(crate) struct Inputs<'a> {
    /// Failure domain of this instance.
    pub(crate) own_domain: &'a Arc<str>,
    /// Region of each failure domain.
    pub(crate) regions: &'a BTreeMap<String, String>,
    /// The configuration in force.
    pub(crate) current: &'a Configuration,
    /// The configuration before it; requests that are still running use its services.
    pub(crate) previous: Option<&'a Configuration>,
    /// All known replicas.
    pub(crate) replicas: &'a [ReplicaState<'a>],
    /// Orders to move a service's traffic to a version.
    pub(crate) moves: Arc<[Order]>,
}

/// A replica's record and what the catalog derives from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaState<'a> {
    /// The replica's record.
    pub(crate) replica: &'a Replica,
    /// When it is warm; `None` if it isn't known to have been cold.
    pub(crate) warm_at: Option<Timestamp>,
    /// Whether it may get new requests: neither draining nor in an evacuated failure domain.
    pub(crate) usable: bool,
}

impl Inputs<'_> {
    pub(crate) fn view(&self) -> View {
        let mut members: BTreeMap<Arc<str>, Vec<Arc<topology::Replica>>> = BTreeMap::new();
        for state in self.replicas {
            let service = Arc::clone(&state.replica.service);
            let list = members.entry(service).or_default();
            list.push(Arc::new(self.replica(state)));
        }
        let backends = self.backends();
        let services = backends.iter().map(|(key, backend)| {
            let view = self.service(key, backend, &members);
            (Arc::clone(key), Arc::new(view))
        });
        let services = services.collect();
        let connections = self.current.services.iter();
        let connections = connections.map(|(name, s)| (Arc::clone(name), s.connections));
        View {
            version: self.current.version,
            table: Table::new(&self.current.routes),
            limits: self.current.limits,
            connections: connections.collect(),
            moves: Arc::clone(&self.moves),
            topology: Arc::new(topology::Topology::new(
                Arc::clone(self.own_domain),
                services,
            )),
        }
    }

    /// Returns the services that the routes of both configurations need, by [`backend_key`].
    fn backends(&self) -> BTreeMap<Arc<str>, Composition<'_>> {
        let mut backends = BTreeMap::new();
        let routes = self.previous.into_iter().flat_map(|p| &p.routes);
        for route in routes.chain(&self.current.routes) {
            for shards in shard_lists(route) {
                let key = backend_key(&shards, &route.regions);
                let backend = backends.entry(key).or_insert_with(|| Composition {
                    shards,
                    regions: &route.regions,
                    routes: BTreeMap::new(),
                });
                let idempotent = route.idempotent;
                let record = service::Route { idempotent };
                backend.routes.insert(route.name.to_string(), record);
            }
        }
        backends
    }

    fn service(
        &self,
        key: &Arc<str>,
        backend: &Composition<'_>,
        members: &BTreeMap<Arc<str>, Vec<Arc<topology::Replica>>>,
    ) -> topology::ServiceView {
        let allowed = |replica: &&Arc<topology::Replica>| {
            let region = self.regions.get(&*replica.domain);
            backend.regions.is_empty() || region.is_some_and(|r| backend.regions.contains(r))
        };
        let shard_services = backend.shards.iter().map(|name| {
            let replicas = members.get(name).into_iter().flatten();
            topology::ShardService {
                service: Arc::clone(name),
                replicas: replicas.filter(allowed).cloned().collect(),
            }
        });
        let record = backend.record(key);
        topology::ServiceView::composed(record, shard_services.collect())
    }

    fn replica(&self, state: &ReplicaState<'_>) -> topology::Replica {
        let replica = state.replica;
        let service = self.current.services.get(&replica.service);
        let rate = service.map_or(0.0, |s| s.cold_rate);
        let interval = Duration::from_secs_f64(rate.max(MIN_COLD_RATE).recip());
        let limited = service.filter(|_| rate > 0.0);
        let warm_at = state.warm_at.filter(|_| limited.is_some());
        let pace = warm_at.map(|end| topology::Pace { interval, end });
        let start_pace = limited.map(|service| topology::StartPace {
            interval,
            time: service.warmup,
        });
        topology::Replica {
            target: Target {
                name: Arc::clone(&replica.id),
                address: replica.address,
            },
            domain: Arc::clone(&replica.domain),
            distance: topology::Distance::between(self.own_domain, &replica.domain, |domain| {
                self.regions.get(domain)
            }),
            version: Arc::from(replica.version.as_str()),
            snapshot: snapshot(),
            shards: vec![0],
            slots: replica.slots.max(1),
            cold_slots: replica.slots.max(1).saturating_mul(COLD_REQUESTS_PER_SLOT),
            connections: service.map_or(1, |s| s.connections),
            pace,
            start_pace,
            usable: state.usable,
            born: replica.born,
        }
    }
}

fn snapshot() -> service::Snapshot {
    service::Snapshot {
        version: VERSION.to_owned(),
        epoch: 0,
    }
}

/// The shards of a composed service, the regions that it is limited to, and its routes.
struct Composition<'a> {
    shards: Vec<Arc<str>>,
    regions: &'a [String],
    routes: BTreeMap<String, service::Route>,
}

impl Composition<'_> {
    /// Returns the routing engine's record of the composed service.
    fn record(&self, key: &Arc<str>) -> service::Service {
        let version = service::Version {
            shards: u32::try_from(self.shards.len()).unwrap_or(u32::MAX),
            epoch: 0,
        };
        service::Service {
            schema: 1,
            name: key.to_string(),
            active: VERSION.to_owned(),
            versions: BTreeMap::from([(VERSION.to_owned(), version)]),
            routes: self.routes.clone(),
            deadline_ms: service::DEADLINE_LIMIT_MS,
            extra: record::Extra::default(),
        }
    }
}
