//! A fleet of fake upstreams on virtual time, with a ledger of what really ran.

use std::collections::{BTreeMap, VecDeque};
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use marigoldloom_records::{failure_domain, instance, record, service, upstream as listed};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

/// A body that crashes each upstream that runs it.
pub const CRASH_BODY: &[u8] = b"crash";

/// Waiting requests per slot from which an upstream sheds.
const QUEUE_PER_SLOT: usize = 8;

/// Shape of a fleet that serves one service.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Service name.
    pub service: String,
    /// Shards.
    pub shards: u32,
    /// Replicas of each shard.
    pub replicas: u32,
    /// Failure domains; the replicas of a shard are spread over them.
    pub domains: u32,
    /// Requests that a warm upstream runs at a time.
    pub slots: u32,
    /// Requests that a cold upstream runs at a time.
    pub cold_slots: u32,
    /// Time from start to warm.
    pub cold_time: Duration,
    /// Median service time when warm.
    pub median: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Network delay, one way, to the first failure domain, which is the caller's.
    pub network: Duration,
    /// Network delay, one way, to the other failure domains.
    pub remote: Duration,
    /// Time to open a connection.
    pub connect: Duration,
    /// Answers per thousand that belong to another subquery.
    pub crossed: u64,
    /// Whether reports say the contrary of the truth.
    pub lies: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            service: "search".to_owned(),
            shards: 8,
            replicas: 2,
            domains: 3,
            slots: 3,
            cold_slots: 2,
            cold_time: Duration::from_secs(1),
            median: Duration::from_millis(20),
            sigma: 0.4,
            network: Duration::from_micros(500),
            remote: Duration::from_micros(500),
            connect: Duration::from_millis(6),
            crossed: 0,
            lies: false,
        }
    }
}

/// What a fake upstream does with new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves.
    Up,
    /// Refuses connections.
    Down,
    /// Accepts connections and never answers.
    Silent,
    /// Refuses as draining.
    Draining,
}

/// One request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When its bytes arrived.
    pub at: Timestamp,
    /// Upstream.
    pub upstream: Arc<str>,
    /// The caller's request.
    pub request: message::RequestId,
    /// Shard.
    pub shard: u32,
    /// Snapshot asked for.
    pub snapshot: service::Snapshot,
    /// Whether it began to run.
    pub ran: bool,
    /// Whether its answer was handed over.
    pub answered: bool,
}

/// Ground truth about a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests in order of arrival.
    pub entries: Vec<Entry>,
    /// Names of upstreams that crashed, in order.
    pub crashes: Vec<Arc<str>>,
    /// Greatest excess of running requests over the cold slots of a cold upstream.
    pub overrun: u32,
    /// Most requests that ran or waited at one upstream at a time.
    pub peak: usize,
}

struct Server {
    record: listed::Upstream,
    mode: Mode,
    slowness: f64,
    lies: bool,
    /// Reports of the past, oldest first, while reports lag.
    reports: VecDeque<(Timestamp, message::Report)>,
    start: u64,
    started: Timestamp,
    idle: u32,
    running: BTreeMap<u64, oneshot::Sender<()>>,
    queue: VecDeque<oneshot::Sender<()>>,
}

struct State {
    servers: BTreeMap<Arc<str>, Server>,
    ledger: Ledger,
    next: u64,
    answers: Answers,
}

/// Faults of answers on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Answers per thousand that belong to another subquery.
    pub crossed: u64,
    /// Answers per thousand that come late.
    pub late: u64,
    /// Time by which those are late.
    pub delay: Duration,
    /// Age of the load and state in a report. The start id is always that of the process
    /// that answers.
    pub lag: Duration,
}

/// The fleet; clones share all state.
#[derive(Clone)]
pub struct Fleet<R> {
    rt: R,
    plan: Arc<Plan>,
    state: Arc<Mutex<State>>,
}

