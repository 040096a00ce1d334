//! The replicas of a run: their endpoints, processes, faults and replacements.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::task;
use marigoldloom_standin::users::documents::{self, REPLICAS, ROLLOUTS, VERSION};
use marigoldloom_standin::users::replica::{Copy, ReceivedRequest, Replica, ScriptedResponse};
use marigoldloom_standin::users::server::{self, Behaviour, Echo, Identity, RunStatus};
use marigoldloom_standin::users::store::Store;

use crate::deployment::{
    DOMAINS, FETCH_SERVICE, JOB_SERVICE, SHARD_SETS, VERSION_SERVICES, shards, version_service,
};
use crate::history::{ColdPeriod, DrainTarget, Execution, History, Refusal, Scope};
use crate::plan::VersionFault;
use crate::proxy::Proxy;

/// Number of replicas of the fetch service and of the job service.
const REPLICAS_PER_SERVICE: usize = 3;

/// Number of concurrent requests that a replica announces.
const SLOTS: u32 = 4;

/// Minimum processing time of a request, in milliseconds.
const MIN_WORK_MS: u64 = 2;

/// Number of different processing times, each 1 ms longer than the one before.
const WORK_RANGE_MS: u64 = 24;

/// Time from the announcement that a replica drains to its stop. The operators state slightly more
/// than 3 s, and sometimes many seconds.
const DRAIN_TIME: Duration = Duration::from_secs(6);

/// Time from the stop of a replica to the reuse of its address, as the operators state it.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

/// Mark in the path of requests that crash the replicas that run them.
pub const CRASH_MARK: &str = "/crash-";

/// Time from such a crash to the restart.
const CRASH_TIME: Duration = Duration::from_millis(1_500);

/// A stuttering replica repeats one of so many responses.
const STUTTER_PERIOD: u64 = 3;

/// Version to which services are moved.
const NEW_VERSION: &str = "v2";

/// Number of requests within [`LOAD_TIME`] from which a new version is under load.
const LOAD_REQUESTS: usize = 3;

/// Time over which the load of a new version is measured.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// Time after the end of a move's window until its status is read.
const STATUS_TIME: Duration = Duration::from_secs(2);

/// A replica's address and the processes that run behind it, one after the other.
pub struct Endpoint {
    /// Index of the replica.
    number: usize,
    /// Index of the failure domain.
    domain: usize,
    /// Proxy in front of the process. Its address is the announced one.
    pub proxy: Proxy,
    /// Version of its software.
    version: String,
    state: Mutex<State>,
    manner: Arc<Mutex<Manner>>,
}

/// How a replica responds at present.
#[derive(Clone, Copy, Debug, Default)]
struct Manner {
    behaviour: Behaviour,
    stutter: Option<Stutter>,
    /// Whether it says that it leaves.
    leaving: bool,
    /// Time for which it wants no requests, stated in refusals. It refuses all requests if it is set.
    pause: Option<Duration>,
    /// When it stops being cold.
    cold_until: Option<Duration>,
}

/// How a replica repeats some of its responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stutter {
    pub(crate) copy: Copy,
    pub(crate) echo: Echo,
}

struct State {
    identity: Identity,
    replica: Option<Replica>,
    /// Number of processes started so far.
    start_count: u32,
    /// Whether the replica is being replaced or has been replaced.
    leaving: bool,
}

/// All replicas in the order of their indexes. Clones share them.
#[derive(Clone)]
pub struct Replicas {
    history: History,
    store: Store,
    endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>>,
    /// Times of the latest requests to new versions, by service.
    loads: Arc<Mutex<BTreeMap<String, Vec<Duration>>>>,
}

impl Endpoint {
    fn lock_state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_manner(&self) -> std::sync::MutexGuard<'_, Manner> {
        self.manner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock_manner().behaviour = behaviour;
    }
}

/// Number of replicas at the start of a run.
pub fn count() -> usize {
    initial_replicas().len()
}

