//! Checks what a bad version gets in sum over all instances while a move has seconds to complete.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_moves::window::{Attempt, TICK_INTERVAL, WindowedMoves};
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::shared_map::SharedMap;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

/// Largest part of the requests that a bad version may get over the window.
const BOUND: f64 = 0.1;

/// Requests that it may get in addition.
const SLACK: f64 = 50.0;

/// Bad replies, over all instances, after which it must get no more requests.
const BAD_LIMIT: u64 = 50;

const WINDOW: Duration = Duration::from_secs(12);

/// The shared map of the instances that reach each other.
#[derive(Clone)]
struct Partition {
    rt: VirtualRuntime,
    map: Arc<Mutex<SharedMap>>,
}

impl Exchange for Partition {
    fn publish(&self, entry: Entry) {
        self.map.lock().unwrap().merge(entry, self.rt.wall());
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        let map = self.map.lock().unwrap();
        map.scan(space, prefix).cloned().collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    /// Number of the instances that send to the service's replicas.
    senders: usize,
    /// Number of groups of instances that don't reach the other groups.
    partitions: usize,
    /// Requests to the service in each tick.
    rate: u32,
    /// Part of the window after which the new version fails all requests; above 1 never.
    bad_from: f64,
    /// Part of the window after which all instances are replaced; above 1 never.
    replaced_at: f64,
    /// Whether the instances have contact to the platform.
    connected: bool,
}

/// What the new version got in a window, and what was decided.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    all: u64,
    new: u64,
    bad: u64,
    phase: Option<Phase>,
}

fn order(phase: Option<Phase>) -> Order {
    Order {
        name: Arc::from("s@1@v2"),
        service: Arc::from("s"),
        version: Arc::from("v2"),
        window: WINDOW,
        phase,
        revision: 1,
    }
}

type Instances = Vec<WindowedMoves<VirtualRuntime, Partition>>;

fn start(rt: &VirtualRuntime, partitions: &[Partition], count: usize, start: u32) -> Instances {
    let start = |number: usize| {
        let exchange = partitions[number % partitions.len()].clone();
        let writer = Arc::from(format!("i{number}@{start}"));
        WindowedMoves::new(rt.clone(), exchange, writer, BOUND)
    };
    (0..count).map(start).collect()
}

/// Sends one request through `instance`. Returns whether it went to the new version.
fn send(rt: &VirtualRuntime, instance: &Instances, senders: usize, bad: bool) -> bool {
    let random = rt.random();
    let sender = usize::try_from(random % senders as u64).unwrap();
    let moves = &instance[sender];
    let new = moves.filter("s", rt.random(), true).preferred.is_some();
    moves.observe(&Attempt {
        service: "s",
        route: ["search", "tag"][usize::from(random >> 32 & 3 == 0)],
        version: if new { "v2" } else { "v1" },
        failed: new && bad,
        slow: Some(false),
    });
    new
}

async fn play(rt: VirtualRuntime, case: Case) -> Sums {
    let partition = || Partition {
        rt: rt.clone(),
        map: Arc::default(),
    };
    let partitions: Vec<_> = (0..case.partitions).map(|_| partition()).collect();
    let mut instances = start(&rt, &partitions, case.instances, 0);
    // The hold after the start of a process ends before the order.
    rt.sleep(Duration::from_secs(3)).await;
    let began = rt.now();
    let mut sums = Sums::default();
    let mut replaced = false;
    while rt.now().since(began) < WINDOW {
        let elapsed = rt.now().since(began).as_secs_f64() / WINDOW.as_secs_f64();
        if elapsed >= case.replaced_at && !replaced {
            replaced = true;
            instances = start(&rt, &partitions, case.instances, 1);
        }
        for instance in &instances {
            let due = instance.tick(&[order(sums.phase)], case.connected);
            let mut due = due.iter().filter_map(|order| order.phase);
            let ended = due.rfind(|phase| *phase != Phase::Running);
            sums.phase = ended.or(sums.phase);
        }
        let bad = elapsed >= case.bad_from;
        for _ in 0..case.rate {
            let new = send(&rt, &instances, case.senders, bad);
            sums.all += 1;
            sums.new += u64::from(new);
            sums.bad += u64::from(new && bad);
        }
        rt.sleep(TICK_INTERVAL).await;
    }
    sums
}

/// Guards against a bound that holds for each instance but not in sum, or not if the version turns
/// bad late in the window.
#[test]
fn exposure_to_a_bad_version_is_bounded_in_sum() {
    let small = Case {
        instances: 8,
        senders: 8,
        partitions: 1,
        rate: 9,
        bad_from: 0.0,
        replaced_at: 2.0,
        connected: true,
    };
    let target = Case {
        instances: 1_300,
        senders: 40,
        rate: 200,
        ..small
    };
    let late = [0.0, 0.3, 0.7, 0.9, 0.96].map(|bad_from| Case { bad_from, ..small });
    let others = [
        target,
        Case {
            bad_from: 0.9,
            ..target
        },
        Case {
            partitions: 3,
            ..small
        },
        Case {
            replaced_at: 0.1,
            ..small
        },
        Case {
            replaced_at: 0.5,
            bad_from: 0.4,
            ..small
        },
        Case {
            connected: false,
            ..small
        },
        Case {
            partitions: 2,
            ..target
        },
    ];
    for (seed, case) in (1..).zip(late.into_iter().chain(others)) {
        let sums = virtual_runtime::block_on(seed, |rt| play(rt, case));
        let allowed = sums.all as f64 * BOUND + SLACK;
        assert!(sums.new as f64 <= allowed, "{case:?}: {sums:?}");
        assert_ne!(
            sums.phase,
            Some(Phase::Done).filter(|_| case.bad_from < 0.9)
        );
        let soon = case.bad_from < 0.9 && case.senders == 8;
        assert!(!soon || sums.bad < BAD_LIMIT, "{case:?}: {sums:?}");
        assert!(case.connected || sums.new == 0, "{case:?}: {sums:?}");
    }
}

/// Guards against an instance that was cut off at the end of a window, takes a version back for want
/// of proof and overwrites the phase that the others have written.
#[test]
fn an_instance_without_contact_decides_nothing_for_want_of_proof() {
    virtual_runtime::block_on(1, |rt| async move {
        let partition = Partition {
            rt: rt.clone(),
            map: Arc::default(),
        };
        let cut = &start(&rt, &[partition], 1, 0)[0];
        cut.tick(&[order(Some(Phase::Running))], true);
        rt.sleep(WINDOW + Duration::from_secs(5)).await;
        let due = cut.tick(&[order(Some(Phase::Running))], false);
        assert_eq!(due, [], "a phase without contact");
        let due = cut.tick(&[order(Some(Phase::Done))], true);
        assert_eq!(due, [], "a phase after the final one");
    });
}

/// Guards against good versions that are taken back or not completed in time.
#[test]
fn good_versions_are_completed_in_time() {
    for (seed, instances) in [8, 8, 8, 40].into_iter().enumerate() {
        let case = Case {
            instances,
            senders: instances,
            partitions: 1,
            rate: 9,
            bad_from: 2.0,
            replaced_at: 2.0,
            connected: true,
        };
        let sums = virtual_runtime::block_on(seed as u64, |rt| play(rt, case));
        assert_eq!(sums.phase, Some(Phase::Done), "{case:?}: {sums:?}");
    }
}
