//! The catalog as the request path sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::{record, service};
use marigoldloom_routing::topology;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream::Target;
use xxhash_rust::xxh3;

use crate::configuration::{Backend, Configuration, Limits, Route};
use crate::replica::Replica;
use crate::table::Table;

/// The only version of the services that a view is composed of. Versions of a replica's
/// software are told apart by its record, not by the service's.
const VERSION: &str = "current";

/// Requests that a replica takes at a time per slot while it is not known to be warm.
const UNCONFIRMED_PER_SLOT: u32 = 4;

/// Least rate of requests to a cold replica, in requests a second. Cold starts take seconds, so
/// that a lower one allows no request either.
const LEAST_RATE: f64 = 0.01;

/// Routes and replicas at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Version of the configuration.
    pub version: u64,
    /// Routes.
    pub table: Table,
    /// Limits on callers.
    pub limits: Limits,
    /// Connections that one replica of a service accepts, by service.
    pub connections: BTreeMap<Arc<str>, u32>,
    /// Services that the engine serves, by the names that [`backend_key`] gives.
    pub topology: Arc<topology::Topology>,
}

/// Name of the engine's service for the shards `services` in `regions`. Routes with the same
/// shards and regions share it.
pub fn backend_key(services: &[Arc<str>], regions: &[String]) -> Arc<str> {
    let mut hasher = xxh3::Xxh3::new();
    let names = services.iter().map(|s| &**s);
    for part in names.chain([""]).chain(regions.iter().map(String::as_str)) {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Arc::from(format!("{:016x}", hasher.digest()))
}

/// The shard lists of a route: one for a single service or a scatter, one for each share of a split.
pub fn shard_lists(route: &Route) -> Vec<Vec<Arc<str>>> {
    match &route.backend {
        Backend::Single(service) => vec![vec![Arc::clone(service)]],
        Backend::Split(shares) => {
            let shares = shares.iter().map(|s| vec![Arc::clone(&s.service)]);
            shares.collect()
        }
        Backend::Scatter(scatter) => vec![scatter.shards.clone()],
    }
}

/// What a view is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inputs<'a> {
    /// Failure domain of this instance.
    pub(crate) own: &'a Arc<str>,
    /// Region of each failure domain.
    pub(crate) regions: &'a BTreeMap<String, String>,
    /// The configuration in force.
    pub(crate) current: &'a Configuration,
    /// The one before it, whose services running requests still use.
    pub(crate) previous: Option<&'a Configuration>,
    /// Replicas that exist.
    pub(crate) replicas: &'a [Seen<'a>],
}

/// A replica at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen<'a> {
    /// What it says of itself.
    pub(crate) replica: &'a Replica,
    /// When it is warm.
    pub(crate) warm: Timestamp,
    /// Whether it takes new work.
    pub(crate) usable: bool,
}

impl Inputs<'_> {
    pub(crate) fn view(&self) -> View {
        let mut members: BTreeMap<Arc<str>, Vec<Arc<topology::Replica>>> = BTreeMap::new();
        for seen in self.replicas {
            let service = Arc::clone(&seen.replica.service);
            let list = members.entry(service).or_default();
            list.push(Arc::new(self.replica(seen)));
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
            topology: Arc::new(topology::Topology::new(Arc::clone(self.own), services)),
        }
    }

    /// What the routes of both configurations need, by key.
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
        let parts = backend.shards.iter().map(|name| {
            let replicas = members.get(name).into_iter().flatten();
            topology::Part {
                service: Arc::clone(name),
                replicas: replicas.filter(allowed).cloned().collect(),
            }
        });
        let record = backend.record(key);
        topology::ServiceView::composed(record, parts.collect())
    }

    fn replica(&self, seen: &Seen<'_>) -> topology::Replica {
        let replica = seen.replica;
        let service = self.current.services.get(&replica.service);
        let rate = service.map_or(0.0, |s| s.cold_rate);
        let pace = (rate > 0.0 && !replica.warmup.is_zero()).then(|| topology::Pace {
            interval: Duration::from_secs_f64(rate.max(LEAST_RATE).recip()),
            end: seen.warm,
        });
        topology::Replica {
            target: Target {
                name: Arc::clone(&replica.id),
                address: replica.address,
            },
            domain: Arc::clone(&replica.domain),
            proximity: topology::Proximity::between(self.own, &replica.domain, |domain| {
                self.regions.get(domain)
            }),
            snapshot: snapshot(),
            shards: vec![0],
            slots: replica.slots.max(1),
            cold_slots: replica.slots.max(1) * UNCONFIRMED_PER_SLOT,
            connections: service.map_or(1, |s| s.connections),
            pace,
            usable: seen.usable,
        }
    }
}

fn snapshot() -> service::Snapshot {
    service::Snapshot {
        version: VERSION.to_owned(),
        epoch: 0,
    }
}

/// Shards in some regions, and the routes that they serve.
struct Composition<'a> {
    shards: Vec<Arc<str>>,
    regions: &'a [String],
    routes: BTreeMap<String, service::Route>,
}

impl Composition<'_> {
    /// The engine's record of the service that the shards are composed to.
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