/// Service, whether that is a shard, and index of the failure domain of each replica at the start.
fn initial_replicas() -> Vec<(String, bool, usize)> {
    let all_shards = (0..SHARD_SETS.len()).flat_map(shards);
    let shard_replicas =
        all_shards.flat_map(|shard| (0..DOMAINS.len()).map(move |d| (shard.clone(), true, d)));
    let single_replicas = [FETCH_SERVICE, JOB_SERVICE]
        .into_iter()
        .flat_map(|service| {
            (0..REPLICAS_PER_SERVICE).map(move |n| (service.to_owned(), false, n % DOMAINS.len()))
        });
    let version_replicas = (0..VERSION_SERVICES)
        .flat_map(|n| (0..DOMAINS.len()).map(move |domain| (version_service(n), false, domain)));
    shard_replicas
        .chain(single_replicas)
        .chain(version_replicas)
        .collect()
}

impl Replicas {
    /// Starts the initial replicas and announces them in `store`.
    pub(crate) async fn start(history: &History, store: &Store) -> io::Result<Self> {
        let replicas = Self {
            history: history.clone(),
            store: store.clone(),
            endpoints: Arc::default(),
            loads: Arc::default(),
        };
        for (service, shard, domain) in initial_replicas() {
            replicas.add(service, shard, domain, VERSION, None).await?;
        }
        Ok(replicas)
    }

