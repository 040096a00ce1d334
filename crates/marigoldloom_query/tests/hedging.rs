//! Tests the delay after which hedges are sent.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_testkit::fake_fleet;

/// Guards against late hedges in the 10 to 20 s after a cold start, which occur if the slow
/// replies of the cold start count towards the latency quantile used as hedge delay.
#[test]
fn cold_start_does_not_delay_hedges() {
    for seed in 0..5 {
        let (hedges, first) = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan {
                shards: 20,
                ..fake_fleet::Plan::default()
            };
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            let before = world.engine.attempt_counts(&Arc::from("search"));
            let gap = Duration::from_millis(20);
            world.drive("q", 200, gap, Duration::from_secs(1)).await;
            let after = world.engine.attempt_counts(&Arc::from("search"));
            (after.hedges - before.hedges, after.first - before.first)
        });
        println!("seed {seed}: {hedges} hedges, {first} first attempts");
        assert!(
            hedges * 100 >= first * 3,
            "seed {seed}: {hedges} of {first}"
        );
    }
}
