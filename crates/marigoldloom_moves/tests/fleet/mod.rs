//! Simulates eight instances with one platform, a delayed exchange and traffic to two versions.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use marigoldloom_moves::control;
use marigoldloom_moves::moves::{Moves, RequestOutcome};
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_platform::object::{Key, Object};
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_records::version_move::{Intent, Phase, Status, VersionMove};
use marigoldloom_records::{record, service};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{Timestamp, WallTime};
use marigoldloom_telemetry::event::Events;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

pub(crate) const INSTANCES: usize = 8;
pub(crate) const ROUTES: [&str; 3] = ["search", "tag", "replay"];
pub(crate) const NAME: &str = "to-v2";

/// Maximum delay of a message of the exchange, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 800;

/// Time between two bursts of requests at an instance.
const BURST_INTERVAL: Duration = Duration::from_millis(250);

type Entries = BTreeMap<(Space, Arc<str>), Entry>;
type TestMoves = Moves<VirtualRuntime, MemoryPlatform<VirtualRuntime>, Peer>;

/// One instance's copy of the shared map.
#[derive(Clone)]
pub(crate) struct Peer {
    rt: VirtualRuntime,
    own_index: usize,
    copies: Arc<Vec<Mutex<Entries>>>,
}

impl Peer {
    fn store(&self, index: usize, entry: &Entry) {
        let mut copy = self.copies[index].lock().unwrap();
        let key = (entry.space, entry.name.clone());
        let newer = |old: &Entry| (entry.stamp, &entry.value) > (old.stamp, &old.value);
        if copy.get(&key).is_none_or(newer) {
            copy.insert(key, entry.clone());
        }
    }
}

impl Exchange for Peer {
    fn publish(&self, entry: Entry) {
        self.store(self.own_index, &entry);
        for index in 0..INSTANCES {
            let (peer, entry) = (self.clone(), entry.clone());
            let delay =
                Duration::from_millis(runtime::random_below(&self.rt, MAX_MESSAGE_DELAY_MS));
            self.rt.spawn(async move {
                peer.rt.sleep(delay).await;
                peer.store(index, &entry);
            });
        }
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        let copy = self.copies[self.own_index].lock().unwrap();
        let found = copy.range((space, Arc::from(prefix))..);
        let found = found.take_while(|((s, n), _)| *s == space && n.starts_with(prefix));
        found.map(|(_, entry)| entry.clone()).collect()
    }
}

/// Behaviour of the versions, the platform and the operator. Rates are in thousandths and times in
/// seconds since the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Rate of failures of the new version while it is at fault.
    pub(crate) failure_rate: u64,
    /// Rate of slow replies of the new version while it is at fault.
    pub(crate) slow_rate: u64,
    /// When the fault begins.
    pub(crate) fault_start: u64,
    /// The route at fault; `None` for all.
    pub(crate) fault_route: Option<&'static str>,
    /// Minimum requests to the new version per second and instance that cause the fault.
    pub(crate) min_load: u64,
    /// When both versions are slow and fail more often.
    pub(crate) both_bad: Option<(u64, u64)>,
    /// Requests per burst, route and instance.
    pub(crate) burst_size: u64,
    /// Time from the start of the move to its deadline.
    pub(crate) duration: u64,
    /// When the platform is down.
    pub(crate) outage: Option<(u64, u64)>,
    /// When the first instance is paused.
    pub(crate) pause: Option<(u64, u64)>,
    /// When an operator asks to take the move back; `None` if never.
    pub(crate) take_back: Option<u64>,
    /// Minimum duration of the simulation.
    pub(crate) min_duration: u64,
    /// Number of bad results of the new version from which its fault is evident.
    pub(crate) evident_results: u64,
    /// Whether the last route has too few requests for a proof.
    pub(crate) rare_route: bool,
    /// Share of the traffic that the new version's warm upstreams can serve; `None` if not set.
    pub(crate) warm_capacity: Option<u64>,
    /// Until when the new version is cold and therefore slow.
    pub(crate) cold_until: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            failure_rate: 0,
            slow_rate: 0,
            fault_start: 0,
            fault_route: None,
            min_load: 0,
            both_bad: None,
            burst_size: 4,
            duration: 200,
            outage: None,
            pause: None,
            take_back: None,
            min_duration: 0,
            evident_results: 20,
            rare_route: false,
            warm_capacity: None,
            cold_until: 0,
        }
    }
}

