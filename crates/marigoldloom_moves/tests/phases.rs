//! Checks when the phase of a move is written, with late timers, a slow store, lost calls and an
//! instance that ends while it writes.

use std::collections::BTreeMap;
use std::future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_moves::phases::{self, Orders};
use marigoldloom_moves::plan::Exposure;
use marigoldloom_moves::window::{Attempt, Origin, WindowedMoves};
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::shared_map::SharedMap;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{Timestamp, WallTime};
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

const WINDOW: Duration = Duration::from_secs(12);

/// Time between two requests to the service.
const REQUEST_PERIOD: Duration = Duration::from_millis(10);

/// Time until a reply.
const REPLY_TIME: Duration = Duration::from_millis(5);

/// Time until what one instance publishes reaches the others.
const PUSH_TIME: Duration = Duration::from_millis(220);

/// Time until a change of the order reaches the instances.
const WATCH_TIME: Duration = Duration::from_millis(30);

/// Time until a call that was lost ends.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of calls to the platform that the phases of one move may take.
const MAX_CALLS: u32 = 12;

/// The same while each call takes long, so that others are due before the first one has ended.
const MAX_SLOW_CALLS: u32 = 28;

/// How the new version differs from the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// All requests fail.
    Fails,
    /// No request gets a reply.
    Silent,
}

/// What delays the write of the final phase.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Each timer of all instances fires late by up to this time.
    LateTimers(Duration),
    /// Each call to the platform takes this time.
    SlowStore(Duration),
    /// This many writes of a final phase get lost, and so do their answers.
    Lost(u32),
    /// This many writes of a final phase are refused.
    Refused(u32),
    /// The instance that writes the final phase first ends before the write arrives.
    WriterKilled,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    /// Number of the instances that send to the service.
    senders: usize,
    fault: Fault,
    trouble: Trouble,
}

/// A runtime whose timers fire late.
#[derive(Clone)]
struct LateRuntime {
    rt: VirtualRuntime,
    lateness: Duration,
}

impl Runtime for LateRuntime {
    fn now(&self) -> Timestamp {
        self.rt.now()
    }

    fn wall(&self) -> WallTime {
        self.rt.wall()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + 'static {
        let late = runtime::backoff(&self.rt, 0, self.lateness, self.lateness);
        self.rt.sleep(duration + late)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.rt.spawn(task);
    }

    fn random(&self) -> u64 {
        self.rt.random()
    }
}

/// The shared map of one instance.
#[derive(Clone)]
struct Replicated {
    rt: VirtualRuntime,
    /// Entries that were published here.
    own: Arc<Mutex<SharedMap>>,
    /// Entries that have reached all instances.
    all: Arc<Mutex<SharedMap>>,
}

impl Exchange for Replicated {
    fn publish(&self, entry: Entry) {
        let now = self.rt.wall();
        self.own.lock().unwrap().merge(entry.clone(), now);
        let (rt, all) = (self.rt.clone(), Arc::clone(&self.all));
        self.rt.spawn(async move {
            rt.sleep(PUSH_TIME).await;
            all.lock().unwrap().merge(entry, rt.wall());
        });
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        let mut found = BTreeMap::new();
        for map in [&self.all, &self.own] {
            let map = map.lock().unwrap();
            let entries = map.scan(space, prefix).cloned();
            found.extend(entries.map(|entry| (Arc::clone(&entry.name), entry)));
        }
        found.into_values().collect()
    }
}

/// The platform's state of the order.
#[derive(Debug, Default)]
struct StoreState {
    order: Option<Order>,
    /// The order as the instances know it.
    seen: Option<Order>,
    /// Time of the final phase since the order.
    ended: Option<(Phase, Duration)>,
    began: Timestamp,
    calls: u32,
    final_calls: u32,
}

