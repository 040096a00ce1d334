//! A fleet of fake upstreams on virtual time. A ledger records the requests that reached them and
//! what became of these.

use std::collections::{BTreeMap, VecDeque};
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use marigoldloom_records::{
    failure_domain, instance, record, service, upstream as record_upstream,
};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

/// Body of a request that crashes the upstream while it runs.
pub const CRASH_BODY: &[u8] = b"crash";

/// Limit on the queue of an upstream, in requests for each of its slots; further ones are refused.
const QUEUE_PER_SLOT: usize = 8;

/// Size, timing and faults of a fleet that serves one service.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the service.
    pub service: String,
    /// Number of shards.
    pub shards: u32,
    /// Number of replicas of each shard; each replica is one upstream.
    pub replicas: u32,
    /// Number of failure domains; the replicas of a shard are in consecutive ones.
    pub domains: u32,
    /// Greatest number of requests that an upstream runs at a time.
    pub slots: u32,
    /// Greatest number of requests that a cold upstream should be sent at a time. More still run;
    /// the ledger counts the excess.
    pub cold_slots: u32,
    /// Time from the start of an upstream's process until it is warm.
    pub warmup: Duration,
    /// Median service time of a warm upstream; a cold one takes twice the time.
    pub median: Duration,
    /// Standard deviation of the natural logarithm of the service time.
    pub sigma: f64,
    /// One-way network delay to upstreams in the first failure domain, where the caller is.
    pub network: Duration,
    /// One-way network delay to upstreams in the other failure domains.
    pub remote: Duration,
    /// Time to open a connection to an upstream.
    pub connect: Duration,
    /// Answers per thousand that belong to another subquery, until [`Fleet::set_answer_faults`].
    pub crossed_permille: u64,
    /// Whether upstreams report the opposite of their load and state, until
    /// [`Fleet::set_false_reports`].
    pub false_reports: bool,
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
            warmup: Duration::from_secs(1),
            median: Duration::from_millis(20),
            sigma: 0.4,
            network: Duration::from_micros(500),
            remote: Duration::from_micros(500),
            connect: Duration::from_millis(6),
            crossed_permille: 0,
            false_reports: false,
        }
    }
}

/// How a fake upstream treats new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves them.
    Up,
    /// Refuses connections.
    Down,
    /// Accepts connections and requests and never answers.
    Silent,
    /// Refuses requests with `Refusal::Draining`.
    Draining,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Time of its arrival.
    pub at: Timestamp,
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Id of the caller's request that it belongs to.
    pub request: message::RequestId,
    /// Shard that it asks for.
    pub shard: u32,
    /// Snapshot that it asks for.
    pub snapshot: service::Snapshot,
    /// Whether it started to run.
    pub ran: bool,
    /// Whether its answer reached the caller.
    pub answered: bool,
}

/// What really happened at the upstreams of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests in order of arrival.
    pub entries: Vec<Entry>,
    /// Names of upstreams that crashed, in order.
    pub crashes: Vec<Arc<str>>,
    /// Greatest number of requests that a cold upstream ran beyond its cold slots.
    pub cold_excess: u32,
    /// Greatest number of requests that ran or waited at one upstream at a time, since the last
    /// [`Fleet::reset_peak`].
    pub peak_requests: usize,
}

struct FakeUpstream {
    record: record_upstream::Upstream,
    mode: Mode,
    slow_factor: f64,
    false_reports: bool,
    /// Reports that are at most `AnswerFaults::report_age` old and the newest one beyond it, oldest
    /// first.
    reports: VecDeque<(Timestamp, message::Report)>,
    start_id: u64,
    /// Start of the process; in the future while the upstream is down after a crash.
    started: Timestamp,
    /// Number of open connections that carry no request.
    idle: u32,
    /// Senders by run id; dropping one ends the run as lost.
    running: BTreeMap<u64, oneshot::Sender<()>>,
    /// Senders that wake the waiting requests, in order of arrival.
    queue: VecDeque<oneshot::Sender<()>>,
}

struct State {
    servers: BTreeMap<Arc<str>, FakeUpstream>,
    ledger: Ledger,
    next_run: u64,
    answer_faults: AnswerFaults,
}