    fn lock_endpoints(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Endpoint>>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the endpoint of the replica `number`.
    pub fn get(&self, number: usize) -> Arc<Endpoint> {
        Arc::clone(&self.lock_endpoints()[number])
    }

    /// Adds a replica behind `proxy`, or behind a new proxy if there is none. Returns its index.
    async fn add(
        &self,
        service: String,
        shard: bool,
        domain: usize,
        version: &str,
        proxy: Option<Proxy>,
    ) -> io::Result<usize> {
        let proxy = match proxy {
            Some(proxy) => proxy,
            None => Proxy::start(unused_address()).await?,
        };
        let number = self.lock_endpoints().len();
        let identity = Identity {
            id: format!("i-{number}-0"),
            service,
            shard,
        };
        let endpoint = Arc::new(Endpoint {
            number,
            domain,
            proxy,
            version: version.to_owned(),
            state: Mutex::new(State {
                identity,
                replica: None,
                start_count: 0,
                leaving: false,
            }),
            manner: Arc::default(),
        });
        self.lock_endpoints().push(Arc::clone(&endpoint));
        self.history.observations().domains.push(domain);
        self.start_process(&endpoint).await?;
        Ok(number)
    }

    /// Starts a process behind an endpoint and announces it under a new id.
    async fn start_process(&self, endpoint: &Arc<Endpoint>) -> io::Result<()> {
        let identity = {
            let mut state = endpoint.lock_state();
            state.start_count += 1;
            state.identity.id = format!("i-{}-{}", endpoint.number, state.start_count);
            state.identity.clone()
        };
        let (history, number) = (self.history.clone(), endpoint.number);
        let (replica_identity, manner) = (identity.clone(), Arc::clone(&endpoint.manner));
        let replicas = self.clone();
        let respond = move |request: &ReceivedRequest| {
            // Read before the manner, which may change meanwhile.
            let at = history.now();
            let manner = *manner.lock().unwrap_or_else(PoisonError::into_inner);
            let behaviour = match manner.behaviour {
                _ if manner.pause.is_some() => Behaviour::Shedding,
                Behaviour::FailingUnderLoad if !replicas.is_loaded(&replica_identity.service) => {
                    Behaviour::Sound
                }
                behaviour => behaviour,
            };
            let (run_status, response) =
                server::respond(&replica_identity, behaviour, work_time(request), request);
            if is_refusal(run_status, &response) {
                history.observations().refusals.push(Refusal {
                    id: Arc::from(request.id().unwrap_or_default()),
                    replica: number,
                    at,
                    pause: manner.pause,
                });
            }
            if run_status == RunStatus::Run {
                history.observations().executions.push(execution(
                    &replica_identity,
                    number,
                    at,
                    request,
                ));
            }
            match run_status {
                RunStatus::Run if crashes(request) => {
                    replicas.spawn_crash(number);
                    ScriptedResponse::crash()
                }
                _ => manner.apply(at, run_status, request, response),
            }
        };
        let replica = Replica::start(respond).await?;
        endpoint.proxy.set_target(replica.address());
        endpoint.proxy.reopen()?;
        endpoint.lock_state().replica = Some(replica);
        let announcement = self.announcement(endpoint, &identity);
        self.store.put(REPLICAS, &identity.id, announcement);
        Ok(())
    }

    /// Counts a request to the new version of `service`. Returns whether it gets them at the rate
    /// that it has after the move.
    fn is_loaded(&self, service: &str) -> bool {
        let now = self.history.now();
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = loads.entry(service.to_owned()).or_default();
        recent.retain(|at| *at + LOAD_TIME > now);
        recent.push(now);
        recent.len() >= LOAD_REQUESTS
    }

    fn announcement(&self, endpoint: &Endpoint, identity: &Identity) -> serde_json::Value {
        let (domain, address) = (DOMAINS[endpoint.domain], endpoint.proxy.address());
        let announcement = documents::announcement(&identity.service, domain, address, SLOTS);
        let announcement = documents::with_version(announcement, &endpoint.version);
        let left = endpoint.lock_manner().cold_left(self.history.now());
        documents::with_warmup(announcement, left)
    }

    /// Ends the process behind an endpoint. Returns its id, or `None` if no process ran.
    fn stop_process(&self, endpoint: &Endpoint) -> Option<String> {
        let mut state = endpoint.lock_state();
        let replica = state.replica.take()?;
        // Another run on this machine may soon get the port of the process.
        endpoint.proxy.set_target(unused_address());
        replica.crash();
        endpoint.proxy.close();
        Some(state.identity.id.clone())
    }

    /// Crashes a replica and restarts it under a new id after `down`.
    pub(crate) async fn crash(&self, number: usize, down: Duration) -> io::Result<()> {
        let endpoint = self.get(number);
        if endpoint.lock_state().leaving {
            return Ok(());
        }
        let disruption = self.history.begin_disruption(Scope::Replica(number));
        let old = self.stop_process(&endpoint);
        task::sleep(down).await;
        if let Some(old) = old.filter(|_| !endpoint.lock_state().leaving) {
            self.store.remove(REPLICAS, &old);
            self.start_process(&endpoint).await?;
        }
        self.history.end_disruption(disruption);
        Ok(())
    }

    /// Crashes a replica that runs a request which crashes replicas.
    fn spawn_crash(&self, number: usize) {
        let replicas = self.clone();
        let crash = async move {
            // A replica that can't be started again stays down, as after a crash for good.
            let _ = replicas.crash(number, CRASH_TIME).await;
        };
        // Boxed, because a crash starts a process that may crash.
        let crash: Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(crash);
        task::spawn(crash);
    }

    /// Orders a move of `service` to a new version and starts its replicas. At the end stops those
    /// of the version that isn't in use any more.
    pub(crate) async fn move_version(
        &self,
        service: &str,
        fault: VersionFault,
        window: Duration,
    ) -> io::Result<()> {
        let old: Vec<_> = self
            .lock_endpoints()
            .iter()
            .filter(|e| e.lock_state().identity.service == service)
            .cloned()
            .collect();
        let shard = old.iter().any(|e| e.lock_state().identity.shard);
        self.store.put(
            ROLLOUTS,
            service,
            documents::rollout(service, NEW_VERSION, window.as_secs()),
        );
        let index = self.history.begin_move(service, window);
        let mut new = Vec::new();
        for domain in 0..DOMAINS.len() {
            let added = self.add(service.to_owned(), shard, domain, NEW_VERSION, None);
            new.push(self.get(added.await?));
        }
        let numbers = new.iter().map(|e| e.number).collect();
        self.history.observations().moves[index].replicas = numbers;
        let sound_time = match fault {
            VersionFault::FailsLater => window / 2,
            _ => Duration::ZERO,
        };
        task::sleep(sound_time).await;
        if let Some(behaviour) = fault.behaviour() {
            self.history.observations().moves[index].bad_from = Some(self.history.now());
            new.iter().for_each(|e| e.set_behaviour(behaviour));
        }
        task::sleep(window.saturating_sub(sound_time) + STATUS_TIME).await;
        let state = self.store.status(ROLLOUTS, service)["State"].clone();
        let completed = state == "completed";
        self.history.observations().moves[index].state = Some(state.to_string());
        new.iter().for_each(|e| e.set_behaviour(Behaviour::Sound));
        let leaving = if completed { old } else { new };
        for endpoint in &leaving {
            endpoint.lock_state().leaving = true;
            let identity = endpoint.lock_state().identity.clone();
            let draining = documents::draining(self.announcement(endpoint, &identity));
            if !completed {
                self.store.put(REPLICAS, &identity.id, draining);
            }
        }
        if !completed {
            task::sleep(DRAIN_TIME).await;
        }
        for endpoint in &leaving {
            let stopped = self.stop_process(endpoint);
            stopped.inspect(|id| self.store.remove(REPLICAS, id));
        }
        Ok(())
    }

    /// Makes a replica misbehave for `time`.
    pub(crate) async fn misbehave(&self, number: usize, behaviour: Behaviour, time: Duration) {
        let endpoint = self.get(number);
        let disruption = self.history.begin_disruption(Scope::Replica(number));
        endpoint.set_behaviour(behaviour);
        task::sleep(time).await;
        endpoint.set_behaviour(Behaviour::Sound);
        self.history.end_disruption(disruption);
    }

    /// Makes a replica send some responses twice for `time`.
    pub(crate) async fn stutter(&self, number: usize, stutter: Stutter, time: Duration) {
        let endpoint = self.get(number);
        endpoint.lock_manner().stutter = Some(stutter);
        task::sleep(time).await;
        endpoint.lock_manner().stutter = None;
    }

    /// Replicas of `service` that run and don't leave.
    fn of_service(&self, service: &str) -> Vec<Arc<Endpoint>> {
        let endpoints = self.lock_endpoints();
        let present = endpoints.iter().filter(|e| {
            let state = e.lock_state();
            state.identity.service == service && state.replica.is_some() && !state.leaving
        });
        present.cloned().collect()
    }

    /// Makes up to `count` replicas of `service` refuse all requests for `time`, and ask for none for
    /// `pause`.
    pub(crate) async fn decline(
        &self,
        service: &str,
        count: usize,
        pause: Duration,
        time: Duration,
    ) {
        let mut endpoints = self.of_service(service);
        endpoints.truncate(count);
        for endpoint in &endpoints {
            endpoint.lock_manner().pause = Some(pause);
        }
        task::sleep(time).await;
        for endpoint in &endpoints {
            endpoint.lock_manner().pause = None;
        }
    }

    /// Makes the replicas of a failure domain cold for `time`.
    pub(crate) async fn chill(&self, domain: usize, time: Duration) {
        let endpoints: Vec<_> = self.lock_endpoints().clone();
        let endpoints = endpoints.into_iter().filter(|e| {
            let state = e.lock_state();
            e.domain == domain && state.replica.is_some() && !state.leaving
        });
        let endpoints: Vec<_> = endpoints.collect();
        for endpoint in &endpoints {
            let until = self.history.now() + time;
            endpoint.lock_manner().cold_until = Some(until);
            self.announce(endpoint);
            let from = self.history.now();
            self.history.observations().cold_periods.push(ColdPeriod {
                replica: endpoint.number,
                from,
                until,
            });
        }
        task::sleep(time).await;
        for endpoint in &endpoints {
            endpoint.lock_manner().cold_until = None;
            self.announce(endpoint);
        }
    }

    /// Writes the announcement of a replica that runs and doesn't leave.
    fn announce(&self, endpoint: &Endpoint) {
        let state = endpoint.lock_state();
        if state.replica.is_some() && !state.leaving {
            let announcement = self.announcement(endpoint, &state.identity);
            self.store.put(REPLICAS, &state.identity.id, announcement);
        }
    }

    /// Replaces a replica of `service`, whose entry tells that it leaves `entry_delay` after its
    /// responses do.
    pub(crate) async fn leave(
        &self,
        service: &str,
        slow: bool,
        entry_delay: Duration,
    ) -> io::Result<()> {
        let Some(endpoint) = self.of_service(service).into_iter().next() else {
            return Ok(());
        };
        if slow {
            endpoint.set_behaviour(Behaviour::Slow);
        }
        self.replace_slowly(endpoint.number, entry_delay).await
    }

    /// Replaces a replica: starts another one of the same service, drains and stops the old one,
    /// and then starts a replica of the fetch service at the old address.
    pub(crate) async fn replace(&self, number: usize) -> io::Result<()> {
        self.replace_slowly(number, Duration::ZERO).await
    }

    /// Like [`Self::replace`], with a pause between the responses that tell it and the entry.
    async fn replace_slowly(&self, number: usize, entry_delay: Duration) -> io::Result<()> {
        let endpoint = self.get(number);
        let identity = {
            let mut state = endpoint.lock_state();
            if state.leaving || state.replica.is_none() {
                return Ok(());
            }
            state.leaving = true;
            state.identity.clone()
        };
        self.add(
            identity.service.clone(),
            identity.shard,
            endpoint.domain,
            &endpoint.version,
            None,
        )
        .await?;
        endpoint.lock_manner().leaving = true;
        let since = self.history.now();
        self.history.observations().leaving.insert(number, since);
        task::sleep(entry_delay).await;
        let draining = documents::draining(self.announcement(&endpoint, &identity));
        self.store.put(REPLICAS, &identity.id, draining);
        self.history.begin_drain(DrainTarget::Replica(number));
        task::sleep(DRAIN_TIME).await;
        self.store.remove(REPLICAS, &identity.id);
        self.stop_process(&endpoint);
        task::sleep(ADDRESS_REUSE_DELAY).await;
        let proxy = endpoint.proxy.clone();
        self.add(
            FETCH_SERVICE.to_owned(),
            false,
            endpoint.domain,
            VERSION,
            Some(proxy),
        )
        .await?;
        Ok(())
    }
}

impl Manner {
    /// How much longer the replica is cold.
    fn cold_left(&self, now: Duration) -> Duration {
        self.cold_until.unwrap_or_default().saturating_sub(now)
    }

