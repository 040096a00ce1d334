//! A simulated instance with a fake fleet and open-loop callers, all on virtual time.

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

/// Runtime with virtual time, on which everything in a [`World`] runs.
pub type Rt = virtual_runtime::VirtualRuntime;
/// Fake upstreams on the virtual runtime.
pub type Fleet = fake_fleet::Fleet<Rt>;
/// Engine hooks of an instance that runs without peers.
pub type Hooks = hooks::HookSet<hooks::ActiveVersion, cold::SingleInstance, hooks::NoObserver>;
/// The production engine, connected to fake upstreams.
pub type Engine = engine::Engine<Rt, Fleet, Hooks>;
/// Answer or refusal of a request.
pub type CallResult = Result<answer::Answer, refusal::Refusal>;

/// Time after the last deadline by which every call must have a result.
const RESULT_GRACE: Duration = Duration::from_millis(10);

/// The implementation that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// The engine without admission control.
    Engine,
    /// Admission control followed by the engine, as in a production instance.
    Instance,
    /// The naive baseline.
    Naive,
}

/// A request with its result, as the caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request as it was sent.
    pub request: request::Request,
    /// Answer or refusal.
    pub result: CallResult,
    /// Time from sending the request to its result.
    pub latency: Duration,
    /// Time from sending the request to its deadline.
    pub timeout: Duration,
}

impl Call {
    /// Returns whether the request has an answer that covers every shard.
    pub fn is_full(&self) -> bool {
        self.result.as_ref().is_ok_and(|a| a.coverage.is_full())
    }
}

/// A request of an open-loop caller, which doesn't wait for earlier answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the previous arrival.
    pub gap: Duration,
    /// Request id, which is also sent as the body.
    pub id: String,
    /// Tenant that sends the request.
    pub tenant: Arc<str>,
    /// Priority class of the request.
    pub class: class::Class,
    /// Time from the arrival to the request's deadline.
    pub timeout: Duration,
}

/// An instance with its upstreams and its configuration.
#[derive(Clone)]
pub struct World {
    /// Virtual clock and executor.
    pub rt: Rt,
    /// Fake upstreams, into which faults are injected.
    pub fleet: Fleet,
    /// Engine of the instance.
    pub engine: Engine,
    admission: admission::Admission<Rt>,
    builder: Arc<Mutex<topology::Builder>>,
}