impl<R: Runtime> Fleet<R> {
    /// Starts a fleet. Its upstreams are cold.
    pub fn new(rt: &R, plan: Plan) -> Self {
        let mut servers = BTreeMap::new();
        for shard in 0..plan.shards {
            for replica in 0..plan.replicas {
                let record = listing(&plan, shard, replica);
                let server = Server {
                    record: record.clone(),
                    mode: Mode::Up,
                    slowness: 1.0,
                    lies: plan.lies,
                    reports: VecDeque::new(),
                    start: 1,
                    started: rt.now(),
                    idle: 0,
                    running: BTreeMap::new(),
                    queue: VecDeque::new(),
                };
                servers.insert(Arc::from(record.name), server);
            }
        }
        let state = State {
            servers,
            ledger: Ledger::default(),
            next: 0,
            answers: Answers {
                crossed: plan.crossed,
                ..Answers::default()
            },
        };
        Self {
            rt: rt.clone(),
            plan: Arc::new(plan),
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The records that describe the fleet at present. All routes but `book` are idempotent.
    pub fn records(&self) -> Vec<record::AnyRecord> {
        let state = self.lock();
        let epoch = state.servers.values().map(|s| s.record.epoch).max();
        let shards = self.plan.shards;
        let version = service::Version {
            shards,
            epoch: epoch.unwrap_or(0),
        };
        let route = |name: &str, idempotent| (name.to_owned(), service::Route { idempotent });
        let service = service::Service {
            schema: record::SCHEMA,
            name: self.plan.service.clone(),
            active: "v1".to_owned(),
            versions: BTreeMap::from([("v1".to_owned(), version)]),
            routes: BTreeMap::from([route("find", true), route("book", false)]),
            deadline_ms: 1_000,
            extra: record::Extra::new(),
        };
        let upstreams = state.servers.values();
        let upstreams = upstreams.map(|s| record::AnyRecord::Upstream(s.record.clone()));
        [record::AnyRecord::Service(service)]
            .into_iter()
            .chain(upstreams)
            .collect()
    }

    /// The ledger up to now.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Names of all upstreams.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().servers.keys().cloned().collect()
    }

    /// Forgets the greatest number of requests at one upstream.
    pub fn clear_peak(&self) {
        self.lock().ledger.peak = 0;
    }

    /// Changes what an upstream does with new requests.
    pub fn set_mode(&self, name: &str, mode: Mode) {
        self.change(name, |server| server.mode = mode);
    }

    /// Multiplies an upstream's service times.
    pub fn slow_down(&self, name: &str, factor: f64) {
        self.change(name, |server| server.slowness = factor);
    }

    /// Sets whether an upstream's reports say the contrary of the truth.
    pub fn mislead(&self, name: &str, lies: bool) {
        self.change(name, |server| server.lies = lies);
    }

    /// Sets the faults of answers on their way.
    pub fn set_answers(&self, answers: Answers) {
        self.lock().answers = answers;
    }

    /// The fleet's shape.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Network delay to an upstream, one way.
    fn network(&self, name: &str) -> Duration {
        let state = self.lock();
        let domain = state.servers.get(name).map(|s| &s.record.domain);
        match domain.is_some_and(|d| *d == domain_name(0)) {
            true => self.plan.network,
            false => self.plan.remote,
        }
    }

    /// Ends an upstream's process: what it runs is lost, and a new process is up, and cold,
    /// after `outage`.
    pub fn crash(&self, name: &str, outage: Duration) {
        let until = self.rt.now() + outage;
        self.change(name, |server| {
            server.running.clear();
            server.queue.clear();
            server.reports.clear();
            server.idle = 0;
            server.start += 1;
            server.started = until;
        });
    }

    /// Moves every upstream to the next shard map epoch.
    pub fn repartition(&self) {
        for server in self.lock().servers.values_mut() {
            server.record.epoch += 1;
        }
    }

    /// Marks an upstream as leaving in its record.
    pub fn leave(&self, name: &str) {
        self.change(name, |s| s.record.state = instance::State::Leaving);
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Server)) {
        if let Some(server) = self.lock().servers.get_mut(name) {
            change(server);
        }
    }

