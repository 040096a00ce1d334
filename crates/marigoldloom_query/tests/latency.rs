//! Tests the tail latency at the target fan-out with slow and lost replicas.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_testkit::fake_fleet::{self, Mode};

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(25);

fn plan() -> fake_fleet::Plan {
    fake_fleet::Plan {
        shards: 53,
        ..fake_fleet::Plan::default()
    }
}

/// Makes 1% of the replicas 10 times slower and, for 5% of the shards, one replica silent.
fn inject_faults(world: &support::World) {
    world.fleet.slow_down("search-005-0", 10.0);
    for lost in ["search-010-0", "search-020-0", "search-030-1"] {
        world.fleet.set_mode(lost, Mode::Silent);
    }
}

struct Measured {
    calls: Vec<support::Call>,
    naive: Vec<support::Call>,
}

fn measure(seed: u64, canary: engine::CanaryPolicy) -> Measured {
    support::run(seed, move |rt| async move {
        let settings = engine::Settings {
            canary,
            ..engine::Settings::default()
        };
        let world = support::World::new(&rt, plan(), settings);
        world.warm_up().await;
        inject_faults(&world);
        let calls = world.drive("q", 400, GAP, SECOND).await;
        let naive = world.drive_naive(400, GAP, SECOND).await;
        Measured { calls, naive }
    })
}

/// Guards hedging, replica selection and ejection. Without them the p99 is that of the slowest or
/// lost replica.
#[test]
fn stragglers_and_lost_replicas_keep_p99() {
    for canary in [
        engine::CanaryPolicy::Always,
        engine::CanaryPolicy::AfterCrash,
    ] {
        let mut calls = Vec::new();
        let mut naive = Vec::new();
        for seed in 0..5 {
            let measured = measure(seed, canary);
            calls.extend(measured.calls);
            naive.extend(measured.naive);
        }
        let (p50, p99) = (
            support::percentile(&calls, 50),
            support::percentile(&calls, 99),
        );
        let (n50, n99) = (
            support::percentile(&naive, 50),
            support::percentile(&naive, 99),
        );
        println!("{canary:?}: p50 {p50:?} p99 {p99:?}; naive p50 {n50:?} p99 {n99:?}");
        let full = |c: &&support::Call| c.result.as_ref().is_ok_and(|a| a.coverage.is_full());
        println!(
            "full {} of {}",
            calls.iter().filter(full).count(),
            calls.len()
        );
        assert!(p99 <= Duration::from_millis(280), "p99 {p99:?}");
        assert!(p99 * 2 <= n99, "p99 {p99:?}, naive {n99:?}");
    }
}
