//! The replicas of a run: where they are, what they run as, and how they come and go.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use marigoldloom_standin::users::documents::{self, REPLICAS};
use marigoldloom_standin::users::replica::{ReceivedRequest, Replica};
use marigoldloom_standin::users::server::{self, Behaviour, Execution, Identity};
use marigoldloom_standin::users::store::Store;

use crate::history::{Closed, History, Run, Scope};
use crate::proxy::Proxy;
use crate::world::{DOMAINS, FILES, JOBS, SETS, VERSIONS, shards, version_service};

/// Replicas of the services for fetches and jobs.
const COPIES: usize = 3;

/// Requests that a replica runs at a time, as far as it says.
const SLOTS: u32 = 4;

/// Shortest time of a request, and by how much others are longer at most, in milliseconds.
const WORK_LEAST_MS: u64 = 2;
const WORK_SPREAD_MS: u64 = 24;

/// Time that a replica serves after it has announced that it leaves. The operators state 3 s and
/// a little longer, at times many seconds.
const DRAIN: Duration = Duration::from_secs(6);

/// Time from the end of a replica to the next use of its address, as the operators state it.
const REUSE: Duration = Duration::from_secs(2);

/// A place for a replica.
pub struct Site {
    /// Its number.
    number: usize,
    /// Failure domain.
    domain: usize,
    /// Before the replica; its address is the one that is announced.
    pub proxy: Proxy,
    state: Mutex<State>,
    behaviour: Arc<Mutex<Behaviour>>,
}

struct State {
    identity: Identity,
    replica: Option<Replica>,
    /// Processes started so far.
    started: u32,
    /// Whether it leaves or has left.
    leaving: bool,
}

/// All replicas. Clones share them.
#[derive(Clone)]
pub struct Sites {
    history: History,
    store: Store,
    sites: Arc<Mutex<Vec<Arc<Site>>>>,
}

impl Site {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn behave(&self, behaviour: Behaviour) {
        *self
            .behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = behaviour;
    }
}

/// The number of replicas at the start.
pub fn count() -> usize {
    initial().len()
}

/// Service, whether it is a shard, and failure domain of each replica at the start.
fn initial() -> Vec<(String, bool, usize)> {
    let sets = (0..SETS.len()).flat_map(shards);
    let parts = sets.flat_map(|shard| (0..DOMAINS.len()).map(move |d| (shard.clone(), true, d)));
    let copies = [FILES, JOBS].into_iter().flat_map(|service| {
        (0..COPIES).map(move |n| (service.to_owned(), false, n % DOMAINS.len()))
    });
    let versions = (0..VERSIONS)
        .flat_map(|n| (0..DOMAINS.len()).map(move |domain| (version_service(n), false, domain)));
    parts.chain(copies).chain(versions).collect()
}