    /// Service time from a log-normal distribution; the sum of twelve uniform numbers
    /// stands for a normal one.
    fn service_time(&self, name: &str) -> Duration {
        let uniform = || self.rt.random() as f64 / u64::MAX as f64;
        let normal = (0..12).map(|_| uniform()).sum::<f64>() - 6.0;
        let mut factor = (self.plan.sigma * normal).exp();
        let now = self.rt.now();
        self.change(name, |s| {
            factor *= s.slowness;
            if s.is_cold(now, self.plan.cold_time) {
                factor *= 2.0;
            }
        });
        self.plan.median.mul_f64(factor)
    }

    fn is_down(&self, name: &str) -> bool {
        let now = self.rt.now();
        let state = self.lock();
        let down = |s: &Server| s.mode == Mode::Down || s.started > now;
        state.servers.get(name).is_none_or(down)
    }

    /// Opens or reuses a connection; returns the start id of the process at its other end.
    /// An unused connection is asked for the process first if that `matters`.
    async fn connect(&self, name: &str, matters: bool) -> Result<u64, upstream::Error> {
        if self.is_down(name) {
            self.rt.sleep(self.network(name) * 2).await;
            return Err(upstream::Error::Unreachable);
        }
        let mut idle = false;
        self.change(name, |s| {
            idle = s.idle > 0;
            s.idle = s.idle.saturating_sub(1);
        });
        if !idle {
            self.rt.sleep(self.plan.connect).await;
        }
        if !idle && matters {
            self.rt.sleep(self.plan.network * 2).await;
        }
        Ok(self.start_id(name))
    }

    fn start_id(&self, name: &str) -> u64 {
        self.lock().servers.get(name).map_or(0, |s| s.start)
    }

    /// Writes the arrival down and checks whether the upstream takes the request.
    fn arrive(&self, name: &Arc<str>, subquery: &message::Subquery) -> Result<usize, Mode> {
        let now = self.rt.now();
        let mut state = self.lock();
        state.ledger.entries.push(Entry {
            at: now,
            upstream: Arc::clone(name),
            request: subquery.request.clone(),
            shard: subquery.shard,
            snapshot: (*subquery.snapshot).clone(),
            ran: false,
            answered: false,
        });
        let mode = state.servers.get(name).map_or(Mode::Down, |s| s.mode);
        match mode {
            Mode::Up => Ok(state.ledger.entries.len() - 1),
            other => Err(other),
        }
    }

    fn refusal(&self, name: &str, subquery: &message::Subquery) -> Option<upstream::Refusal> {
        let now = self.rt.now();
        let state = self.lock();
        let server = state.servers.get(name)?;
        let full = server.queue.len() >= server.slots() * QUEUE_PER_SLOT;
        match () {
            () if server.record.snapshot() != *subquery.snapshot => {
                Some(upstream::Refusal::SnapshotGone)
            }
            () if !server.record.shards.contains(&subquery.shard) => {
                Some(upstream::Refusal::ShardGone)
            }
            () if subquery.deadline <= now => Some(upstream::Refusal::Expired),
            () if full => Some(upstream::Refusal::Shed),
            () => None,
        }
    }

    fn report(&self, name: &str) -> message::Report {
        let now = self.rt.now();
        let mut state = self.lock();
        let lag = state.answers.lag;
        let Some(server) = state.servers.get_mut(name) else {
            return message::Report::default();
        };
        let report = server.report(now, self.plan.cold_time);
        server.reports.push_back((now, report));
        while server.reports.get(1).is_some_and(|r| r.0 + lag <= now) {
            server.reports.pop_front();
        }
        let oldest = server.reports.front().map_or(report, |r| r.1);
        message::Report {
            start_id: report.start_id,
            ..oldest
        }
    }