impl World {
    /// Starts a fleet, whose upstreams are in cold start, and an instance in the first failure
    /// domain.
    pub fn new(rt: &Rt, plan: fake_fleet::Plan, settings: engine::Settings) -> Self {
        let fleet = Fleet::new(rt, plan);
        let engine = Engine::new(rt.clone(), fleet.clone(), Hooks::default(), settings);
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

    /// Applies the fleet's records and then `more` to the engine's configuration.
    pub fn publish(&self, more: impl IntoIterator<Item = record::AnyRecord>) {
        let mut builder = lock(&self.builder);
        let records = self.fleet.records().into_iter().chain(more);
        records.for_each(|r| builder.set(r));
        self.engine.apply(builder.build());
    }

    /// Creates a request for the route `find` whose deadline is `timeout` from now.
    pub fn request(&self, id: &str, body: &[u8], timeout: Duration) -> request::Request {
        request::Request {
            id: message::RequestId(Arc::from(id)),
            tenant: Arc::from("tenant"),
            class: class::Class::Standard,
            service: Arc::from(self.fleet.plan().service.as_str()),
            route: Arc::from("find"),
            deadline: self.rt.now() + timeout,
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
        let timeout = request.deadline.since(started);
        let result = match path {
            Path::Engine => self.engine.run(&request).await,
            Path::Instance => self.run_admitted(&request).await,
            Path::Naive => self.run_naive(&request).await,
        };
        Call {
            request,
            result,
            latency: self.rt.now().since(started),
            timeout,
        }
    }

    async fn run_admitted(&self, request: &request::Request) -> CallResult {
        let admission_request = admission::Request {
            tenant: &request.tenant,
            class: request.class,
            deadline: request.deadline,
        };
        match self.admission.admit(&admission_request).await {
            Err(rejection) => Err(convert::refusal(&rejection)),
            Ok(permit) => {
                let result = self.engine.run(request).await;
                permit.finish(convert::outcome(&result));
                result
            }
        }
    }

    async fn run_naive(&self, request: &request::Request) -> CallResult {
        let naive = naive::Naive {
            rt: self.rt.clone(),
            fleet: self.fleet.clone(),
            topology: self.engine.topology().expect("applied in `new`"),
        };
        naive.run(request).await
    }

    /// Sends `count` requests with distinct bodies through the engine, one every `gap`, and
    /// waits for all results.
    pub async fn drive(
        &self,
        tag: &str,
        count: u32,
        gap: Duration,
        timeout: Duration,
    ) -> Vec<Call> {
        self.replay(&constant_rate(tag, count, gap, timeout), Path::Engine)
            .await
    }

    /// Like [`World::drive`], but through the naive baseline.
    pub async fn drive_naive(&self, count: u32, gap: Duration, timeout: Duration) -> Vec<Call> {
        self.replay(&constant_rate("naive", count, gap, timeout), Path::Naive)
            .await
    }

    /// Sends each request at its arrival time, whether or not earlier ones have been answered,
    /// and waits for all results.
    ///
    /// # Panics
    ///
    /// If a request has no result shortly after its deadline.
    pub async fn replay(&self, arrivals: &[Arrival], path: Path) -> Vec<Call> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        for arrival in arrivals {
            self.rt.sleep(arrival.gap).await;
            let mut request = self.request(&arrival.id, arrival.id.as_bytes(), arrival.timeout);
            request.tenant = Arc::clone(&arrival.tenant);
            request.class = arrival.class;
            let (world, calls) = (self.clone(), Arc::clone(&calls));
            self.rt.spawn(async move {
                let call = world.call_through(path, request).await;
                lock(&calls).push(call);
            });
        }
        let longest = arrivals.iter().map(|a| a.timeout).max();
        self.rt
            .sleep(longest.unwrap_or_default() + RESULT_GRACE)
            .await;
        let calls = lock(&calls).clone();
        assert_eq!(calls.len(), arrivals.len(), "each caller gets one result");
        calls
    }

    /// Sends requests through the engine until no upstream is in cold start.
    ///
    /// # Panics
    ///
    /// If some upstreams are still in cold start after 100 rounds of 50 requests.
    pub async fn warm_up(&self) {
        self.warm_up_through(Path::Engine).await;
    }

    /// Like [`World::warm_up`], but sends the requests along `path`.
    ///
    /// # Panics
    ///
    /// If some upstreams are still in cold start after 100 rounds of 50 requests.
    pub async fn warm_up_through(&self, path: Path) {
        let names = self.fleet.names();
        let warm = |n: &Arc<str>| self.engine.health(n).is_some_and(|v| !v.cold);
        for round in 0..100 {
            let tag = format!("warm-{round}");
            let gap = Duration::from_millis(20);
            let arrivals = constant_rate(&tag, 50, gap, Duration::from_secs(1));
            self.replay(&arrivals, path).await;
            if names.iter().all(warm) {
                return;
            }
        }
        panic!("some upstreams are still in cold start");
    }
}

/// Returns `count` requests at a constant rate, the first of them without a delay.
fn constant_rate(tag: &str, count: u32, gap: Duration, timeout: Duration) -> Vec<Arrival> {
    let arrival = |number| Arrival {
        gap: match number {
            0 => Duration::ZERO,
            _ => gap,
        },
        id: format!("{tag}-{number}"),
        tenant: Arc::from("tenant"),
        class: class::Class::Standard,
        timeout,
    };
    (0..count).map(arrival).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the future returned by `main` on virtual time. Equal seeds give equal runs.
pub fn run<T: Send + 'static, F>(seed: u64, main: impl FnOnce(Rt) -> F) -> T
where
    F: Future<Output = T> + Send + 'static,
{
    virtual_runtime::block_on(seed, main)
}