/// Result of a simulated move.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) status: Status,
    /// When the record reached its final phase.
    pub(crate) final_at: Option<Duration>,
    pub(crate) requests: u64,
    pub(crate) new_requests: u64,
    /// Requests to the new version and all requests, before the earliest possible proof.
    pub(crate) before_proof: (u64, u64),
    /// Requests to the new version and all requests, before the new version got 20 requests.
    pub(crate) without_evidence: (u64, u64),
    /// When the new version's fault became evident; `None` if it didn't.
    pub(crate) evident_at: Option<Duration>,
    /// When the new version got its last request.
    pub(crate) last_new: Duration,
    /// Requests to the new version on instances that know the verdict and had already stopped
    /// sending it requests.
    pub(crate) resumed: u64,
    /// Writes of the record after it reached its final phase.
    pub(crate) rewrites: u64,
}

#[derive(Clone)]
struct Simulation {
    rt: VirtualRuntime,
    scenario: Scenario,
    observed: Arc<Mutex<Observed>>,
}

#[derive(Default)]
struct Observed {
    outcome: Outcome,
    bad_results: u64,
    /// Version of the record when it reached its final phase.
    final_version: u64,
}

struct Instance {
    rt: VirtualRuntime,
    moves: TestMoves,
    peer: Peer,
    platform: MemoryPlatform<VirtualRuntime>,
}

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn within(range: Option<(u64, u64)>, at: Duration) -> bool {
    range.is_some_and(|(from, to)| at >= seconds(from) && at < seconds(to))
}

impl Simulation {
    fn elapsed(&self) -> Duration {
        self.rt.now().since(Timestamp::ZERO)
    }

    fn chance(&self, per_mille: u64) -> bool {
        runtime::random_below(&self.rt, 1_000) < per_mille
    }

    fn is_faulty(&self, route: &str, rate: u64) -> bool {
        let scenario = &self.scenario;
        let route = scenario.fault_route.is_none_or(|r| r == route);
        route && self.elapsed() >= seconds(scenario.fault_start) && rate >= scenario.min_load
    }

    fn is_cold(&self) -> bool {
        self.elapsed() < seconds(self.scenario.cold_until)
    }

    /// Returns the outcome and latency of a request.
    fn serve(&self, new: bool, faulty: bool) -> (RequestOutcome, Duration) {
        let shared = within(self.scenario.both_bad, self.elapsed());
        let base = if shared { 30 } else { 3 };
        let failing = base
            + if new && faulty {
                self.scenario.failure_rate
            } else {
                0
            };
        let jitter = runtime::random_below(&self.rt, 20);
        let mut millis = 20 + jitter;
        if self.chance(20) || (shared && self.chance(700)) {
            millis += 200;
        }
        if new && (self.is_cold() || faulty && self.chance(self.scenario.slow_rate)) {
            millis *= 5;
        }
        match self.chance(failing) {
            true => (RequestOutcome::Failed, Duration::from_millis(millis)),
            false => (RequestOutcome::Ok, Duration::from_millis(millis)),
        }
    }

    fn count_request(&self, new: bool, bad: bool) {
        let at = self.elapsed();
        let mut observed = self.observed.lock().unwrap();
        let Observed {
            outcome,
            bad_results: count,
            ..
        } = &mut *observed;
        let before_proof = at < seconds(self.scenario.duration) / 5;
        let without_evidence = outcome.new_requests < 20;
        outcome.requests += 1;
        outcome.new_requests += u64::from(new);
        outcome.before_proof.0 += u64::from(new && before_proof);
        outcome.before_proof.1 += u64::from(before_proof);
        outcome.without_evidence.0 += u64::from(new && without_evidence);
        outcome.without_evidence.1 += u64::from(without_evidence);
        if new {
            outcome.last_new = at;
            *count += u64::from(bad);
        }
        if *count >= self.scenario.evident_results && outcome.evident_at.is_none() {
            outcome.evident_at = Some(at);
        }
    }

