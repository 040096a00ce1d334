//! The deployment of a run: a store, replicas and instances, connected through proxies.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::net::TcpListener;
use futures::future;
use marigoldloom_http::server::Server;
use marigoldloom_standin::users::documents::{
    self, Backend, CONFIGURATION, CONFIGURATION_NAME, EVACUATIONS, Node, Route,
};
use marigoldloom_standin::users::store::Store;
use serde_json::{Value, json};

use crate::history::{Configuration, History, RequestKind};
use crate::plan::Link;
use crate::plan::starts::HangUps;
use crate::process::Instance;
use crate::proxy::Proxy;
use crate::replicas::Replicas;

/// Value of the `Host` header of callers' requests.
pub const HOST: &str = "soak.example";

/// Failure domains, each in a region of its own.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// Maximum number of records in a merged answer.
pub const RECORD_LIMIT: usize = 10;

/// Minimum share of the shards from which an answer may be merged.
pub const MIN_SHARD_SHARE: f64 = 0.75;

/// Time from SIGTERM in which an instance must exit, in seconds.
pub const GRACE_S: u64 = 6;

/// Name prefix and number of the shards of each set. A configuration names one of the sets.
pub const SHARD_SETS: [(&str, usize); 2] = [("a", 6), ("b", 7)];

/// Number of services among which the version route rotates with each configuration, so that an
/// answer identifies the configuration that handled its request.
pub const VERSION_SERVICES: u64 = 8;

/// Service of the fetch route.
pub const FETCH_SERVICE: &str = "files";

/// Service of the job route.
pub const JOB_SERVICE: &str = "jobs";

/// Number of objects in a page of the store's lists: less than there are replicas.
const PAGE_SIZE: usize = 7;

/// Maximum number of connections to a replica that the configuration allows.
const MAX_CONNECTIONS: u32 = 32;

/// Requests per second that a cold replica tolerates.
pub const COLD_RATE: f64 = 1.0;

/// Path prefix of the route for requests of `kind`.
pub const fn path_prefix(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Query => "/query/",
        RequestKind::Fetch => "/fetch/",
        RequestKind::Job => "/job/",
        RequestKind::Version => "/version/",
        RequestKind::Split => "/split/",
    }
}

/// Service of the version route in the configuration `number`.
pub fn version_service(number: u64) -> String {
    format!("version{}", number % VERSION_SERVICES)
}

