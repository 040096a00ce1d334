//! Tests queries while the upstreams use a newer shard map than the configuration.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_routing::topology::Topology;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::fake_fleet;

const COUNT: u32 = 100;

/// Guards against queries that ask every shard for a snapshot that is gone. That spends the budget
/// needed to run again on the newer snapshot, and the query ends without an answer. The few
/// queries that run during the change may miss shards.
#[test]
fn queries_wait_for_the_new_shard_map() {
    for seed in 0..10 {
        let (calls, spent) = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan {
                shards: 20,
                ..fake_fleet::Plan::default()
            };
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            let before = world.engine.attempt_counts(&Arc::from("search"));
            let moving = world.clone();
            rt.spawn(async move {
                moving.rt.sleep(Duration::from_millis(500)).await;
                moving.fleet.repartition();
                moving.rt.sleep(Duration::from_millis(400)).await;
                moving.publish([]);
            });
            let gap = Duration::from_millis(15);
            let calls = world.drive("q", COUNT, gap, Duration::from_secs(1)).await;
            let after = world.engine.attempt_counts(&Arc::from("search"));
            (calls, after.retries - before.retries)
        });
        let full = calls.iter().filter(|c| c.is_full()).count();
        println!("seed {seed}: {full} of {COUNT} full, {spent} retries");
        assert!(
            full >= 93,
            "seed {seed}: {full} of {COUNT} answered in full"
        );
        assert!(calls.iter().all(|c| c.result.is_ok()), "seed {seed}");
    }
}

/// Guards against queries that ran and are refused as not run because their service is gone when they
/// are run again.
#[test]
fn queries_whose_service_is_removed_are_not_refused_as_not_run() {
    for seed in 0..10 {
        let (wrong, refused) = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan {
                shards: 20,
                ..fake_fleet::Plan::default()
            };
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            let moving = world.clone();
            rt.spawn(async move {
                moving.rt.sleep(Duration::from_millis(500)).await;
                moving.fleet.repartition();
                let empty = Topology::new(Arc::from("d0"), BTreeMap::new());
                moving.engine.apply(Arc::new(empty));
            });
            let gap = Duration::from_millis(5);
            let calls = world.drive("q", COUNT, gap, Duration::from_secs(1)).await;
            let ledger = world.fleet.ledger();
            let wrong = |call: &&support::Call| !support::not_run_matches_ledger(call, &ledger);
            let refused = calls.iter().filter(|c| c.result.is_err()).count();
            (calls.iter().filter(wrong).count(), refused)
        });
        println!("seed {seed}: {refused} refused, {wrong} of them ran");
        assert_eq!(wrong, 0, "seed {seed}");
    }
}
