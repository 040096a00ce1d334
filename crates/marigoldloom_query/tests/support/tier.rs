//! The engines of several instances on one fake fleet. They share dispatch leases and report to
//! each other which upstreams are warm, with message delay and loss.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use marigoldloom_limits::cold;
use marigoldloom_query::{engine, hooks, request};
use marigoldloom_records::{class, failure_domain};
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::scope;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::fake_fleet;
use marigoldloom_upstream::{message, upstream};

use super::{Fleet, Rt};

/// Time for which a lease is granted.
const LEASE_TERM: Duration = Duration::from_secs(2);

/// Maximum delay of messages between instances, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 300;

type TierHooks = hooks::HookSet<hooks::ActiveVersion, SharedLeases, WarmupBroadcast>;
type Engine = engine::Engine<Rt, FleetClient, TierHooks>;

/// Runs subqueries in tasks of the fleet's runtime, so that they go on while an instance is
/// paused.
#[derive(Clone)]
pub struct FleetClient {
    rt: Rt,
    fleet: Fleet,
}

impl upstream::Upstream for FleetClient {
    async fn send(
        &self,
        target: &upstream::Target,
        subquery: &message::Subquery,
        _admit: impl Fn() -> bool + Send + Sync,
    ) -> Result<message::Reply, upstream::Error> {
        let (mut tx, rx) = oneshot::channel();
        let (fleet, target, subquery) = (self.fleet.clone(), target.clone(), subquery.clone());
        let rt = self.rt.clone();
        self.rt.spawn(async move {
            let run = Box::pin(fleet.send(&target, &subquery, || true));
            let run = Box::pin(runtime::timeout_at(&rt, subquery.deadline, run));
            let ended = match future::select(run, tx.cancellation()).await {
                future::Either::Left((result, _)) => result,
                future::Either::Right(_) => return,
            };
            let _ = tx.send(ended.unwrap_or(Err(upstream::Error::TimedOut)));
        });
        rx.await.unwrap_or(Err(upstream::Error::Lost))
    }
}

/// Grants each lease to one process at a time for [`LEASE_TERM`].
#[derive(Clone)]
pub struct SharedLeases {
    rt: Rt,
    holder: u32,
    lease_table: LeaseTable,
}

/// Holder and expiry of each lease, by upstream.
pub type LeaseTable = Arc<Mutex<BTreeMap<String, (u32, Timestamp)>>>;

impl SharedLeases {
    pub fn new(rt: &Rt, holder: u32, lease_table: &LeaseTable) -> Self {
        Self {
            rt: rt.clone(),
            holder,
            lease_table: Arc::clone(lease_table),
        }
    }
}

impl cold::Leases for SharedLeases {
    fn expiry(&self, upstream: &str) -> Option<Timestamp> {
        let lease_table = self.lease_table.lock().unwrap();
        let held = lease_table
            .get(upstream)
            .filter(|(holder, _)| *holder == self.holder);
        held.map(|(_, until)| *until)
    }

    fn request(&self, upstream: &str) {
        let now = self.rt.now();
        let mut lease_table = self.lease_table.lock().unwrap();
        let entry = lease_table
            .entry(upstream.to_owned())
            .or_insert((self.holder, now));
        if entry.0 == self.holder || entry.1 <= now {
            *entry = (self.holder, now + LEASE_TERM);
        }
    }
}

/// Reports warm upstreams to the other instances.
#[derive(Clone)]
pub struct WarmupBroadcast {
    tier: Tier,
    instance: usize,
}

impl hooks::Observer for WarmupBroadcast {
    fn warmup_finished(&self, _: &str, upstream: &str, start_id: u64) {
        self.tier.broadcast(self.instance, upstream, Some(start_id));
    }

    fn cold_start_began(&self, _: &str, upstream: &str, cause: health::ColdCause) {
        if cause.invalidates_reports() {
            self.tier.broadcast(self.instance, upstream, None);
        }
    }
}

struct Instance {
    rt: Rt,
    engine: Engine,
    builder: topology::Builder,
}

/// Several instances whose engines send to one fake fleet.
#[derive(Clone)]
pub struct Tier {
    pub rt: Rt,
    pub fleet: Fleet,
    instances: Arc<Mutex<Vec<Instance>>>,
    lease_table: LeaseTable,
    warm_reports: Arc<Mutex<BTreeMap<Arc<str>, u64>>>,
    domain_states: Arc<Mutex<BTreeMap<u32, (u64, bool)>>>,
    domains: u32,
    process_count: Arc<AtomicU32>,
    loss_percent: Arc<AtomicU64>,
    request_count: Arc<AtomicU64>,
    count: u32,
}