    /// Sends bursts of requests through one instance.
    async fn send_traffic(self, instance: Arc<Instance>) {
        let mut stopped = false;
        let mut rate = 0;
        loop {
            self.rt.sleep(BURST_INTERVAL).await;
            instance.rt.sleep(Duration::ZERO).await;
            let mut to_new = 0;
            for (index, route) in ROUTES.iter().enumerate() {
                let rare = self.scenario.rare_route && index == 2;
                let count = if rare {
                    u64::from(self.chance(40))
                } else {
                    self.scenario.burst_size
                };
                for _ in 0..count {
                    let request = runtime::random_below(&self.rt, u64::MAX);
                    let Some(version) = instance.moves.choose("index", route, request) else {
                        continue;
                    };
                    let new = &*version == "v2";
                    to_new += u64::from(new);
                    let faulty = self.is_faulty(route, rate);
                    let (outcome, latency) = self.serve(new, faulty);
                    // Slow replies of a cold version are not part of its fault.
                    let slow = latency.as_millis() >= 100 && !self.is_cold();
                    let bad = new && faulty && (outcome == RequestOutcome::Failed || slow);
                    self.count_request(new, bad);
                    self.observed.lock().unwrap().outcome.resumed += u64::from(new && stopped);
                    instance
                        .moves
                        .observe("index", route, &version, outcome, latency);
                }
            }
            rate = to_new * 4;
            stopped |= !instance.peer.scan(Space::Verdict, NAME).is_empty() && to_new == 0;
        }
    }

    /// Copies the records into the maps of all instances, as the exchange of configuration does.
    async fn spread_config(self, instances: Vec<Arc<Instance>>) {
        loop {
            for kind in ["service", "move"] {
                let listing = instances[1].platform.list(kind).await.unwrap_or_default();
                for object in listing.objects {
                    for instance in &instances {
                        instance
                            .peer
                            .store(instance.peer.own_index, &config_entry(&object));
                    }
                }
            }
            self.rt.sleep(Duration::from_millis(700)).await;
        }
    }

    /// Applies outage, pause, cold start and the operator's request at their times.
    async fn apply_events(self, instances: Vec<Arc<Instance>>) {
        let platform = &instances[0].platform;
        let process = &instances[0].rt;
        loop {
            let down = within(self.scenario.outage, self.elapsed());
            platform.set_faults(Faults {
                down,
                delay_ms: 4,
                ..Faults::default()
            });
            match within(self.scenario.pause, self.elapsed()) {
                true => process.pause(),
                false => process.resume(),
            }
            let cold = self.is_cold();
            for instance in &instances {
                instance.moves.set_cold("index", "v2", cold);
            }
            match self.scenario.take_back {
                Some(at) if self.elapsed() >= seconds(at) => request_take_back(platform).await,
                _ => {}
            }
            self.rt.sleep(Duration::from_millis(100)).await;
        }
    }
}

fn config_entry(object: &Object) -> Entry {
    Entry {
        space: Space::Config,
        name: object.key.to_string().into(),
        stamp: object.revision.0,
        value: Some(object.value.to_string().into()),
        expires: None,
    }
}

/// Changes the intent as an operator's tool does: the write is conditional on the version read.
async fn request_take_back(platform: &MemoryPlatform<VirtualRuntime>) {
    let key = Key::new("move", NAME);
    let Ok(Some(object)) = platform.get(&key).await else {
        return;
    };
    let mut record: VersionMove = record::decode(&object.value).unwrap();
    if record.intent == Intent::Proceed {
        record.intent = Intent::TakeBack;
        let value = serde_json::to_value(&record).unwrap();
        let _ = platform
            .put(&key, &value, Condition::Version(object.version))
            .await;
    }
}

async fn write_records(
    rt: &VirtualRuntime,
    platform: &MemoryPlatform<VirtualRuntime>,
    window: u64,
) {
    let version = service::Version {
        shards: 1,
        epoch: 1,
    };
    let versions = ["v1", "v2"].map(|name| (name.to_owned(), version.clone()));
    let route = service::Route { idempotent: true };
    let routes = ROUTES.map(|name| (name.to_owned(), route.clone()));
    let index = service::Service {
        schema: 1,
        name: "index".into(),
        active: "v1".into(),
        versions: versions.into(),
        routes: routes.into(),
        deadline_ms: 1_000,
        extra: Default::default(),
    };
    let start_ms = rt.wall();
    let record = VersionMove {
        schema: 1,
        name: NAME.into(),
        service: "index".into(),
        from: "v1".into(),
        to: "v2".into(),
        start_ms,
        deadline_ms: WallTime(start_ms.0 + window * 1_000),
        intent: Intent::Proceed,
        status: Status::default(),
        extra: Default::default(),
    };
    let index = serde_json::to_value(&index).unwrap();
    let record = serde_json::to_value(&record).unwrap();
    platform
        .put(&Key::new("service", "index"), &index, Condition::Absent)
        .await
        .unwrap();
    platform
        .put(&Key::new("move", NAME), &record, Condition::Absent)
        .await
        .unwrap();
}