/// Names of the shards of a set. Indexes past the last set start again with the first one.
pub fn shards(set: usize) -> Vec<String> {
    let (prefix, count) = SHARD_SETS[set % SHARD_SETS.len()];
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// Whether some configuration routes requests of `kind` to `service`. Always false for queries,
/// whose services are shards.
pub fn serves(kind: RequestKind, service: &str) -> bool {
    match kind {
        RequestKind::Query => false,
        RequestKind::Fetch => service == FETCH_SERVICE,
        RequestKind::Job => service == JOB_SERVICE,
        RequestKind::Version | RequestKind::Split => service.starts_with("version"),
    }
}

/// An instance and the proxies on its connections.
pub struct Member {
    /// Process of the instance.
    pub instance: Mutex<Instance>,
    /// Address of the readiness endpoint, which the balancer probes.
    pub readiness: SocketAddr,
    /// All addresses at which the instance listens.
    pub addresses: [SocketAddr; 3],
    /// Proxy to which callers connect.
    pub caller_proxy: Proxy,
    /// Proxy to which other instances connect.
    pub peer_proxy: Proxy,
    /// Proxy through which the instance connects to the store.
    pub store_proxy: Proxy,
}

impl Member {
    /// Locks the process of the instance.
    pub fn instance(&self) -> MutexGuard<'_, Instance> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All parts of the system in one run.
pub struct Deployment {
    /// What callers, replicas and the operator observed.
    pub history: History,
    /// Store of the configuration and of the replicas' announcements.
    pub store: Store,
    /// Replicas behind the instances.
    pub replicas: Replicas,
    /// Instances in the order of their indexes.
    pub members: Vec<Member>,
    /// Number and shard set of the latest configuration.
    latest: Mutex<(u64, usize)>,
    /// Number of evacuations in progress for each failure domain.
    evacuations: Mutex<[usize; DOMAINS.len()]>,
    _server: Server,
}

impl Deployment {
    /// Starts a deployment whose instances run `program` and keep their files in `directory`. Each
    /// instance gets one of `hang_ups` at its starts.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if an address can't be bound, a file can't be written or a process
    /// can't be started.
    pub async fn start(
        program: &Path,
        directory: &Path,
        hang_ups: Vec<HangUps>,
    ) -> io::Result<Self> {
        let history = History::default();
        let store = Store::new();
        store.set_page_size(PAGE_SIZE);
        store.set_era(1);
        let (server, address) = store.serve().await?;
        let replicas = Replicas::start(&history, &store).await?;
        let mut members = Vec::new();
        for (number, hang_ups) in hang_ups.into_iter().enumerate() {
            let member = create_member(program, directory, number, hang_ups, &store, address);
            members.push(member.await?);
        }
        let deployment = Self {
            history,
            store,
            replicas,
            members,
            latest: Mutex::new((0, 0)),
            evacuations: Mutex::default(),
            _server: server,
        };
        deployment.configure(false);
        for member in &deployment.members {
            member.instance().start()?;
        }
        Ok(deployment)
    }

    /// Writes the next configuration to the store. With `reshard` it names the next set of shards.
    pub fn configure(&self, reshard: bool) {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let (number, set) = (latest.0 + 1, latest.1 + usize::from(reshard));
        *latest = (number, set);
        let document = configuration_document(number, set);
        self.store.put(CONFIGURATION, CONFIGURATION_NAME, document);
        let at = self.history.now();
        self.history
            .observations()
            .configurations
            .push(Configuration {
                number,
                at,
                shards: shards(set),
            });
    }

    /// Evacuates a failure domain until [`Self::return_domain`] is called as often.
    pub fn evacuate_domain(&self, domain: usize) {
        let mut evacuations = self.lock_evacuations();
        evacuations[domain] += 1;
        self.store.put(EVACUATIONS, DOMAINS[domain], json!({}));
    }

    /// Ends an evacuation of a failure domain.
    pub fn return_domain(&self, domain: usize) {
        let mut evacuations = self.lock_evacuations();
        evacuations[domain] -= 1;
        if evacuations[domain] == 0 {
            self.store.remove(EVACUATIONS, DOMAINS[domain]);
        }
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, [usize; DOMAINS.len()]> {
        let evacuations = self.evacuations.lock();
        evacuations.unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills all instances and prevents restarts.
    pub fn close(&self) {
        for member in &self.members {
            member.instance().close();
        }
    }

    /// Returns the proxy of a link.
    pub fn proxy(&self, link: Link) -> Proxy {
        match link {
            Link::Store(instance) => self.members[instance].store_proxy.clone(),
            Link::Peer(instance) => self.members[instance].peer_proxy.clone(),
            Link::Callers(instance) => self.members[instance].caller_proxy.clone(),
            Link::Replica(replica) => self.replicas.get(replica).proxy.clone(),
        }
    }
}

/// Creates an instance and its proxies without starting the process.
async fn create_member(
    program: &Path,
    directory: &Path,
    number: usize,
    hang_ups: HangUps,
    store: &Store,
    store_address: SocketAddr,
) -> io::Result<Member> {
    // The port of the metrics endpoint is fixed, so each instance needs its own IP address.
    let ip = instance_address(number);
    let [callers, readiness, peers] = free_ports(ip).await?;
    let store_proxy = Proxy::start(store_address).await?;
    let peer_proxy = Proxy::start(peers).await?;
    store.redirect(peers, peer_proxy.address());
    let node = Node {
        name: format!("instance-{number}"),
        domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        regions: DOMAINS
            .map(|d| (d.to_owned(), format!("region-{d}")))
            .into(),
        callers,
        readiness,
        peers,
        store: store_proxy.address(),
        grace_s: GRACE_S,
    };
    Ok(Member {
        instance: Mutex::new(Instance::new(program, directory, &node, hang_ups)?),
        readiness,
        addresses: [callers, readiness, peers],
        caller_proxy: Proxy::start(callers).await?,
        peer_proxy,
        store_proxy,
    })
}

/// Loopback address of an instance. It contains the process id, so that runs in other processes use
/// other addresses at the same time.
fn instance_address(number: usize) -> IpAddr {
    let run = std::process::id();
    let part = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
    let last = u8::try_from(number + 2).unwrap_or(u8::MAX);
    // Other tests use 127.0.x.x.
    Ipv4Addr::new(127, part(run / 250).max(2), part(run), last).into()
}

/// Finds different free ports at `ip`.
async fn free_ports(ip: IpAddr) -> io::Result<[SocketAddr; 3]> {
    let bind = || TcpListener::bind((ip, 0));
    // All are bound at the same time, or the second could be the first one again.
    let (first, second, third) = future::try_join3(bind(), bind(), bind()).await?;
    Ok([
        first.local_addr()?,
        second.local_addr()?,
        third.local_addr()?,
    ])
}

fn configuration_document(number: u64, set: usize) -> Value {
    let route = |kind, backend, timeout_ms, objective_ms| {
        let route = Route {
            prefix: path_prefix(kind).to_owned(),
            backend,
            idempotent: kind != RequestKind::Job,
            timeout_ms,
            objective_ms,
            attempts: 3,
        };
        route.document(HOST)
    };
    let query = Backend::Shards {
        services: shards(set),
        top_k: RECORD_LIMIT,
        min_ratio: MIN_SHARD_SHARE,
    };
    let single = |service: String| Backend::Single(service);
    let split = Backend::Split((0..VERSION_SERVICES).map(version_service).collect());
    let routes = [
        route(RequestKind::Query, query, 1_000, 300),
        route(
            RequestKind::Fetch,
            single(FETCH_SERVICE.to_owned()),
            2_000,
            500,
        ),
        route(RequestKind::Job, single(JOB_SERVICE.to_owned()), 2_000, 500),
        route(
            RequestKind::Version,
            single(version_service(number)),
            1_000,
            300,
        ),
        route(RequestKind::Split, split, 2_000, 500),
    ];
    let versions = (0..VERSION_SERVICES).map(version_service);
    let services = (0..SHARD_SETS.len()).flat_map(shards).chain(versions);
    let services: Vec<_> = services
        .chain([FETCH_SERVICE, JOB_SERVICE].map(str::to_owned))
        .collect();
    let mut document = documents::configuration(number, &routes, &services, MAX_CONNECTIONS);
    for service in document["Services"].as_array_mut().into_iter().flatten() {
        service["ColdPerS"] = json!(COLD_RATE);
    }
    document
}

/// Path of the directory for the files of a run, below the system's directory for temporary files.
pub fn run_directory(seed: u64) -> PathBuf {
    let name = format!("marigoldloom-soak-{}-{seed}", std::process::id());
    std::env::temp_dir().join(name)
}
