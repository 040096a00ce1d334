//! An engine, a fake fleet and an open-loop caller on virtual time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_limits::{admission, cold};
use marigoldloom_query::{answer, convert, engine, hooks, refusal, request};
use marigoldloom_records::{class, record};
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::scope;
use marigoldloom_testkit::{fake_fleet, virtual_runtime};
use marigoldloom_upstream::message;

use crate::naive;

/// The virtual-time runtime.
pub type Rt = virtual_runtime::VirtualRuntime;
/// The fake upstreams.
pub type Fleet = fake_fleet::Fleet<Rt>;
/// The parts of a lone instance.
pub type Parts = hooks::HookSet<hooks::ActiveVersion, cold::SingleInstance, hooks::NoObserver>;
/// The production engine over fake upstreams.
pub type Engine = engine::Engine<Rt, Fleet, Parts>;
/// How a request ended.
pub type Verdict = Result<answer::Answer, refusal::Refusal>;

/// Time after the last deadline in which every call must have ended.
const SETTLE: Duration = Duration::from_millis(10);

/// What serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// The engine alone.
    Engine,
    /// Admission, then the engine, as in an instance.
    Instance,
    /// The naive version.
    Naive,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: request::Request,
    /// How it ended.
    pub result: Verdict,
    /// Time until then.
    pub latency: Duration,
    /// Time until its deadline.
    pub time: Duration,
}

impl Call {
    /// Whether every shard answered.
    pub fn full(&self) -> bool {
        self.result.as_ref().is_ok_and(|a| a.coverage.is_full())
    }
}

/// One request of an open-loop caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the arrival before it.
    pub gap: Duration,
    /// Request id and body.
    pub id: String,
    /// Tenant.
    pub tenant: Arc<str>,
    /// Priority class.
    pub class: class::Class,
    /// Time until its deadline.
    pub time: Duration,
}

/// An instance, its upstreams and the configuration.
#[derive(Clone)]
pub struct World {
    /// Runtime.
    pub rt: Rt,
    /// Upstreams.
    pub fleet: Fleet,
    /// Engine.
    pub engine: Engine,
    admission: admission::Admission<Rt>,
    builder: Arc<Mutex<topology::Builder>>,
}

impl World {
    /// Starts a fleet, whose upstreams are cold, and an instance in the first failure domain.
    pub fn new(rt: &Rt, plan: fake_fleet::Plan, settings: engine::Settings) -> Self {
        let fleet = Fleet::new(rt, plan);
        let engine = Engine::new(rt.clone(), fleet.clone(), Parts::default(), settings);
        let builder = topology::Builder::new(&fake_fleet::domain_name(0));
        let world = Self {
            rt: rt.clone(),
            fleet,
            engine,
            admission: admission::Admission::new(rt.clone(), admission::Settings::default()),
            builder: Arc::new(Mutex::new(builder)),
        };
        world.publish([]);
        world
    }

    /// Applies the fleet's records and `more`.
    pub fn publish(&self, more: impl IntoIterator<Item = record::AnyRecord>) {
        let mut builder = lock(&self.builder);
        let records = self.fleet.records().into_iter().chain(more);
        records.for_each(|r| builder.set(r));
        self.engine.apply(builder.build());
    }

    /// A request of the route `find` that ends after `time`.
    pub fn request(&self, id: &str, body: &[u8], time: Duration) -> request::Request {
        request::Request {
            id: message::RequestId(Arc::from(id)),
            tenant: Arc::from("tenant"),
            class: class::Class::Standard,
            service: Arc::from(self.fleet.plan().service.as_str()),
            route: Arc::from("find"),
            deadline: self.rt.now() + time,
            body: Arc::from(body),
            call: None,
            policy: request::Policy::default(),
            scope: scope::Scope::new(),
        }
    }

    /// Sends a request through the engine.
    pub async fn call(&self, request: request::Request) -> Call {
        self.call_through(Path::Engine, request).await
    }