impl Sites {
    /// Starts the replicas and announces them.
    pub(crate) async fn start(history: &History, store: &Store) -> io::Result<Self> {
        let sites = Self {
            history: history.clone(),
            store: store.clone(),
            sites: Arc::default(),
        };
        for (service, shard, domain) in initial() {
            sites.add(service, shard, domain, None).await?;
        }
        Ok(sites)
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Site>>> {
        self.sites.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The site with a number.
    pub fn get(&self, number: usize) -> Arc<Site> {
        Arc::clone(&self.list()[number])
    }

    /// Adds a replica, at the address of `proxy` if there is one.
    async fn add(
        &self,
        service: String,
        shard: bool,
        domain: usize,
        proxy: Option<Proxy>,
    ) -> io::Result<()> {
        let proxy = match proxy {
            Some(proxy) => proxy,
            None => Proxy::start(nowhere()).await?,
        };
        let number = self.list().len();
        let identity = Identity {
            id: format!("i-{number}-0"),
            service,
            shard,
        };
        let site = Arc::new(Site {
            number,
            domain,
            proxy,
            state: Mutex::new(State {
                identity,
                replica: None,
                started: 0,
                leaving: false,
            }),
            behaviour: Arc::default(),
        });
        self.list().push(Arc::clone(&site));
        self.history.record().domains.push(domain);
        self.launch(&site).await
    }

    /// Starts a process at a site and announces it under a new id.
    async fn launch(&self, site: &Arc<Site>) -> io::Result<()> {
        let identity = {
            let mut state = site.state();
            state.started += 1;
            state.identity.id = format!("i-{}-{}", site.number, state.started);
            state.identity.clone()
        };
        let (history, number) = (self.history.clone(), site.number);
        let (own, behaviour) = (identity.clone(), Arc::clone(&site.behaviour));
        let react = move |request: &ReceivedRequest| {
            let behaviour = *behaviour.lock().unwrap_or_else(PoisonError::into_inner);
            let (fate, reaction) = server::respond(&own, behaviour, work(request), request);
            if fate == Execution::Run {
                let at = history.now();
                history.record().runs.push(run(&own, number, at, request));
            }
            reaction
        };
        let replica = Replica::start(react).await?;
        site.proxy.aim(replica.address());
        site.state().replica = Some(replica);
        let announcement = self.announcement(site, &identity);
        self.store.put(REPLICAS, &identity.id, announcement);
        Ok(())
    }

    fn announcement(&self, site: &Site, identity: &Identity) -> serde_json::Value {
        let domain = DOMAINS[site.domain];
        documents::announcement(&identity.service, domain, site.proxy.address(), SLOTS)
    }

    /// Ends the process at a site. Returns its id, if it had one.
    fn end(&self, site: &Site) -> Option<String> {
        let mut state = site.state();
        let replica = state.replica.take()?;
        // Its port may soon belong to another run on this machine.
        site.proxy.aim(nowhere());
        replica.crash();
        site.proxy.reset();
        Some(state.identity.id.clone())
    }

    /// A replica crashes and starts again under another id.
    pub(crate) async fn crash(&self, number: usize, down: Duration) -> io::Result<()> {
        let site = self.get(number);
        if site.state().leaving {
            return Ok(());
        }
        let disturbance = self.history.disturb(Scope::Replica(number));
        let old = self.end(&site);
        task::sleep(down).await;
        if let Some(old) = old.filter(|_| !site.state().leaving) {
            self.store.remove(REPLICAS, &old);
            self.launch(&site).await?;
        }
        self.history.settle(disturbance);
        Ok(())
    }

    /// A replica misbehaves for a while.
    pub(crate) async fn misbehave(&self, number: usize, behaviour: Behaviour, time: Duration) {
        let site = self.get(number);
        let disturbance = self.history.disturb(Scope::Replica(number));
        site.behave(behaviour);
        task::sleep(time).await;
        site.behave(Behaviour::Sound);
        self.history.settle(disturbance);
    }

    /// A replica is replaced: another one starts first, and one of another service takes its
    /// address afterwards.
    pub(crate) async fn leave(&self, number: usize) -> io::Result<()> {
        let site = self.get(number);
        let identity = {
            let mut state = site.state();
            if state.leaving || state.replica.is_none() {
                return Ok(());
            }
            state.leaving = true;
            state.identity.clone()
        };
        self.add(identity.service.clone(), identity.shard, site.domain, None)
            .await?;
        let draining = documents::draining(self.announcement(&site, &identity));
        self.store.put(REPLICAS, &identity.id, draining);
        self.history.close(Closed::Replica(number));
        task::sleep(DRAIN).await;
        self.store.remove(REPLICAS, &identity.id);
        self.end(&site);
        task::sleep(REUSE).await;
        let proxy = site.proxy.clone();
        self.add(FILES.to_owned(), false, site.domain, Some(proxy))
            .await
    }
}

/// The time of a request, which follows from its id.
fn work(request: &ReceivedRequest) -> Duration {
    let id = request.id().unwrap_or_default();
    let sum: u64 = id.bytes().map(u64::from).sum();
    Duration::from_millis(WORK_LEAST_MS + sum % WORK_SPREAD_MS)
}

fn run(own: &Identity, replica: usize, at: Duration, request: &ReceivedRequest) -> Run {
    let line = request.line();
    Run {
        id: Arc::from(request.id().unwrap_or_default()),
        replica,
        service: Arc::from(own.service.as_str()),
        at,
        line: line.strip_suffix(" HTTP/1.1").unwrap_or(line).to_owned(),
        body: request.body.clone(),
        patience: request.timeout(),
    }
}

/// An address that nobody listens on.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
