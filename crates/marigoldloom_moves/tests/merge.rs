//! Checks that reports merge in any order and that a decision to take a move back is final.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_moves::control;
use marigoldloom_moves::evidence::{CounterPair, Counters, MergedReports, Report};
use marigoldloom_moves::moves::{Moves, RequestOutcome};
use marigoldloom_moves::share::Step;
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::shared_map::SharedMap;
use marigoldloom_platform::memory::MemoryPlatform;
use marigoldloom_records::service;
use marigoldloom_records::version_move::{Intent, Phase, Status, VersionMove};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::WallTime;
use marigoldloom_telemetry::event::Events;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use quickcheck::{Arbitrary, Gen};

const NAME: &str = "to-v2";
const WRITERS: [&str; 3] = ["i1", "i2", "i3"];
const ROUTES: [&str; 2] = ["search", "tag"];

/// Reports of few writers, routes and steps, so that many have the same keys.
#[derive(Clone, Debug)]
struct Evidence(Vec<(&'static str, Report)>);

impl Arbitrary for Evidence {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = usize::arbitrary(g) % 6;
        let reports = (0..len).map(|_| (*g.choose(&WRITERS).unwrap(), report(g)));
        Self(reports.collect())
    }
}

impl Evidence {
    fn merged(&self) -> MergedReports {
        let mut merged = MergedReports::default();
        for (writer, report) in &self.0 {
            merged.add(writer, report);
        }
        merged
    }
}

fn report(g: &mut Gen) -> Report {
    let mut routes: BTreeMap<String, BTreeMap<Step, CounterPair>> = BTreeMap::new();
    for _ in 0..u8::arbitrary(g) % 4 {
        let route = (*g.choose(&ROUTES).unwrap()).to_owned();
        let step = *g.choose(&Step::ALL).unwrap();
        let pair = CounterPair {
            new: counters(g),
            old: counters(g),
        };
        routes.entry(route).or_default().insert(step, pair);
    }
    Report {
        elapsed_ms: u64::from(u8::arbitrary(g)),
        done: bool::arbitrary(g),
        routes,
    }
}

fn counters(g: &mut Gen) -> Counters {
    let mut count = || u64::from(u8::arbitrary(g) % 8);
    Counters {
        requests: count(),
        failures: count(),
        timed: count(),
        slow: count(),
        started: count(),
        discarded: count(),
    }
}

fn merge_all(parts: &[&MergedReports]) -> MergedReports {
    let mut merged = MergedReports::default();
    parts.iter().for_each(|part| merged.merge(part));
    merged
}

fn is_at_most(before: Counters, after: Counters) -> bool {
    before.requests <= after.requests
        && before.failures <= after.failures
        && before.timed <= after.timed
        && before.slow <= after.slow
        && before.started <= after.started
        && before.discarded <= after.discarded
}

quickcheck::quickcheck! {
    /// Guards against different sums on instances that got the reports in different orders.
    fn merging_is_commutative(a: Evidence, b: Evidence) -> bool {
        let (a, b) = (a.merged(), b.merged());
        merge_all(&[&a, &b]) == merge_all(&[&b, &a])
    }

    /// Guards against sums that depend on how reports were grouped before.
    fn merging_is_associative(a: Evidence, b: Evidence, c: Evidence) -> bool {
        let (a, b, c) = (a.merged(), b.merged(), c.merged());
        merge_all(&[&merge_all(&[&a, &b]), &c]) == merge_all(&[&a, &merge_all(&[&b, &c])])
    }

    /// Guards against counting reports twice that arrive twice.
    fn merging_is_idempotent(a: Evidence, b: Evidence) -> bool {
        let (a, b) = (a.merged(), b.merged());
        let once = merge_all(&[&a, &b]);
        merge_all(&[&once, &b]) == once && merge_all(&[&once, &once]) == once
    }

    /// Guards against counters that decrease when an older report arrives late.
    fn merging_never_decreases_counters(a: Evidence, b: Evidence) -> bool {
        let (a, b) = (a.merged(), b.merged());
        let both = merge_all(&[&a, &b]);
        let grown = ROUTES.iter().all(|route| {
            let (before, after) = (a.total(route, &Step::ALL), both.total(route, &Step::ALL));
            is_at_most(before.new, after.new) && is_at_most(before.old, after.old)
        });
        grown && both.is_done() >= a.is_done()
    }

    /// Guards against a verdict that is undone by an older or newer record, another verdict, a
    /// deletion or evidence of completion, in any order.
    fn taken_back_move_stays_taken_back(messages: Vec<Message>, later: Vec<Message>) -> bool {
        let (before, later) = virtual_runtime::block_on(1, move |rt| run(rt, messages, later));
        before == 0 && later == 0
    }
}

/// An entry that an instance gets from others.
#[derive(Clone, Debug)]
enum Message {
    /// A version of the record, with a stamp.
    Record(u8, Phase, Intent),
    /// A verdict entry, without a value or with one that can't be read.
    Verdict(u8, Option<&'static str>),
    /// A report that the move is complete.
    Done(u8),
}

impl Arbitrary for Message {
    fn arbitrary(g: &mut Gen) -> Self {
        let stamp = u8::arbitrary(g) % 8;
        let phases = [Phase::Running, Phase::Done, Phase::TakenBack];
        let phase = *g.choose(&phases).unwrap();
        let intent = *g.choose(&[Intent::Proceed, Intent::TakeBack]).unwrap();
        let value = *g.choose(&[None, Some("{}"), Some("later")]).unwrap();
        match u8::arbitrary(g) % 3 {
            0 => Self::Record(stamp, phase, intent),
            1 => Self::Verdict(stamp, value),
            _ => Self::Done(stamp),
        }
    }
}

impl Message {
    fn entry(&self) -> Entry {
        match self {
            Self::Record(stamp, phase, intent) => record(u64::from(*stamp) + 2, *phase, *intent),
            Self::Verdict(stamp, value) => entry(
                Space::Verdict,
                NAME,
                u64::from(*stamp),
                value.map(str::to_owned),
            ),
            Self::Done(stamp) => {
                let report = Report {
                    done: true,
                    ..Report::default()
                };
                let value = serde_json::to_string(&report).unwrap();
                entry(
                    Space::Evidence,
                    "to-v2/i9/1",
                    u64::from(*stamp),
                    Some(value),
                )
            }
        }
    }
}

fn entry(space: Space, name: &str, stamp: u64, value: Option<String>) -> Entry {
    Entry {
        space,
        name: name.into(),
        stamp,
        value: value.map(Arc::from),
        expires: None,
    }
}

fn record(stamp: u64, phase: Phase, intent: Intent) -> Entry {
    let record = VersionMove {
        schema: 1,
        name: NAME.into(),
        service: "index".into(),
        from: "v1".into(),
        to: "v2".into(),
        start_ms: WallTime(1_700_000_000_000),
        deadline_ms: WallTime(1_700_000_600_000),
        intent,
        status: Status {
            phase,
            ..Status::default()
        },
        extra: Default::default(),
    };
    let value = serde_json::to_string(&record).unwrap();
    entry(Space::Config, "move/to-v2", stamp, Some(value))
}

fn index_service() -> Entry {
    let version = service::Version {
        shards: 1,
        epoch: 1,
    };
    let versions = ["v1", "v2"].map(|name| (name.to_owned(), version.clone()));
    let index = service::Service {
        schema: 1,
        name: "index".into(),
        active: "v1".into(),
        versions: versions.into(),
        routes: [("search".to_owned(), service::Route { idempotent: true })].into(),
        deadline_ms: 1_000,
        extra: Default::default(),
    };
    let value = serde_json::to_string(&index).unwrap();
    entry(Space::Config, "service/index", 1, Some(value))
}

/// One instance's shared map, with the merge rules of production.
#[derive(Clone)]
struct LocalMap {
    rt: VirtualRuntime,
    map: Arc<Mutex<SharedMap>>,
}

impl Exchange for LocalMap {
    fn publish(&self, entry: Entry) {
        let now = self.rt.wall();
        self.map.lock().unwrap().merge(entry, now);
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        let map = self.map.lock().unwrap();
        map.scan(space, prefix).cloned().collect()
    }
}

type TestMoves = Moves<VirtualRuntime, MemoryPlatform<VirtualRuntime>, LocalMap>;

/// An instance with a move that has run for 2 s.
async fn start_move(rt: &VirtualRuntime) -> (LocalMap, TestMoves) {
    let map = LocalMap {
        rt: rt.clone(),
        map: Arc::new(Mutex::new(SharedMap::new())),
    };
    let platform = MemoryPlatform::new(rt.clone());
    let moves = Moves::new(rt.clone(), platform, map.clone(), Events::new(), "i1");
    map.publish(index_service());
    map.publish(record(1, Phase::Running, Intent::Proceed));
    rt.spawn(control::run(moves.clone()));
    rt.sleep(Duration::from_secs(2)).await;
    (map, moves)
}

/// Returns the numbers of requests to the new version after the move was taken back: before and
/// after `later`.
async fn run(rt: VirtualRuntime, messages: Vec<Message>, later: Vec<Message>) -> (u64, u64) {
    let (map, moves) = start_move(&rt).await;
    for message in &messages {
        map.publish(message.entry());
        rt.sleep(Duration::from_millis(100)).await;
    }
    map.publish(record(100, Phase::Running, Intent::TakeBack));
    rt.sleep(Duration::from_secs(2)).await;
    let before = new_requests(&moves);
    for message in &later {
        let mut entry = message.entry();
        entry.stamp += 200;
        map.publish(entry);
        rt.sleep(Duration::from_secs(1)).await;
    }
    (before, new_requests(&moves))
}

/// Sends 2,000 requests and returns how many go to the new version. At a share of 1% some do.
fn new_requests(moves: &TestMoves) -> u64 {
    let mut count = 0;
    for request in 0..2_000 {
        let version = moves.choose("index", "search", request).unwrap();
        count += u64::from(&*version == "v2");
        moves.observe(
            "index",
            "search",
            &version,
            RequestOutcome::Ok,
            Duration::ZERO,
        );
    }
    count
}

/// Guards against a test above that passes only because the move never takes traffic.
#[test]
fn running_move_takes_traffic() {
    let share = virtual_runtime::block_on(1, |rt| async move {
        let (_, moves) = start_move(&rt).await;
        new_requests(&moves)
    });
    assert!(share > 0);
}
