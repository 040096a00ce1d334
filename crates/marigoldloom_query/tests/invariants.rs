//! Tests the invariants that hold in every run, whichever faults occur.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::fake_fleet::{self, Mode};

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(15);

/// Maximum delay between a repartition and its publication, in milliseconds.
const MAX_LAG_MS: u64 = 300;

/// Guards against shards that are not queried or are dropped from the answer.
#[test]
fn query_covers_all_shards() {
    for seed in 0..20 {
        let calls = support::run(seed, |rt| async move {
            let plan = fake_fleet::Plan::default();
            let world = support::World::new(&rt, plan, engine::Settings::default());
            world.warm_up().await;
            world.drive("q", 50, GAP, SECOND).await
        });
        for call in calls {
            let answer = call.result.expect("a healthy fleet answers");
            assert!(
                answer.coverage.is_full(),
                "seed {seed}: {:?}",
                answer.coverage
            );
            assert_eq!(answer.results.len(), 8);
        }
    }
}

/// Injects a random fault every 100 ms for 2 s. Faults may repeat and overlap.
async fn inject_random_faults(world: support::World) {
    let names = world.fleet.names();
    for _ in 0..20 {
        let below = |n| runtime::random_below(&world.rt, n);
        let name = &names[below(names.len() as u64) as usize];
        match below(8) {
            0 => world.fleet.slow_down(name, 10.0),
            1 => world.fleet.set_mode(name, Mode::Silent),
            2 => world.fleet.set_mode(name, Mode::Down),
            3 => world.fleet.set_mode(name, Mode::Draining),
            4 => world
                .fleet
                .crash(name, Duration::from_millis(200 + below(800))),
            5 => {
                world.fleet.repartition();
                world
                    .rt
                    .sleep(Duration::from_millis(below(MAX_LAG_MS)))
                    .await;
                world.publish([]);
            }
            _ => {
                world.fleet.set_mode(name, Mode::Up);
                world.fleet.slow_down(name, 1.0);
            }
        }
        world.rt.sleep(Duration::from_millis(100)).await;
    }
}

struct Run {
    calls: Vec<support::Call>,
    ledger: fake_fleet::Ledger,
    spent: marigoldloom_limits::budget::Attempts,
}

fn faulty_run(seed: u64) -> Run {
    support::run(seed, move |rt| async move {
        let plan = fake_fleet::Plan {
            shards: 6,
            crossed_permille: 5,
            false_reports: seed.is_multiple_of(3),
            ..fake_fleet::Plan::default()
        };
        let world = support::World::new(&rt, plan, engine::Settings::default());
        if seed.is_multiple_of(2) {
            world.drive("start", 150, GAP, SECOND).await;
        }
        rt.spawn(inject_random_faults(world.clone()));
        let calls = world.drive("q", 120, GAP, Duration::from_millis(400)).await;
        Run {
            calls,
            ledger: world.fleet.ledger(),
            spent: world.engine.attempt_counts(&Arc::from("search")),
        }
    })
}

/// Checks, over 200 seeds of random faults:
/// - each query is pinned to a snapshot; otherwise parts of two epochs are merged;
/// - coverage is computed from the parts received and matches the fleet's ledger;
/// - attempts that may have run are counted; otherwise a refusal wrongly says "not run";
/// - the cold-start ramp and the capacity kept for abandoned subqueries hold; otherwise a cold
///   upstream runs more requests than its cold slots;
/// - the token buckets limit hedges to 5% and extra load to 10%.
#[test]
fn invariants_hold_under_random_faults() {
    let mut answered = 0;
    let mut refused = 0;
    for seed in 0..200 {
        let run = faulty_run(seed);
        for call in &run.calls {
            assert_eq!(support::wrong_parts(call), 0, "seed {seed}: {call:?}");
            assert!(
                support::coverage_matches_ledger(call, &run.ledger),
                "seed {seed}: {call:?}"
            );
            assert!(
                support::not_run_matches_ledger(call, &run.ledger),
                "seed {seed}: {call:?}"
            );
            match call.result {
                Ok(_) => answered += 1,
                Err(_) => refused += 1,
            }
        }
        assert_eq!(
            run.ledger.cold_excess, 0,
            "seed {seed}: cold capacity exceeded"
        );
        let spent = run.spent;
        assert!(spent.hedges * 20 <= spent.first, "seed {seed}: {spent:?}");
        let extra = spent.hedges + spent.retries;
        assert!(extra * 10 <= spent.first, "seed {seed}: {spent:?}");
        let distinct: BTreeMap<_, u64> =
            run.ledger
                .entries
                .iter()
                .fold(BTreeMap::new(), |mut counts, e| {
                    *counts.entry((&e.request, e.shard)).or_default() += 1;
                    counts
                });
        let extra = (run.ledger.entries.len() - distinct.len()) as u64;
        assert!(
            extra * 10 <= spent.first,
            "seed {seed}: {extra} extra, {spent:?}"
        );
    }
    println!("answered {answered}, refused {refused}");
    assert!(
        answered > refused * 4,
        "answered {answered}, refused {refused}: too few answers"
    );
}