/// One instance's access to the platform.
#[derive(Clone)]
struct Store {
    /// Runtime of the platform.
    rt: VirtualRuntime,
    instance: VirtualRuntime,
    trouble: Trouble,
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    /// Writes the phase unless the order has another revision.
    fn apply(&self, order: &Order, phase: Phase) -> Result<(), &'static str> {
        let mut state = self.state.lock().unwrap();
        let elapsed = self.rt.now().since(state.began);
        let Some(held) = state
            .order
            .as_mut()
            .filter(|o| o.revision == order.revision)
        else {
            return Err("another revision");
        };
        held.phase = Some(phase);
        held.revision += 1;
        let changed = held.clone();
        if phase != Phase::Running {
            state.ended.get_or_insert((phase, elapsed));
        }
        drop(state);
        let (rt, shared) = (self.rt.clone(), Arc::clone(&self.state));
        self.rt.spawn(async move {
            rt.sleep(WATCH_TIME).await;
            shared.lock().unwrap().seen = Some(changed);
        });
        Ok(())
    }
}

impl Orders for Store {
    type Error = &'static str;

    fn current(&self) -> Vec<Order> {
        let state = self.state.lock().unwrap();
        state.seen.iter().cloned().collect()
    }

    fn is_connected(&self) -> bool {
        true
    }

    async fn set_phase(&self, order: &Order, phase: Phase) -> Result<(), &'static str> {
        let earlier = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.final_calls += u32::from(phase != Phase::Running);
            state.final_calls.saturating_sub(1)
        };
        match self.trouble {
            Trouble::SlowStore(time) => {
                self.rt.sleep(time).await;
                self.apply(order, phase)
            }
            Trouble::Lost(count) if phase != Phase::Running && earlier < count => {
                self.rt.sleep(CALL_TIMEOUT).await;
                Err("no answer")
            }
            Trouble::Refused(count) if phase != Phase::Running && earlier < count => Err("refused"),
            Trouble::WriterKilled if phase != Phase::Running && earlier == 0 => {
                let writer = self.instance.clone();
                self.rt.spawn(async move { writer.kill() });
                future::pending().await
            }
            _ => self.apply(order, phase),
        }
    }
}

type Moves = WindowedMoves<LateRuntime, Replicated>;

struct Instance {
    moves: Moves,
    store: Store,
}

fn start(rt: &VirtualRuntime, case: Case, state: &Arc<Mutex<StoreState>>) -> Vec<Instance> {
    let all = Arc::default();
    let start = |number: usize| {
        let group = rt.fork();
        let lateness = match case.trouble {
            Trouble::LateTimers(time) => time,
            _ => Duration::ZERO,
        };
        let late = LateRuntime {
            rt: group.clone(),
            lateness,
        };
        let exchange = Replicated {
            rt: rt.clone(),
            own: Arc::default(),
            all: Arc::clone(&all),
        };
        let exposure = Exposure {
            share: 0.1,
            requests: 50.0,
        };
        let writer = Arc::from(format!("i{number}@0"));
        let moves = WindowedMoves::new(late.clone(), exchange, writer, exposure);
        let store = Store {
            rt: rt.clone(),
            instance: group,
            trouble: case.trouble,
            state: Arc::clone(state),
        };
        let run = phases::run(late.clone(), moves.clone(), store.clone());
        late.spawn(run);
        Instance { moves, store }
    };
    (0..case.instances).map(start).collect()
}

/// Sends one request through an instance.
fn send(rt: &VirtualRuntime, moves: &Moves, fault: Fault) {
    let new = moves.filter("s", rt.random(), true).preferred.is_some();
    let origin = Origin {
        service: "s",
        route: "search",
        version: if new { "v2" } else { "v1" },
    };
    moves.begin(origin);
    if new && fault == Fault::Silent {
        return;
    }
    let (rt, moves) = (rt.clone(), moves.clone());
    rt.clone().spawn(async move {
        rt.sleep(REPLY_TIME).await;
        moves.observe(&Attempt {
            origin,
            failed: new && fault == Fault::Fails,
            slow: Some(false),
        });
    });
}

