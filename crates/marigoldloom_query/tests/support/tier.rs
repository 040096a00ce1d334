//! Several instances' engines on one fake fleet. They share dispatch leases and tell each
//! other which upstreams are warm, with delays and losses.

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

const TERM: Duration = Duration::from_secs(2);

/// Longest time for which news between instances are on their way, in milliseconds.
const NEWS_MS: u64 = 300;

type Parts = hooks::HookSet<hooks::ActiveVersion, Arbiter, Herald>;
type Engine = engine::Engine<Rt, Remote, Parts>;

/// Runs subqueries in the fleet's own tasks, so that they go on while an instance is paused.
#[derive(Clone)]
pub struct Remote {
    rt: Rt,
    fleet: Fleet,
}

impl upstream::Upstream for Remote {
    async fn send(
        &self,
        target: &upstream::Target,
        subquery: &message::Subquery,
    ) -> Result<message::Reply, upstream::Error> {
        let (mut tx, rx) = oneshot::channel();
        let (fleet, target, subquery) = (self.fleet.clone(), target.clone(), subquery.clone());
        let rt = self.rt.clone();
        self.rt.spawn(async move {
            let run = Box::pin(fleet.send(&target, &subquery));
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

/// Grants each lease to one process at a time for two seconds.
#[derive(Clone)]
pub struct Arbiter {
    rt: Rt,
    own: u32,
    granted: Granted,
}

/// Holder of each lease and when it ends.
pub type Granted = Arc<Mutex<BTreeMap<String, (u32, Timestamp)>>>;

impl Arbiter {
    pub fn new(rt: &Rt, own: u32, granted: &Granted) -> Self {
        Self {
            rt: rt.clone(),
            own,
            granted: Arc::clone(granted),
        }
    }
}

impl cold::Leases for Arbiter {
    fn expiry(&self, upstream: &str) -> Option<Timestamp> {
        let granted = self.granted.lock().unwrap();
        let held = granted
            .get(upstream)
            .filter(|(holder, _)| *holder == self.own);
        held.map(|(_, until)| *until)
    }

    fn want(&self, upstream: &str) {
        let now = self.rt.now();
        let mut granted = self.granted.lock().unwrap();
        let entry = granted
            .entry(upstream.to_owned())
            .or_insert((self.own, now));
        if entry.0 == self.own || entry.1 <= now {
            *entry = (self.own, now + TERM);
        }
    }
}

/// Passes news of warm upstreams on to the other instances.
#[derive(Clone)]
pub struct Herald {
    tier: Tier,
    own: usize,
}

impl hooks::Observer for Herald {
    fn warmup_finished(&self, _: &str, upstream: &str, start: u64) {
        self.tier.tell(self.own, upstream, Some(start));
    }

    fn cold_start_began(&self, _: &str, upstream: &str, cause: health::ColdCause) {
        if cause.withdraws() {
            self.tier.tell(self.own, upstream, None);
        }
    }
}

struct Instance {
    rt: Rt,
    engine: Engine,
    builder: topology::Builder,
}

#[derive(Clone)]
pub struct Tier {
    pub rt: Rt,
    pub fleet: Fleet,
    instances: Arc<Mutex<Vec<Instance>>>,
    granted: Granted,
    known: Arc<Mutex<BTreeMap<Arc<str>, u64>>>,
    moves: Arc<Mutex<BTreeMap<u32, (u64, bool)>>>,
    domains: u32,
    processes: Arc<AtomicU32>,
    loss: Arc<AtomicU64>,
    bodies: Arc<AtomicU64>,
    count: u32,
}

impl Tier {
    pub fn start(rt: &Rt, count: usize) -> Self {
        Self::with_plan(rt, count, fake_fleet::Plan::default())
    }

    /// Starts instances, in turn in each failure domain of the plan.
    pub fn with_plan(rt: &Rt, count: usize, plan: fake_fleet::Plan) -> Self {
        let domains = plan.domains;
        let fleet = Fleet::new(rt, plan);
        let tier = Self {
            rt: rt.clone(),
            fleet,
            instances: Arc::default(),
            granted: Arc::default(),
            known: Arc::default(),
            moves: Arc::default(),
            domains,
            processes: Arc::default(),
            loss: Arc::default(),
            bodies: Arc::default(),
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
        let parts = hooks::HookSet {
            versions: hooks::ActiveVersion,
            leases: Arbiter::new(
                &rt,
                self.processes.fetch_add(1, Ordering::Relaxed),
                &self.granted,
            ),
            observer: Herald {
                tier: self.clone(),
                own: index,
            },
        };
        let remote = Remote {
            rt: self.rt.clone(),
            fleet: self.fleet.clone(),
        };
        let engine = Engine::new(rt.clone(), remote, parts, engine::Settings::default());
        engine.set_sender_count(&Arc::from("search"), self.count);
        let domain = u32::try_from(index).unwrap() % self.domains;
        let mut builder = topology::Builder::new(&fake_fleet::domain_name(domain));
        self.fleet
            .records()
            .into_iter()
            .for_each(|r| builder.set(r));
        for (domain, (_, out)) in self.moves.lock().unwrap().iter() {
            let state = match out {
                true => failure_domain::State::Out,
                false => failure_domain::State::Active,
            };
            builder.set(fake_fleet::domain(*domain, state));
        }
        engine.apply(builder.build());
        let known = self.known.lock().unwrap().clone();
        for (upstream, start) in known.into_iter().filter(|_| !self.is_lost()) {
            engine.set_peer_warm(&upstream, Some(start));
        }
        Instance {
            rt,
            engine,
            builder,
        }
    }

    fn is_lost(&self) -> bool {
        runtime::random_below(&self.rt, 100) < self.loss.load(Ordering::Relaxed)
    }

    fn tell(&self, from: usize, upstream: &str, start: Option<u64>) {
        let name: Arc<str> = Arc::from(upstream);
        match start {
            Some(start) => self.known.lock().unwrap().insert(name, start),
            None => self.known.lock().unwrap().remove(&name),
        };
        let (tier, name) = (self.clone(), upstream.to_owned());
        self.rt.spawn(async move {
            let count = tier.count();
            for to in (0..count).filter(|to| *to != from) {
                let delay = runtime::random_below(&tier.rt, NEWS_MS);
                tier.rt.sleep(Duration::from_millis(delay)).await;
                if !tier.is_lost() {
                    tier.engine(to).set_peer_warm(&name, start);
                }
            }
        });
    }

    pub fn engine(&self, index: usize) -> Engine {
        self.instances.lock().unwrap()[index].engine.clone()
    }

    /// Ends an instance's process and starts another, which learns what its peers know.
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

    /// Sets the percentage of news that are lost.
    pub fn lose(&self, percent: u64) {
        self.loss.store(percent, Ordering::Relaxed);
    }

    /// Forgets what instances told each other, so that one that starts learns nothing.
    pub fn forget(&self) {
        self.known.lock().unwrap().clear();
    }

    /// Takes a failure domain out or brings it back; all instances learn it at once.
    pub fn set_domain(&self, domain: u32, out: bool) {
        self.write_domain(domain, out);
        (0..self.count()).for_each(|index| self.teach_domain(index, domain, out));
    }

    /// As [`Tier::set_domain`]; each instance learns it within `lag_ms`.
    pub fn spread_domain(&self, domain: u32, out: bool, lag_ms: u64) {
        let stamp = self.write_domain(domain, out);
        for index in 0..self.count() {
            let tier = self.clone();
            let delay = runtime::random_below(&self.rt, lag_ms);
            self.rt.spawn(async move {
                tier.rt.sleep(Duration::from_millis(delay)).await;
                // Of two writes the later one holds, in whatever order they arrive.
                if tier.moves.lock().unwrap().get(&domain) == Some(&stamp) {
                    tier.teach_domain(index, domain, out);
                }
            });
        }
    }

    fn write_domain(&self, domain: u32, out: bool) -> (u64, bool) {
        let mut moves = self.moves.lock().unwrap();
        let number = moves.get(&domain).map_or(0, |(number, _)| *number);
        let stamp = (number + 1, out);
        moves.insert(domain, stamp);
        stamp
    }

    /// Whether a failure domain is out.
    pub fn is_out(&self, domain: u32) -> bool {
        let moves = self.moves.lock().unwrap();
        moves.get(&domain).is_some_and(|(_, out)| *out)
    }

    /// Tells one instance that a failure domain is out, or not.
    pub fn teach_domain(&self, index: usize, domain: u32, out: bool) {
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

    /// Names of the upstreams in a failure domain.
    pub fn inside(&self, index: u32) -> Vec<Arc<str>> {
        let domain = fake_fleet::domain_name(index);
        let topology = self.engine(0).topology().unwrap();
        let upstreams = topology.service("search").unwrap().upstreams().clone();
        let inside = upstreams.into_iter().filter(|(_, r)| *r.domain == *domain);
        inside.map(|(name, _)| name).collect()
    }

    fn request(&self, time: Duration) -> request::Request {
        let id = format!("q-{}", self.bodies.fetch_add(1, Ordering::Relaxed));
        request::Request {
            id: message::RequestId(Arc::from(id.as_str())),
            tenant: Arc::from("tenant"),
            class: class::Class::Standard,
            service: Arc::from("search"),
            route: Arc::from("find"),
            deadline: self.rt.now() + time,
            body: Arc::from(id.as_bytes()),
            call: None,
            policy: request::Policy::default(),
            scope: scope::Scope::new(),
        }
    }

    /// Runs one request on an instance; whether the answer is complete.
    pub async fn full(&self, index: usize, time: Duration) -> bool {
        let result = self.engine(index).run(&self.request(time)).await;
        result.is_ok_and(|a| a.coverage.is_full())
    }

    fn spawn_on(&self, index: usize, task: impl Future<Output = ()> + Send + 'static) {
        self.instances.lock().unwrap()[index].rt.spawn(task);
    }

    fn count(&self) -> usize {
        self.instances.lock().unwrap().len()
    }

    /// Sends `count` requests, one each `gap`, to the instances in turn. Returns the numbers
    /// of full answers and of other results; requests of ended processes have none.
    pub async fn drive(&self, count: usize, gap: Duration, time: Duration) -> (u32, u32) {
        let results = Arc::new(Mutex::new((0, 0)));
        for number in 0..count {
            let (tier, results) = (self.clone(), Arc::clone(&results));
            let index = number % self.count();
            self.spawn_on(index, async move {
                let full = tier.full(index, time).await;
                let mut results = results.lock().unwrap();
                match full {
                    true => results.0 += 1,
                    false => results.1 += 1,
                }
            });
            self.rt.sleep(gap).await;
        }
        self.rt.sleep(time + Duration::from_millis(10)).await;
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
