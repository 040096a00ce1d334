//! The deployment of a run: a store, replicas and instances, with a proxy before each.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::net::TcpListener;
use marigoldloom_http::server::Server;
use marigoldloom_standin::users::documents::{
    self, Backend, CONFIGURATION, CONFIGURATION_NAME, Node, Route,
};
use marigoldloom_standin::users::store::Store;
use serde_json::Value;

use crate::history::{History, Kind, Version};
use crate::plan::{Place, Shape};
use crate::process::Instance;
use crate::proxy::Proxy;
use crate::sites::Sites;

/// Host that callers name.
pub const HOST: &str = "soak.example";

/// Failure domains, each in a region of its own.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// Records in an answer.
pub const TOP: usize = 10;

/// Least share of the shards that an answer needs.
pub const LEAST_SHARE: f64 = 0.75;

/// Time between the stop signal and the kill, in seconds.
pub const GRACE_S: u64 = 6;

/// Prefixes of the names of the shards of each set, and their number. One set is in force at a time.
pub const SETS: [(&str, usize); 2] = [("a", 6), ("b", 7)];

/// Services that tell the configuration in force.
pub const VERSIONS: u64 = 8;

/// Service of fetches.
pub const FILES: &str = "files";

/// Service of jobs.
pub const JOBS: &str = "jobs";

/// Connections that a replica accepts, as far as the configuration says.
const CONNECTIONS: u32 = 32;

/// The path prefix of the route for requests of `kind`.
pub const fn prefix(kind: Kind) -> &'static str {
    match kind {
        Kind::Query => "/query/",
        Kind::Fetch => "/fetch/",
        Kind::Job => "/job/",
        Kind::Version => "/version/",
    }
}

/// The service of the version route of the configuration `number`.
pub fn version_service(number: u64) -> String {
    format!("version{}", number % VERSIONS)
}

/// The names of the shards of a set.
pub fn shards(set: usize) -> Vec<String> {
    let (prefix, count) = SETS[set % SETS.len()];
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// Whether `service` serves requests of `kind`, which is not a query.
pub fn serves(kind: Kind, service: &str) -> bool {
    match kind {
        Kind::Query => false,
        Kind::Fetch => service == FILES,
        Kind::Job => service == JOBS,
        Kind::Version => service.starts_with("version"),
    }
}

/// An instance and the proxies on its links.
pub struct Member {
    /// Its process.
    pub instance: Mutex<Instance>,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Before callers' connections to it.
    pub callers: Proxy,
    /// Before other instances' connections to it.
    pub peers: Proxy,
    /// Before its connections to the store.
    pub store: Proxy,
}

impl Member {
    /// Its process.
    pub fn instance(&self) -> MutexGuard<'_, Instance> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A deployment.
pub struct World {
    /// What was seen.
    pub history: History,
    /// The store.
    pub store: Store,
    /// The replicas.
    pub sites: Sites,
    /// The instances.
    pub members: Vec<Member>,
    /// Number and shard set of the newest configuration.
    newest: Mutex<(u64, usize)>,
    _server: Server,
}

impl World {
    /// Sets up a deployment whose instances run `program` and keep their files in `directory`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if an address can't be bound, a file can't be written or
    /// a process can't be started.
    pub async fn start(program: &Path, directory: &Path, shape: &Shape) -> io::Result<Self> {
        let history = History::default();
        let store = Store::new();
        let (server, address) = store.serve().await?;
        let sites = Sites::start(&history, &store).await?;
        let mut members = Vec::new();
        for number in 0..shape.instances {
            let member = member(program, directory, number, address, &store).await?;
            members.push(member);
        }
        let world = Self {
            history,
            store,
            sites,
            members,
            newest: Mutex::new((0, 0)),
            _server: server,
        };
        world.configure(false);
        for member in &world.members {
            member.instance().start()?;
        }
        Ok(world)
    }

    /// Writes the next configuration, which names another set of shards if `reshard` says so.
    pub fn configure(&self, reshard: bool) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let (number, set) = (newest.0 + 1, newest.1 + usize::from(reshard));
        *newest = (number, set);
        let document = configuration(number, set);
        self.store.put(CONFIGURATION, CONFIGURATION_NAME, document);
        let at = self.history.now();
        self.history.record().versions.push(Version {
            number,
            at,
            shards: shards(set),
        });
    }

    /// Kills all instances for good.
    pub fn close(&self) {
        for member in &self.members {
            member.instance().close();
        }
    }

    /// The proxy on a link.
    pub fn proxy(&self, place: Place) -> Proxy {
        match place {
            Place::Store(instance) => self.members[instance].store.clone(),
            Place::Peer(instance) => self.members[instance].peers.clone(),
            Place::Callers(instance) => self.members[instance].callers.clone(),
            Place::Replica(replica) => self.sites.get(replica).proxy.clone(),
        }
    }
}

/// Sets up an instance without a process.
async fn member(
    program: &Path,
    directory: &Path,
    number: usize,
    store: SocketAddr,
    objects: &Store,
) -> io::Result<Member> {
    // Metrics have a fixed port, so that each instance needs an address of its own.
    let ip = own_address(number);
    let (callers, readiness, peers) = (free(ip).await?, free(ip).await?, free(ip).await?);
    let store = Proxy::start(store).await?;
    let proxy = Proxy::start(peers).await?;
    objects.redirect(peers, proxy.address());
    let node = Node {
        name: format!("instance-{number}"),
        domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        regions: DOMAINS
            .map(|d| (d.to_owned(), format!("region-{d}")))
            .into(),
        callers,
        readiness,
        peers,
        store: store.address(),
        grace_s: GRACE_S,
    };
    Ok(Member {
        instance: Mutex::new(Instance::new(program, directory, &node)?),
        readiness,
        callers: Proxy::start(callers).await?,
        peers: proxy,
        store,
    })
}

/// An address of the loopback interface that no other run uses at the same time.
fn own_address(number: usize) -> IpAddr {
    let run = std::process::id();
    let part = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
    let last = u8::try_from(number + 2).unwrap_or(u8::MAX);
    // 127.0.x.x is left to other tests.
    Ipv4Addr::new(127, part(run / 250).max(2), part(run), last).into()
}

/// A free port at `ip`.
async fn free(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0)).await?.local_addr()
}

fn configuration(number: u64, set: usize) -> Value {
    let route = |kind, backend, timeout_ms, objective_ms| {
        let route = Route {
            prefix: prefix(kind).to_owned(),
            backend,
            idempotent: kind != Kind::Job,
            timeout_ms,
            objective_ms,
            attempts: 3,
        };
        route.document(HOST)
    };
    let query = Backend::Shards {
        services: shards(set),
        top_k: TOP,
        min_ratio: LEAST_SHARE,
    };
    let single = |service: String| Backend::Single(service);
    let routes = [
        route(Kind::Query, query, 1_000, 300),
        route(Kind::Fetch, single(FILES.to_owned()), 2_000, 500),
        route(Kind::Job, single(JOBS.to_owned()), 2_000, 500),
        route(Kind::Version, single(version_service(number)), 1_000, 300),
    ];
    let versions = (0..VERSIONS).map(version_service);
    let services = (0..SETS.len()).flat_map(shards).chain(versions);
    let services: Vec<_> = services.chain([FILES, JOBS].map(str::to_owned)).collect();
    documents::configuration(number, &routes, &services, CONNECTIONS)
}

/// A directory for the files of a run, below the temporary one.
pub fn directory(seed: u64) -> PathBuf {
    let name = format!("marigoldloom-soak-{}-{seed}", std::process::id());
    std::env::temp_dir().join(name)
}