    /// Changes the response to a request that arrived `at` this time.
    fn apply(
        &self,
        at: Duration,
        status: RunStatus,
        request: &ReceivedRequest,
        response: ScriptedResponse,
    ) -> ScriptedResponse {
        let mut lines = String::new();
        if self.leaving {
            lines.push_str("Server-Leaving: 1\r\n");
        }
        if let Some(pause) = self.pause.filter(|_| is_refusal(status, &response)) {
            lines.push_str(&format!("Retry-After: {}\r\n", pause.as_secs()));
        }
        if is_probe(request) {
            let left = self.cold_left(at).as_millis();
            lines.push_str(&format!("Warmup-Ms: {left}\r\n"));
        }
        let response = response.with_headers(&lines);
        match self.stutter {
            Some(stutter) => ScriptedResponse {
                copy: match byte_sum(request) % STUTTER_PERIOD {
                    0 => stutter.copy,
                    _ => Copy::Never,
                },
                ..stutter.echo.apply(status, response)
            },
            None => response,
        }
    }
}

fn is_probe(request: &ReceivedRequest) -> bool {
    request.line().starts_with("GET /health ")
}

/// Whether a request was refused with status 503.
fn is_refusal(status: RunStatus, response: &ScriptedResponse) -> bool {
    status == RunStatus::NotRun && response.bytes.starts_with(b"HTTP/1.1 503 ")
}

/// Whether a request crashes the replica that runs it.
fn crashes(request: &ReceivedRequest) -> bool {
    request.line().contains(CRASH_MARK)
}

/// Processing time of a request, derived from its id.
fn work_time(request: &ReceivedRequest) -> Duration {
    Duration::from_millis(MIN_WORK_MS + byte_sum(request) % WORK_RANGE_MS)
}

/// Sum of the bytes of a request's id.
fn byte_sum(request: &ReceivedRequest) -> u64 {
    let id = request.id().unwrap_or_default();
    id.bytes().map(u64::from).sum()
}

fn execution(
    identity: &Identity,
    replica: usize,
    at: Duration,
    request: &ReceivedRequest,
) -> Execution {
    let line = request.line();
    Execution {
        id: Arc::from(request.id().unwrap_or_default()),
        replica,
        service: Arc::from(identity.service.as_str()),
        at,
        line: line.strip_suffix(" HTTP/1.1").unwrap_or(line).to_owned(),
        body: request.body.clone(),
        timeout: request.timeout(),
    }
}

/// Address on which no process listens.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