    /// Sends a request along `path`.
    pub async fn call_through(&self, path: Path, request: request::Request) -> Call {
        let started = self.rt.now();
        let time = request.deadline.since(started);
        let result = match path {
            Path::Engine => self.engine.run(&request).await,
            Path::Instance => self.run_admitted(&request).await,
            Path::Naive => self.run_naive(&request).await,
        };
        Call {
            request,
            result,
            latency: self.rt.now().since(started),
            time,
        }
    }

    async fn run_admitted(&self, request: &request::Request) -> Verdict {
        let wish = admission::Request {
            tenant: &request.tenant,
            class: request.class,
            deadline: request.deadline,
        };
        match self.admission.admit(&wish).await {
            Err(rejection) => Err(convert::refusal(&rejection)),
            Ok(permit) => {
                let result = self.engine.run(request).await;
                permit.finish(convert::outcome(&result));
                result
            }
        }
    }

    async fn run_naive(&self, request: &request::Request) -> Verdict {
        let naive = naive::Naive {
            rt: self.rt.clone(),
            fleet: self.fleet.clone(),
            topology: self.engine.topology().expect("applied in `new`"),
        };
        naive.run(request).await
    }

    /// Sends `count` requests with distinct bodies through the engine, one each `gap`, and
    /// waits for all.
    pub async fn drive(&self, tag: &str, count: u32, gap: Duration, time: Duration) -> Vec<Call> {
        self.replay(&steady(tag, count, gap, time), Path::Engine)
            .await
    }

    /// As [`World::drive`], through the naive version.
    pub async fn drive_naive(&self, count: u32, gap: Duration, time: Duration) -> Vec<Call> {
        self.replay(&steady("naive", count, gap, time), Path::Naive)
            .await
    }

    /// Sends each request at its time, however slow the answers are, and waits for all.
    ///
    /// # Panics
    ///
    /// If a caller has no result after its deadline.
    pub async fn replay(&self, arrivals: &[Arrival], path: Path) -> Vec<Call> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        for arrival in arrivals {
            self.rt.sleep(arrival.gap).await;
            let mut request = self.request(&arrival.id, arrival.id.as_bytes(), arrival.time);
            request.tenant = Arc::clone(&arrival.tenant);
            request.class = arrival.class;
            let (world, calls) = (self.clone(), Arc::clone(&calls));
            self.rt.spawn(async move {
                let call = world.call_through(path, request).await;
                lock(&calls).push(call);
            });
        }
        let longest = arrivals.iter().map(|a| a.time).max();
        self.rt.sleep(longest.unwrap_or_default() + SETTLE).await;
        let calls = lock(&calls).clone();
        assert_eq!(calls.len(), arrivals.len(), "each caller gets one result");
        calls
    }

    /// Brings all upstreams out of cold start with requests to the engine.
    ///
    /// # Panics
    ///
    /// If some stay cold.
    pub async fn warm_up(&self) {
        self.warm_up_through(Path::Engine).await;
    }

    /// As [`World::warm_up`], with requests along `path`.
    ///
    /// # Panics
    ///
    /// If some upstreams stay cold.
    pub async fn warm_up_through(&self, path: Path) {
        let names = self.fleet.names();
        let warm = |n: &Arc<str>| self.engine.health(n).is_some_and(|v| !v.cold);
        for round in 0..100 {
            let tag = format!("warm-{round}");
            let gap = Duration::from_millis(20);
            let arrivals = steady(&tag, 50, gap, Duration::from_secs(1));
            self.replay(&arrivals, path).await;
            if names.iter().all(warm) {
                return;
            }
        }
        panic!("some upstreams stay cold");
    }
}

fn steady(tag: &str, count: u32, gap: Duration, time: Duration) -> Vec<Arrival> {
    let arrival = |number| Arrival {
        gap: match number {
            0 => Duration::ZERO,
            _ => gap,
        },
        id: format!("{tag}-{number}"),
        tenant: Arc::from("tenant"),
        class: class::Class::Standard,
        time,
    };
    (0..count).map(arrival).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the future made by `main` on virtual time.
pub fn run<T: Send + 'static, F>(seed: u64, main: impl FnOnce(Rt) -> F) -> T
where
    F: Future<Output = T> + Send + 'static,
{
    virtual_runtime::block_on(seed, main)
}
