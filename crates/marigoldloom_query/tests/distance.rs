//! Tests the use of upstreams in distant failure domains.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_records::failure_domain;
use marigoldloom_testkit::fake_fleet;

/// Guards against a limit on requests in flight that ignores network delay. With one request per
/// slot, replicas 20 ms away are busy only a third of the time, and queries time out while the
/// other failure domain is out. The load is half of what the remaining replicas can run.
#[test]
fn distant_replicas_carry_the_load_of_a_domain_that_is_out() {
    for seed in 0..5 {
        let calls = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan {
                slots: 2,
                network: Duration::from_millis(1),
                remote: Duration::from_millis(20),
                ..fake_fleet::Plan::default()
            };
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            world.publish([fake_fleet::domain(1, failure_domain::State::Out)]);
            let gap = Duration::from_millis(22);
            world.drive("q", 200, gap, Duration::from_secs(1)).await
        });
        let full = calls.iter().filter(|c| c.is_full()).count();
        let p99 = support::percentile(&calls, 99);
        println!("seed {seed}: {full} of 200 full, p99 {p99:?}");
        assert_eq!(full, 200, "seed {seed}");
        assert!(p99 <= Duration::from_millis(280), "seed {seed}: {p99:?}");
    }
}

/// Guards against canaries on distant shards. All other shards of the query wait for the canary,
/// so most queries would take the longest network delay in addition.
#[test]
fn canary_prefers_a_near_shard() {
    for seed in 0..5 {
        let (ledger, near) = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan {
                remote: Duration::from_millis(20),
                ..fake_fleet::Plan::default()
            };
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            let gap = Duration::from_millis(50);
            world.drive("q", 100, gap, Duration::from_secs(1)).await;
            let topology = world.engine.topology().unwrap();
            let upstreams = topology.service("search").unwrap().upstreams().values();
            let own = upstreams.filter(|r| *r.domain == *topology.own_domain());
            let near: BTreeSet<u32> = own.flat_map(|r| r.shards.clone()).collect();
            (world.fleet.ledger(), near)
        });
        let mut first = BTreeMap::new();
        let requests = ledger.entries.iter();
        for entry in requests.filter(|e| e.request.0.starts_with("q-")) {
            first.entry(&entry.request).or_insert(entry.shard);
        }
        let distant = first.values().filter(|s| !near.contains(s)).count();
        assert_eq!((first.len(), distant), (100, 0), "seed {seed}");
    }
}