async fn watch_status(simulation: Simulation, platform: MemoryPlatform<VirtualRuntime>) {
    loop {
        simulation.rt.sleep(Duration::from_millis(500)).await;
        let Ok(Some(object)) = platform.get(&Key::new("move", NAME)).await else {
            continue;
        };
        let record: VersionMove = record::decode(&object.value).unwrap();
        let mut observed = simulation.observed.lock().unwrap();
        if record.status.phase != Phase::Running && observed.outcome.final_at.is_none() {
            observed.outcome.final_at = Some(simulation.elapsed());
            observed.final_version = object.version.0;
        }
        if observed.outcome.final_at.is_some() {
            observed.outcome.rewrites = object.version.0 - observed.final_version;
        }
        observed.outcome.status = record.status;
    }
}

async fn start(rt: &VirtualRuntime) -> Vec<Arc<Instance>> {
    let copies: Vec<_> = (0..INSTANCES).map(|_| Mutex::default()).collect();
    let copies = Arc::new(copies);
    let platform = MemoryPlatform::new(rt.clone());
    let new = |own_index: usize| {
        let process = rt.fork();
        let copies = Arc::clone(&copies);
        let peer = Peer {
            rt: rt.clone(),
            own_index,
            copies,
        };
        let platform = platform.client();
        let name = format!("i{own_index}");
        let moves = Moves::new(
            process.clone(),
            platform.clone(),
            peer.clone(),
            Events::new(),
            &name,
        );
        process.spawn(control::run(moves.clone()));
        Arc::new(Instance {
            rt: process,
            moves,
            peer,
            platform,
        })
    };
    (0..INSTANCES).map(new).collect()
}

/// Simulates one move until 20 s after its record reached a final phase, but not longer than 60 s
/// after its deadline.
pub(crate) fn run(seed: u64, scenario: Scenario) -> Outcome {
    virtual_runtime::block_on(seed, move |rt| async move {
        let instances = start(&rt).await;
        write_records(&rt, &instances[0].platform, scenario.duration).await;
        let observed = Arc::default();
        let simulation = Simulation {
            rt: rt.clone(),
            scenario,
            observed,
        };
        rt.spawn(simulation.clone().spread_config(instances.clone()));
        rt.spawn(simulation.clone().apply_events(instances.clone()));
        rt.spawn(watch_status(
            simulation.clone(),
            instances[0].platform.clone(),
        ));
        for instance in &instances {
            if let Some(warm) = scenario.warm_capacity {
                instance.moves.set_warm_capacity("index", "v2", warm);
            }
            let traffic = simulation.clone().send_traffic(Arc::clone(instance));
            instance.rt.spawn(traffic);
        }
        let mut seconds_after_end = 0;
        while seconds_after_end < 20 && simulation.elapsed() < seconds(scenario.duration + 60) {
            rt.sleep(seconds(1)).await;
            let ended = simulation
                .observed
                .lock()
                .unwrap()
                .outcome
                .final_at
                .is_some();
            seconds_after_end +=
                u64::from(ended && simulation.elapsed() >= seconds(scenario.min_duration));
        }
        simulation.observed.lock().unwrap().outcome.clone()
    })
}

/// Simulates one move per seed, on a few threads.
pub(crate) fn run_all(seeds: Range<u64>, scenario: Scenario) -> Vec<Outcome> {
    const THREADS: u64 = 4;
    let worker = |first: u64| {
        let seeds = (seeds.start + first..seeds.end).step_by(THREADS as usize);
        thread::spawn(move || seeds.map(|seed| run(seed, scenario)).collect::<Vec<_>>())
    };
    let workers: Vec<_> = (0..THREADS).map(worker).collect();
    workers
        .into_iter()
        .flat_map(|worker| worker.join().unwrap())
        .collect()
}