/// Faults of the answers of all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerFaults {
    /// Answers per thousand that belong to another subquery.
    pub crossed_permille: u64,
    /// Answers per thousand that are delayed.
    pub late_permille: u64,
    /// Additional delay of these answers.
    pub delay: Duration,
    /// Age of the load and the state in a report. The start id is always that of the process that
    /// answers.
    pub report_age: Duration,
}

/// A fleet of fake upstreams. Clones share all state.
#[derive(Clone)]
pub struct Fleet<R> {
    rt: R,
    plan: Arc<Plan>,
    state: Arc<Mutex<State>>,
}

impl<R: Runtime> Fleet<R> {
    /// Starts a fleet, whose upstreams are cold.
    pub fn new(rt: &R, plan: Plan) -> Self {
        let mut servers = BTreeMap::new();
        for shard in 0..plan.shards {
            for replica in 0..plan.replicas {
                let record = new_record(&plan, shard, replica);
                let server = FakeUpstream {
                    record: record.clone(),
                    mode: Mode::Up,
                    slow_factor: 1.0,
                    false_reports: plan.false_reports,
                    reports: VecDeque::new(),
                    start_id: 1,
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
            next_run: 0,
            answer_faults: AnswerFaults {
                crossed_permille: plan.crossed_permille,
                ..AnswerFaults::default()
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

    /// Returns the records that describe the fleet at present. Of its routes, `find` is idempotent
    /// and `book` is not.
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

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the names of all upstreams.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.lock().servers.keys().cloned().collect()
    }

    /// Sets [`Ledger::peak_requests`] to 0.
    pub fn reset_peak(&self) {
        self.lock().ledger.peak_requests = 0;
    }

    /// Sets how an upstream treats new requests.
    pub fn set_mode(&self, name: &str, mode: Mode) {
        self.update(name, |server| server.mode = mode);
    }

    /// Sets the factor on an upstream's service times.
    pub fn slow_down(&self, name: &str, factor: f64) {
        self.update(name, |server| server.slow_factor = factor);
    }

    /// Sets whether an upstream reports the opposite of its load and state.
    pub fn set_false_reports(&self, name: &str, false_reports: bool) {
        self.update(name, |server| server.false_reports = false_reports);
    }

    /// Sets the faults of the answers of all upstreams.
    pub fn set_answer_faults(&self, faults: AnswerFaults) {
        self.lock().answer_faults = faults;
    }

    /// Returns the plan that the fleet was started with.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the one-way network delay to an upstream.
    fn network(&self, name: &str) -> Duration {
        let state = self.lock();
        let domain = state.servers.get(name).map(|s| &s.record.domain);
        match domain.is_some_and(|d| *d == domain_name(0)) {
            true => self.plan.network,
            false => self.plan.remote,
        }
    }

    /// Ends an upstream's process: the requests that run or wait there are lost. A new process
    /// starts after `outage` and is cold.
    pub fn crash(&self, name: &str, outage: Duration) {
        let until = self.rt.now() + outage;
        self.update(name, |server| {
            server.running.clear();
            server.queue.clear();
            server.reports.clear();
            server.idle = 0;
            server.start_id += 1;
            server.started = until;
        });
    }

    /// Increments the shard map epoch of every upstream.
    pub fn repartition(&self) {
        for server in self.lock().servers.values_mut() {
            server.record.epoch += 1;
        }
    }

    /// Sets the state in an upstream's record to `Leaving`.
    pub fn leave(&self, name: &str) {
        self.update(name, |s| s.record.state = instance::State::Leaving);
    }

    fn update(&self, name: &str, update: impl FnOnce(&mut FakeUpstream)) {
        if let Some(server) = self.lock().servers.get_mut(name) {
            update(server);
        }
    }

    /// Draws a service time from a log-normal distribution. The sum of 12 uniform numbers
    /// approximates a normally distributed one.
    fn service_time(&self, name: &str) -> Duration {
        let uniform = || self.rt.random() as f64 / u64::MAX as f64;
        let normal = (0..12).map(|_| uniform()).sum::<f64>() - 6.0;
        let mut factor = (self.plan.sigma * normal).exp();
        let now = self.rt.now();
        self.update(name, |s| {
            factor *= s.slow_factor;
            if s.is_cold(now, self.plan.warmup) {
                factor *= 2.0;
            }
        });
        self.plan.median.mul_f64(factor)
    }

    fn is_down(&self, name: &str) -> bool {
        let now = self.rt.now();
        let state = self.lock();
        let down = |s: &FakeUpstream| s.mode == Mode::Down || s.started > now;
        state.servers.get(name).is_none_or(down)
    }

    /// Opens or reuses a connection and returns the start id of the process at its other end. With
    /// `need_start_id`, learning the id costs a round trip on a new connection.
    async fn connect(&self, name: &str, need_start_id: bool) -> Result<u64, upstream::Error> {
        if self.is_down(name) {
            self.rt.sleep(self.network(name) * 2).await;
            return Err(upstream::Error::Unreachable);
        }
        let mut idle = false;
        self.update(name, |s| {
            idle = s.idle > 0;
            s.idle = s.idle.saturating_sub(1);
        });
        if !idle {
            self.rt.sleep(self.plan.connect).await;
        }
        if !idle && need_start_id {
            self.rt.sleep(self.plan.network * 2).await;
        }
        Ok(self.start_id(name))
    }

    fn start_id(&self, name: &str) -> u64 {
        self.lock().servers.get(name).map_or(0, |s| s.start_id)
    }

    /// Records the arrival of a request. Returns the index of its ledger entry if the upstream
    /// serves requests, its mode otherwise.
    fn record_arrival(&self, name: &Arc<str>, subquery: &message::Subquery) -> Result<usize, Mode> {
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

    /// Returns why an upstream that serves requests refuses this one; `None` if it doesn't.
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

    /// Returns an upstream's report with the load and the state of `report_age` ago.
    fn report(&self, name: &str) -> message::Report {
        let now = self.rt.now();
        let mut state = self.lock();
        let age = state.answer_faults.report_age;
        let Some(server) = state.servers.get_mut(name) else {
            return message::Report::default();
        };
        let report = server.report(now, self.plan.warmup);
        server.reports.push_back((now, report));
        while server.reports.get(1).is_some_and(|r| r.0 + age <= now) {
            server.reports.pop_front();
        }
        let oldest = server.reports.front().map_or(report, |r| r.1);
        message::Report {
            start_id: report.start_id,
            ..oldest
        }
    }

    /// Waits until the upstream has a free slot.
    async fn wait_for_slot(&self, name: &Arc<str>) -> Result<(), upstream::Error> {
        loop {
            let woken = {
                let mut state = self.lock();
                let Some(server) = state.servers.get_mut(name) else {
                    return Err(upstream::Error::Lost);
                };
                let waiting = server.queue.iter().filter(|tx| !tx.is_canceled());
                let busy = server.running.len() + waiting.count() + 1;
                state.ledger.peak_requests = state.ledger.peak_requests.max(busy);
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
            woken.await.map_err(|_| upstream::Error::Lost)?;
        }
    }

    /// Takes a slot and records the run. The returned channel closes when the process ends.
    fn start_run(&self, name: &Arc<str>, entry: usize) -> (Slot<R>, oneshot::Receiver<()>) {
        let now = self.rt.now();
        let warmup = self.plan.warmup;
        let mut state = self.lock();
        state.next_run += 1;
        let run = state.next_run;
        let (tx, rx) = oneshot::channel();
        state.ledger.entries[entry].ran = true;
        if let Some(server) = state.servers.get_mut(name) {
            server.running.insert(run, tx);
            let running = u32::try_from(server.running.len()).unwrap_or(u32::MAX);
            let excess = match server.is_cold(now, warmup) {
                true => running.saturating_sub(server.record.cold_slots),
                false => 0,
            };
            state.ledger.cold_excess = state.ledger.cold_excess.max(excess);
        }
        drop(state);
        let slot = Slot {
            fleet: self.clone(),
            name: Arc::clone(name),
            run,
            finished: false,
        };
        (slot, rx)
    }

    /// Runs a request for its service time; `Lost` if the upstream's process ends first.
    async fn run(
        &self,
        name: &Arc<str>,
        subquery: &message::Subquery,
        entry: usize,
    ) -> Result<(), upstream::Error> {
        let (mut slot, ended) = self.start_run(name, entry);
        let time = self.service_time(name);
        if *subquery.body == *CRASH_BODY {
            let fraction = self.rt.random() as f64 / u64::MAX as f64;
            self.rt.sleep(time.mul_f64(fraction)).await;
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

/// Returns the body of an upstream's answer to `body` on one shard of a snapshot.
pub fn answer_body(shard: u32, snapshot: &service::Snapshot, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let service::Snapshot { version, epoch } = snapshot;
    format!("{version}/{epoch}/{shard}:{text}").into_bytes()
}

impl FakeUpstream {
    fn report(&self, now: Timestamp, warmup: Duration) -> message::Report {
        let cold = self.is_cold(now, warmup);
        let load = u32::try_from(self.running.len() + self.queue.len()).unwrap_or(0);
        message::Report {
            load: match self.false_reports {
                true => 100 - load.min(100),
                false => load,
            },
            capacity: self.record.slots,
            start_id: self.start_id,
            state: match cold != self.false_reports {
                true => message::State::Cold,
                false => message::State::Ready,
            },
            pause_ms: 0,
        }
    }

    fn is_cold(&self, now: Timestamp, warmup: Duration) -> bool {
        now < self.started + warmup
    }

    fn slots(&self) -> usize {
        usize::try_from(self.record.slots).unwrap_or(0)
    }
}

/// A slot that a request holds. If it is dropped before the request has finished, the upstream
/// frees the slot one network delay later, when it learns of the cancellation.
struct Slot<R: Runtime> {
    fleet: Fleet<R>,
    name: Arc<str>,
    run: u64,
    finished: bool,
}

impl<R: Runtime> Slot<R> {
    fn release(fleet: &Fleet<R>, name: &str, run: u64) {
        fleet.update(name, |server| {
            server.running.remove(&run);
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
        let (fleet, name, run) = (self.fleet.clone(), Arc::clone(&self.name), self.run);
        match self.finished {
            true => Self::release(&fleet, &name, run),
            false => {
                let delay = self.fleet.rt.sleep(self.fleet.network(&self.name));
                self.fleet.rt.spawn(async move {
                    delay.await;
                    Self::release(&fleet, &name, run);
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
        _admit: impl Fn() -> bool + Send + Sync,
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
        // The connection closed if its process ended meanwhile.
        if self.is_down(name) || self.start_id(name) != process {
            return Err(upstream::Error::Lost);
        }
        let entry = match self.record_arrival(name, subquery) {
            Ok(entry) => entry,
            Err(Mode::Silent) => future::pending().await,
            Err(_) => return Err(refused(upstream::Refusal::Draining)),
        };
        if let Some(refusal) = self.refusal(name, subquery) {
            return Err(refused(refusal));
        }
        self.wait_for_slot(name).await?;
        self.run(name, subquery, entry).await?;
        self.rt.sleep(network).await;
        let faults = self.lock().answer_faults;
        if faults.late_permille > 0 && self.rt.random() % 1_000 < faults.late_permille {
            self.rt.sleep(faults.delay).await;
        }
        if self.rt.random() % 1_000 < faults.crossed_permille {
            return Err(upstream::Error::Mismatch);
        }
        self.update(name, |s| s.idle += 1);
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

/// Returns the record of one upstream. The replicas of a shard are in consecutive failure domains,
/// the first one in that with the shard's number.
fn new_record(plan: &Plan, shard: u32, replica: u32) -> record_upstream::Upstream {
    let domain = (shard + replica) % plan.domains;
    let port = 10_000 + u16::try_from(shard * plan.replicas + replica).unwrap_or(0);
    record_upstream::Upstream {
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

/// Returns the name of a failure domain.
pub fn domain_name(index: u32) -> String {
    format!("domain-{index}")
}

/// Returns the record of a failure domain.
pub fn domain(index: u32, state: failure_domain::State) -> record::AnyRecord {
    record::AnyRecord::FailureDomain(failure_domain::FailureDomain {
        schema: record::SCHEMA,
        name: domain_name(index),
        region: "region".to_owned(),
        state,
        extra: record::Extra::new(),
    })
}
