//! Simulates requests under single faults and pairs of faults, with fixed seeds. Guards against
//! requests that run twice and against "not run" refusals of requests that ran.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_claims::claims::Claims;
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::refusal::{Refusal, RunStatus};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use support::Network;

const SEEDS: u64 = 40;
const INSTANCES: usize = 3;
const KEYS: usize = 24;
const ATTEMPTS: usize = 5;
const BUCKETS: u32 = 3;
const DEADLINE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LostAnswers,
    LateWrites,
    Pause,
    Outage,
    Kill,
    Slow,
}

const FAULTS: [Fault; 6] = [
    Fault::LostAnswers,
    Fault::LateWrites,
    Fault::Pause,
    Fault::Outage,
    Fault::Kill,
    Fault::Slow,
];

/// What the upstream and the caller saw of one key.
#[derive(Debug, Default)]
struct KeyLog {
    runs: u32,
    bodies: Vec<String>,
    /// Answer to the latest attempt; `None` while it is pending or if its instance died.
    last: Option<Result<Response, Refusal>>,
    /// "Not run" refusals that arrived after the request had run.
    false_not_run: u32,
}

#[derive(Clone)]
struct Simulation {
    rt: VirtualRuntime,
    logs: Arc<Mutex<BTreeMap<usize, KeyLog>>>,
    /// Whether the upstream refuses a tenth of the requests and loses the answers of another tenth.
    flaky: bool,
}

#[derive(Clone)]
struct Instance {
    rt: VirtualRuntime,
    claims: Claims<VirtualRuntime, Network>,
}

impl Instance {
    fn new(rt: &VirtualRuntime, network: &Network) -> Self {
        let process = rt.fork();
        let claims = Claims::new(process.clone(), network.clone(), BUCKETS);
        let rt = process;
        Self { rt, claims }
    }
}

impl Simulation {
    fn update_log<T>(&self, key: usize, update: impl FnOnce(&mut KeyLog) -> T) -> T {
        update(self.logs.lock().unwrap().entry(key).or_default())
    }

    async fn sleep_up_to(&self, millis: u64) {
        let wait = runtime::random_below(&self.rt, millis + 1);
        self.rt.sleep(Duration::from_millis(wait)).await;
    }

    /// Simulates an upstream that runs each request that it doesn't refuse, also repeated ones.
    async fn run_upstream(&self, key: usize) -> DispatchResult {
        let chance = runtime::random_below(&self.rt, 10);
        if self.flaky && chance == 0 {
            return DispatchResult::NotRun;
        }
        self.sleep_up_to(20).await;
        let run = self.update_log(key, |log| {
            log.runs += 1;
            log.runs
        });
        self.sleep_up_to(200).await;
        match self.flaky && chance == 1 {
            true => DispatchResult::Lost,
            false => DispatchResult::Finished(Response {
                status: 200,
                body: Some(format!("booking {key} run {run}")),
            }),
        }
    }

    /// Sends the request through one instance and logs the answer when it arrives.
    async fn send(self, instance: Instance, key: usize, kind: AttemptKind) {
        let request = Request {
            key: Key::new("rampe", "crew", &format!("k{key}")).unwrap(),
            hash: 7,
            kind,
        };
        let deadline = instance.rt.now() + DEADLINE;
        let dispatch = || self.run_upstream(key);
        let answer = instance.claims.run(&request, deadline, dispatch).await;
        self.update_log(key, |log| {
            let refused_as_not_run =
                matches!(&answer, Err(r) if r.run_status() == RunStatus::NotRun);
            log.false_not_run += u32::from(refused_as_not_run && log.runs > 0);
            if let Ok(outcome) = &answer {
                log.bodies.extend(outcome.body.clone());
            }
            log.last = Some(answer);
        });
    }

    /// Sends a key until it is answered or [`ATTEMPTS`] is reached, each time through another
    /// instance.
    async fn run_caller(self, instances: Vec<Instance>, key: usize) {
        self.sleep_up_to(3_000).await;
        for number in 0..ATTEMPTS {
            let kind = match number {
                0 => AttemptKind::First {
                    until: self.rt.wall() + DEADLINE,
                },
                _ => AttemptKind::Repeated,
            };
            self.update_log(key, |log| log.last = None);
            let instance = instances[(key + number) % INSTANCES].clone();
            let process = instance.rt.clone();
            process.spawn(self.clone().send(instance, key, kind));
            self.rt.sleep(DEADLINE + Duration::from_millis(100)).await;
            if self.update_log(key, |log| matches!(log.last, Some(Ok(_)))) {
                return;
            }
        }
    }

