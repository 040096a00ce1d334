//! Checks the rate of platform calls after an outage. If a move ends during the outage, every
//! instance has the status to write; they must not all call the platform as soon as it returns.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_moves::control;
use marigoldloom_moves::moves::Moves;
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::memory::{Faults, Memory};
use marigoldloom_platform::object::Key;
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_records::version_move::{Intent, Phase, Status, VersionMove};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::WallTime;
use marigoldloom_telemetry::event::Events;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

const INSTANCES: u64 = 64;

/// At most one in this many instances may read the record within a second.
const READ_DIVISOR: u64 = 4;

type Entries = BTreeMap<(Space, Arc<str>), Entry>;

/// A shared map without delay between instances.
#[derive(Clone, Default)]
struct SharedMap(Arc<Mutex<Entries>>);

impl Exchange for SharedMap {
    fn publish(&self, entry: Entry) {
        let key = (entry.space, Arc::clone(&entry.name));
        self.0.lock().unwrap().insert(key, entry);
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        let map = self.0.lock().unwrap();
        let found = map.iter();
        let found = found.filter(|((s, n), _)| *s == space && n.starts_with(prefix));
        found.map(|(_, entry)| entry.clone()).collect()
    }
}

fn entry(space: Space, name: &str, value: &serde_json::Value) -> Entry {
    Entry {
        space,
        name: Arc::from(name),
        stamp: 1,
        value: Some(Arc::from(value.to_string())),
        expires: None,
    }
}

fn record(now: WallTime) -> VersionMove {
    VersionMove {
        schema: 1,
        name: "to-v2".to_owned(),
        service: "index".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        start_ms: now,
        deadline_ms: now + Duration::from_secs(3_600),
        intent: Intent::Proceed,
        status: Status::default(),
        extra: Default::default(),
    }
}

async fn phase(platform: &Memory<VirtualRuntime>, key: &Key) -> Phase {
    let object = platform.get(key).await.unwrap().unwrap();
    let record: VersionMove = serde_json::from_value(object.value).unwrap();
    record.status.phase
}

#[test]
fn instances_without_evidence_spread_their_calls_after_an_outage() {
    for seed in 0..3 {
        let (max_reads, phase) = virtual_runtime::block_on(seed, |rt| async move {
            let platform = Memory::new(rt.clone());
            let value = serde_json::to_value(record(rt.wall())).unwrap();
            let key = Key::new("move", "to-v2");
            platform.put(&key, &value, Condition::Any).await.unwrap();
            let map = SharedMap::default();
            map.publish(entry(Space::Config, "move/to-v2", &value));
            for index in 0..INSTANCES {
                let (platform, name) = (platform.client(), format!("i{index}"));
                let rt = rt.fork();
                let moves = Moves::new(rt.clone(), platform, map.clone(), Events::new(), &name);
                rt.spawn(control::run(moves));
            }
            let down = Faults {
                down: true,
                ..Faults::default()
            };
            platform.set_faults(down);
            let verdict = serde_json::json!({"reason": "bad", "at_ms": rt.wall()});
            map.publish(entry(Space::Verdict, "to-v2", &verdict));
            rt.sleep(Duration::from_secs(300)).await;
            platform.set_faults(Faults::default());
            let mut max_reads = 0;
            for _ in 0..60 {
                let before = platform.counters().get;
                rt.sleep(Duration::from_secs(1)).await;
                max_reads = max_reads.max(platform.counters().get - before);
            }
            (max_reads, phase(&platform, &key).await)
        });
        assert!(
            max_reads > 0 && max_reads <= INSTANCES / READ_DIVISOR,
            "{max_reads} reads"
        );
        assert_eq!(phase, Phase::TakenBack);
    }
}