impl Tier {
    pub fn start(rt: &Rt, count: usize) -> Self {
        Self::with_plan(rt, count, fake_fleet::Plan::default())
    }

    /// Starts `count` instances, spread evenly over the failure domains of the plan.
    pub fn with_plan(rt: &Rt, count: usize, plan: fake_fleet::Plan) -> Self {
        let domains = plan.domains;
        let fleet = Fleet::new(rt, plan);
        let tier = Self {
            rt: rt.clone(),
            fleet,
            instances: Arc::default(),
            lease_table: Arc::default(),
            warm_reports: Arc::default(),
            domain_states: Arc::default(),
            domains,
            process_count: Arc::default(),
            loss_percent: Arc::default(),
            request_count: Arc::default(),
            count: u32::try_from(count).unwrap(),
        };
        for index in 0..count {
            let instance = tier.launch(index);
            tier.instances.lock().unwrap().push(instance);
        }
        tier
    }

    fn launch(&self, index: usize) -> Instance {
        let rt = self.rt.fork();
        let hooks = hooks::HookSet {
            versions: hooks::ActiveVersion,
            leases: SharedLeases::new(
                &rt,
                self.process_count.fetch_add(1, Ordering::Relaxed),
                &self.lease_table,
            ),
            observer: WarmupBroadcast {
                tier: self.clone(),
                instance: index,
            },
        };
        let client = FleetClient {
            rt: self.rt.clone(),
            fleet: self.fleet.clone(),
        };
        let engine = Engine::new(rt.clone(), client, hooks, engine::Settings::default());
        engine.set_sender_count(&Arc::from("search"), self.count);
        let domain = u32::try_from(index).unwrap() % self.domains;
        let mut builder = topology::Builder::new(&fake_fleet::domain_name(domain));
        self.fleet
            .records()
            .into_iter()
            .for_each(|r| builder.set(r));
        for (domain, (_, out)) in self.domain_states.lock().unwrap().iter() {
            let state = match out {
                true => failure_domain::State::Out,
                false => failure_domain::State::Active,
            };
            builder.set(fake_fleet::domain(*domain, state));
        }
        engine.apply(builder.build());
        let warm = self.warm_reports.lock().unwrap().clone();
        for (upstream, start_id) in warm.into_iter().filter(|_| !self.loses_message()) {
            engine.set_warm_report(&upstream, Some(start_id));
        }
        Instance {
            rt,
            engine,
            builder,
        }
    }

    fn loses_message(&self) -> bool {
        runtime::random_below(&self.rt, 100) < self.loss_percent.load(Ordering::Relaxed)
    }

    fn broadcast(&self, from: usize, upstream: &str, start_id: Option<u64>) {
        let name: Arc<str> = Arc::from(upstream);
        match start_id {
            Some(start_id) => self.warm_reports.lock().unwrap().insert(name, start_id),
            None => self.warm_reports.lock().unwrap().remove(&name),
        };
        let (tier, name) = (self.clone(), upstream.to_owned());
        self.rt.spawn(async move {
            let count = tier.count();
            for to in (0..count).filter(|to| *to != from) {
                let delay = runtime::random_below(&tier.rt, MAX_MESSAGE_DELAY_MS);
                tier.rt.sleep(Duration::from_millis(delay)).await;
                if !tier.loses_message() {
                    tier.engine(to).set_warm_report(&name, start_id);
                }
            }
        });
    }

    pub fn engine(&self, index: usize) -> Engine {
        self.instances.lock().unwrap()[index].engine.clone()
    }

    /// Replaces an instance's process by a new one, which receives the peers' reports of warm
    /// upstreams.
    pub fn restart(&self, index: usize) {
        let instance = self.launch(index);
        let old = std::mem::replace(&mut self.instances.lock().unwrap()[index], instance);
        old.rt.kill();
    }

    pub fn pause(&self, index: usize) {
        self.instances.lock().unwrap()[index].rt.pause();
    }

    pub fn resume_all(&self) {
        for instance in self.instances.lock().unwrap().iter() {
            instance.rt.resume();
        }
    }

    /// Sets the percentage of messages between instances that are lost.
    pub fn set_message_loss(&self, percent: u64) {
        self.loss_percent.store(percent, Ordering::Relaxed);
    }

    /// Clears the reports of warm upstreams, so that an instance that starts receives none.
    pub fn clear_warm_reports(&self) {
        self.warm_reports.lock().unwrap().clear();
    }

    /// Takes a failure domain out or brings it back; all instances apply it at once.
    pub fn set_domain(&self, domain: u32, out: bool) {
        self.record_domain(domain, out);
        (0..self.count()).for_each(|index| self.apply_domain(index, domain, out));
    }