    async fn queue(&self, name: &Arc<str>) -> Result<(), upstream::Error> {
        loop {
            let turn = {
                let mut state = self.lock();
                let Some(server) = state.servers.get_mut(name) else {
                    return Err(upstream::Error::Lost);
                };
                let waiting = server.queue.iter().filter(|tx| !tx.is_canceled());
                let busy = server.running.len() + waiting.count() + 1;
                state.ledger.peak = state.ledger.peak.max(busy);
                let Some(server) = state.servers.get_mut(name) else {
                    return Err(upstream::Error::Lost);
                };
                if server.running.len() < server.slots() {
                    return Ok(());
                }
                let (tx, rx) = oneshot::channel();
                server.queue.push_back(tx);
                rx
            };
            turn.await.map_err(|_| upstream::Error::Lost)?;
        }
    }

    /// Takes a slot and writes the run down.
    fn begin(&self, name: &Arc<str>, entry: usize) -> (Slot<R>, oneshot::Receiver<()>) {
        let now = self.rt.now();
        let cold_time = self.plan.cold_time;
        let mut state = self.lock();
        state.next += 1;
        let key = state.next;
        let (tx, rx) = oneshot::channel();
        state.ledger.entries[entry].ran = true;
        if let Some(server) = state.servers.get_mut(name) {
            server.running.insert(key, tx);
            let running = u32::try_from(server.running.len()).unwrap_or(u32::MAX);
            let excess = match server.is_cold(now, cold_time) {
                true => running.saturating_sub(server.record.cold_slots),
                false => 0,
            };
            state.ledger.overrun = state.ledger.overrun.max(excess);
        }
        drop(state);
        let slot = Slot {
            fleet: self.clone(),
            name: Arc::clone(name),
            key,
            finished: false,
        };
        (slot, rx)
    }

    /// Runs the request in its slot until it ends, or the process does.
    async fn work(
        &self,
        name: &Arc<str>,
        subquery: &message::Subquery,
        entry: usize,
    ) -> Result<(), upstream::Error> {
        let (mut slot, ended) = self.begin(name, entry);
        let time = self.service_time(name);
        if *subquery.body == *CRASH_BODY {
            let share = self.rt.random() as f64 / u64::MAX as f64;
            self.rt.sleep(time.mul_f64(share)).await;
            self.lock().ledger.crashes.push(Arc::clone(name));
            self.crash(name, Duration::from_millis(500));
            return Err(upstream::Error::Lost);
        }
        match future::select(ended, Box::pin(self.rt.sleep(time))).await {
            future::Either::Left(_) => Err(upstream::Error::Lost),
            future::Either::Right(_) => {
                slot.finished = true;
                Ok(())
            }
        }
    }

    fn reply(&self, name: &str, subquery: &message::Subquery) -> message::Reply {
        message::Reply {
            head: None,
            body: answer_body(subquery.shard, &subquery.snapshot, &subquery.body),
            report: self.report(name),
        }
    }
}

/// The answer that an upstream gives to `body` on one shard of a snapshot.
pub fn answer_body(shard: u32, snapshot: &service::Snapshot, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let service::Snapshot { version, epoch } = snapshot;
    format!("{version}/{epoch}/{shard}:{text}").into_bytes()
}

impl Server {
    fn report(&self, now: Timestamp, cold_time: Duration) -> message::Report {
        let cold = self.is_cold(now, cold_time);
        let load = u32::try_from(self.running.len() + self.queue.len()).unwrap_or(0);
        message::Report {
            load: match self.lies {
                true => 100 - load.min(100),
                false => load,
            },
            capacity: self.record.slots,
            start_id: self.start,
            state: match cold != self.lies {
                true => message::State::Cold,
                false => message::State::Ready,
            },
        }
    }

    fn is_cold(&self, now: Timestamp, cold_time: Duration) -> bool {
        now < self.started + cold_time
    }

    fn slots(&self) -> usize {
        usize::try_from(self.record.slots).unwrap_or(0)
    }
}