    async fn inject_fault(self, fault: Fault, instances: Vec<Instance>, network: Network) {
        self.sleep_up_to(1_500).await;
        let platform = &network.memory;
        let target = &instances[runtime::random_below(&self.rt, 3) as usize].rt;
        let before = platform.faults();
        match fault {
            Fault::Pause => {
                target.pause();
                self.sleep_up_to(5_000).await;
                target.resume();
            }
            Fault::Kill => target.kill(),
            Fault::LateWrites => network.set_max_delay(Some(Duration::from_secs(6))),
            Fault::Outage => platform.set_faults(Faults {
                down: true,
                ..before
            }),
            Fault::Slow => platform.set_faults(Faults {
                delay_ms: 900,
                ..before
            }),
            Fault::LostAnswers => {
                for _ in 0..20 {
                    let now = platform.faults();
                    platform.set_faults(Faults {
                        lost_answers: 2,
                        ..now
                    });
                    self.sleep_up_to(200).await;
                }
            }
        }
        self.sleep_up_to(4_000).await;
        network.set_max_delay(None);
        let now = platform.faults();
        platform.set_faults(match fault {
            Fault::Outage => Faults { down: false, ..now },
            Fault::Slow => Faults { delay_ms: 4, ..now },
            _ => now,
        });
    }
}

fn run(seed: u64, faults: Vec<Fault>) -> BTreeMap<usize, KeyLog> {
    virtual_runtime::block_on(seed, |rt| async move {
        let memory = MemoryPlatform::new(rt.clone());
        memory.set_faults(Faults {
            delay_ms: 4,
            ..Faults::default()
        });
        let network = Network::new(&rt, memory);
        let instances: Vec<_> = (0..INSTANCES)
            .map(|_| Instance::new(&rt, &network))
            .collect();
        let flaky = !faults.is_empty();
        let logs = Arc::default();
        let simulation = Simulation {
            rt: rt.clone(),
            logs,
            flaky,
        };
        for fault in faults {
            rt.spawn(
                simulation
                    .clone()
                    .inject_fault(fault, instances.clone(), network.clone()),
            );
        }
        for key in 0..KEYS {
            rt.spawn(simulation.clone().run_caller(instances.clone(), key));
        }
        rt.sleep(Duration::from_secs(40)).await;
        std::mem::take(&mut *simulation.logs.lock().unwrap())
    })
}

fn check_seed(seed: u64, faults: &[Fault]) -> usize {
    let logs = run(seed, faults.to_vec());
    assert_eq!(logs.len(), KEYS);
    for (key, log) in &logs {
        let context = format!("seed {seed}, faults {faults:?}, key {key}: {log:?}");
        assert!(log.runs <= 1, "ran twice: {context}");
        assert_eq!(log.false_not_run, 0, "false 'not run': {context}");
        assert!(log.bodies.windows(2).all(|b| b[0] == b[1]), "{context}");
        match &log.last {
            Some(Ok(_)) => assert_eq!(log.runs, 1, "{context}"),
            Some(Err(r)) if r.run_status() == RunStatus::NotRun => {
                assert_eq!(log.runs, 0, "{context}");
            }
            _ => {}
        }
    }
    let answered = |r: &&KeyLog| matches!(r.last, Some(Ok(_)));
    logs.values().filter(answered).count()
}

/// Guards against claims that get lost or stuck without any fault.
#[test]
fn without_faults_every_request_is_answered() {
    for seed in 0..SEEDS {
        assert_eq!(check_seed(seed, &[]), KEYS, "seed {seed}");
    }
}

/// Guards against double runs and false "not run" under each fault and each pair of faults.
#[test]
fn no_fault_or_pair_of_faults_makes_a_request_run_twice() {
    for (i, &first) in FAULTS.iter().enumerate() {
        for &second in &FAULTS[i..] {
            let faults = match first == second {
                true => vec![first],
                false => vec![first, second],
            };
            let answered: usize = (0..SEEDS).map(|seed| check_seed(seed, &faults)).sum();
            let sent = KEYS * SEEDS as usize;
            println!("{faults:?}: {answered} of {sent} requests answered");
            assert!(answered * 2 > sent, "{faults:?}: {answered} of {sent}");
        }
    }
}