    /// Like [`Tier::set_domain`], but each instance applies it after a random delay of less than
    /// `max_delay_ms`.
    pub fn set_domain_within(&self, domain: u32, out: bool, max_delay_ms: u64) {
        let revision = self.record_domain(domain, out);
        for index in 0..self.count() {
            let tier = self.clone();
            let delay = runtime::random_below(&self.rt, max_delay_ms);
            self.rt.spawn(async move {
                tier.rt.sleep(Duration::from_millis(delay)).await;
                // The later of two writes wins, in whatever order they arrive.
                if tier.domain_states.lock().unwrap().get(&domain) == Some(&revision) {
                    tier.apply_domain(index, domain, out);
                }
            });
        }
    }

    fn record_domain(&self, domain: u32, out: bool) -> (u64, bool) {
        let mut states = self.domain_states.lock().unwrap();
        let number = states.get(&domain).map_or(0, |(number, _)| *number);
        let revision = (number + 1, out);
        states.insert(domain, revision);
        revision
    }

    /// Whether a failure domain is out.
    pub fn is_out(&self, domain: u32) -> bool {
        let states = self.domain_states.lock().unwrap();
        states.get(&domain).is_some_and(|(_, out)| *out)
    }

    /// Applies the state of a failure domain to one instance.
    pub fn apply_domain(&self, index: usize, domain: u32, out: bool) {
        let state = match out {
            true => failure_domain::State::Out,
            false => failure_domain::State::Active,
        };
        let mut instances = self.instances.lock().unwrap();
        let instance = &mut instances[index];
        instance.builder.set(fake_fleet::domain(domain, state));
        let (engine, topology) = (instance.engine.clone(), instance.builder.build());
        drop(instances);
        engine.apply(topology);
    }

    /// Returns the names of the upstreams in a failure domain.
    pub fn upstreams_in(&self, index: u32) -> Vec<Arc<str>> {
        let domain = fake_fleet::domain_name(index);
        let topology = self.engine(0).topology().unwrap();
        let upstreams = topology.service("search").unwrap().upstreams().clone();
        let inside = upstreams.into_iter().filter(|(_, r)| *r.domain == *domain);
        inside.map(|(name, _)| name).collect()
    }

    fn request(&self, timeout: Duration) -> request::Request {
        let id = format!("q-{}", self.request_count.fetch_add(1, Ordering::Relaxed));
        request::Request {
            id: message::RequestId(Arc::from(id.as_str())),
            tenant: Arc::from("tenant"),
            class: class::Class::Standard,
            service: Arc::from("search"),
            route: Arc::from("find"),
            deadline: self.rt.now() + timeout,
            body: Arc::from(id.as_bytes()),
            call: None,
            policy: request::Policy::default(),
            scope: scope::Scope::new(),
        }
    }

    /// Runs one request on an instance. Returns whether the answer is complete.
    pub async fn answers_in_full(&self, index: usize, timeout: Duration) -> bool {
        let result = self.engine(index).run(&self.request(timeout)).await;
        result.is_ok_and(|a| a.coverage.is_full())
    }

    fn spawn_on(&self, index: usize, task: impl Future<Output = ()> + Send + 'static) {
        self.instances.lock().unwrap()[index].rt.spawn(task);
    }

    fn count(&self) -> usize {
        self.instances.lock().unwrap().len()
    }

    /// Sends `count` requests, one every `gap`, to the instances in turn. Returns the number of
    /// full answers and of other results. Requests of processes that ended have no result.
    pub async fn drive(&self, count: usize, gap: Duration, timeout: Duration) -> (u32, u32) {
        let results = Arc::new(Mutex::new((0, 0)));
        for number in 0..count {
            let (tier, results) = (self.clone(), Arc::clone(&results));
            let index = number % self.count();
            self.spawn_on(index, async move {
                let full = tier.answers_in_full(index, timeout).await;
                let mut results = results.lock().unwrap();
                match full {
                    true => results.0 += 1,
                    false => results.1 += 1,
                }
            });
            self.rt.sleep(gap).await;
        }
        self.rt.sleep(timeout + Duration::from_millis(10)).await;
        let results = results.lock().unwrap();
        *results
    }

    /// Brings all upstreams out of cold start for all instances.
    pub async fn warm_up(&self) {
        let names = self.fleet.names();
        for _ in 0..100 {
            self.drive(50, Duration::from_millis(10), Duration::from_secs(1))
                .await;
            let count = self.count();
            let warm = |i: usize, n: &str| self.engine(i).health(n).is_some_and(|v| !v.cold);
            if (0..count).all(|i| names.iter().all(|n| warm(i, n))) {
                return;
            }
        }
        panic!("some upstreams stay cold");
    }
}