/// A slot taken by a request. The upstream hears of a cancellation one network delay later.
struct Slot<R: Runtime> {
    fleet: Fleet<R>,
    name: Arc<str>,
    key: u64,
    finished: bool,
}

impl<R: Runtime> Slot<R> {
    fn release(fleet: &Fleet<R>, name: &str, key: u64) {
        fleet.change(name, |server| {
            server.running.remove(&key);
            while let Some(next) = server.queue.pop_front() {
                if next.send(()).is_ok() {
                    break;
                }
            }
        });
    }
}

impl<R: Runtime> Drop for Slot<R> {
    fn drop(&mut self) {
        let (fleet, name, key) = (self.fleet.clone(), Arc::clone(&self.name), self.key);
        match self.finished {
            true => Self::release(&fleet, &name, key),
            false => {
                let delay = self.fleet.rt.sleep(self.fleet.network(&self.name));
                self.fleet.rt.spawn(async move {
                    delay.await;
                    Self::release(&fleet, &name, key);
                });
            }
        }
    }
}

impl<R: Runtime> upstream::Upstream for Fleet<R> {
    async fn send(
        &self,
        target: &upstream::Target,
        subquery: &message::Subquery,
    ) -> Result<message::Reply, upstream::Error> {
        let name = &target.name;
        let process = self.connect(name, subquery.start_id.is_some()).await?;
        if subquery.start_id.is_some_and(|start| start != process) {
            return Err(upstream::Error::Refused {
                refusal: upstream::Refusal::Restarted,
                report: Some(self.report(name)),
            });
        }
        let network = self.network(name);
        self.rt.sleep(network).await;
        // A connection ends with its process.
        if self.is_down(name) || self.start_id(name) != process {
            return Err(upstream::Error::Lost);
        }
        let entry = match self.arrive(name, subquery) {
            Ok(entry) => entry,
            Err(Mode::Silent) => future::pending().await,
            Err(_) => return Err(refused(upstream::Refusal::Draining)),
        };
        if let Some(refusal) = self.refusal(name, subquery) {
            return Err(refused(refusal));
        }
        self.queue(name).await?;
        self.work(name, subquery, entry).await?;
        self.rt.sleep(network).await;
        let answers = self.lock().answers;
        if answers.late > 0 && self.rt.random() % 1_000 < answers.late {
            self.rt.sleep(answers.delay).await;
        }
        if self.rt.random() % 1_000 < answers.crossed {
            return Err(upstream::Error::Mismatch);
        }
        self.change(name, |s| s.idle += 1);
        self.lock().ledger.entries[entry].answered = true;
        Ok(self.reply(name, subquery))
    }
}

fn refused(refusal: upstream::Refusal) -> upstream::Error {
    upstream::Error::Refused {
        refusal,
        report: None,
    }
}

/// The record of one upstream. Shard `s` has its replicas in consecutive failure domains.
fn listing(plan: &Plan, shard: u32, replica: u32) -> listed::Upstream {
    let domain = (shard + replica) % plan.domains;
    let port = 10_000 + u16::try_from(shard * plan.replicas + replica).unwrap_or(0);
    listed::Upstream {
        schema: record::SCHEMA,
        name: format!("{}-{shard:03}-{replica}", plan.service),
        service: plan.service.clone(),
        version: "v1".to_owned(),
        epoch: 1,
        shards: vec![shard],
        domain: domain_name(domain),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        slots: plan.slots,
        cold_slots: plan.cold_slots,
        connections: 30,
        state: instance::State::Live,
        extra: record::Extra::new(),
    }
}

/// Name of a failure domain of a plan.
pub fn domain_name(index: u32) -> String {
    format!("domain-{index}")
}

/// The record of a failure domain of a plan.
pub fn domain(index: u32, state: failure_domain::State) -> record::AnyRecord {
    record::AnyRecord::FailureDomain(failure_domain::FailureDomain {
        schema: record::SCHEMA,
        name: domain_name(index),
        region: "region".to_owned(),
        state,
        extra: record::Extra::new(),
    })
}