/// What one case has led to.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// Final phase that the platform states, and when it was written.
    ended: Option<(Phase, Duration)>,
    calls: u32,
}

async fn play(rt: VirtualRuntime, case: Case) -> Outcome {
    let state = Arc::new(Mutex::new(StoreState::default()));
    let instances = start(&rt, case, &state);
    // The hold after the start of a process ends before the order.
    rt.sleep(Duration::from_secs(3)).await;
    let began = rt.now();
    {
        let order = Order {
            name: Arc::from("s@1@v2"),
            service: Arc::from("s"),
            version: Arc::from("v2"),
            window: WINDOW,
            phase: None,
            revision: 1,
        };
        let mut state = state.lock().unwrap();
        state.began = began;
        state.order = Some(order.clone());
        state.seen = Some(order);
    }
    // The front end applies a new view at once.
    for instance in &instances {
        instance.moves.tick(&instance.store.current(), true);
    }
    while rt.now().since(began) < WINDOW {
        let sender = runtime::random_below(&rt, case.senders as u64);
        let instance = &instances[usize::try_from(sender).unwrap()];
        send(&rt, &instance.moves, case.fault);
        rt.sleep(REQUEST_PERIOD).await;
    }
    for instance in &instances {
        instance.store.instance.kill();
    }
    let state = state.lock().unwrap();
    Outcome {
        ended: state.ended,
        calls: state.calls,
    }
}

/// Guards against a phase that is written so late that a slow instance, a slow store or one lost
/// call makes it miss the end of the window.
#[test]
fn the_final_phase_is_written_in_time() {
    let ms = Duration::from_millis;
    // With the time before the end of the window by which the platform must state the phase.
    let troubles = [
        (Trouble::None, ms(450)),
        (Trouble::LateTimers(ms(150)), ms(200)),
        (Trouble::LateTimers(ms(300)), ms(50)),
        (Trouble::SlowStore(ms(100)), ms(300)),
        (Trouble::SlowStore(ms(300)), ms(100)),
        (Trouble::Lost(1), ms(200)),
        (Trouble::Lost(2), ms(100)),
        (Trouble::Refused(1), ms(300)),
        (Trouble::Refused(3), ms(200)),
        (Trouble::WriterKilled, ms(200)),
    ];
    let phases = [
        (Fault::None, Phase::Done),
        (Fault::Fails, Phase::TakenBack),
        (Fault::Silent, Phase::TakenBack),
    ];
    let sizes = [(1, 1), (3, 3), (8, 8), (100, 40)];
    let mut problems = Vec::new();
    let mut seed = 0;
    for (instances, senders) in sizes {
        for (trouble, margin) in troubles {
            for (fault, expected) in phases {
                seed += 1;
                let case = Case {
                    instances,
                    senders,
                    fault,
                    trouble,
                };
                let max_calls = match trouble {
                    Trouble::SlowStore(_) => MAX_SLOW_CALLS,
                    _ => MAX_CALLS,
                };
                let outcome = virtual_runtime::block_on(seed, |rt| play(rt, case));
                let problem = match outcome.ended {
                    // No other instance can make up for that.
                    _ if instances == 1
                        && matches!(trouble, Trouble::Lost(2..) | Trouble::WriterKilled) =>
                    {
                        continue;
                    }
                    None => "no final phase",
                    Some((phase, _)) if phase != expected => "another phase",
                    Some((_, at)) if at + margin > WINDOW => "late",
                    Some(_) if outcome.calls > max_calls => "too many calls",
                    Some(_) => continue,
                };
                problems.push((problem, margin, case, outcome));
            }
        }
    }
    let lines = problems.iter().map(|problem| format!("{problem:?}\n"));
    assert!(problems.is_empty(), "{}", lines.collect::<String>());
}
