//! Guards what must hold in every run, whatever fails.

#![allow(clippy::print_stdout, reason = "runs print their figures")]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::fake_fleet::{self, Mode};

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(15);

/// Most time by which the configuration lags behind a fault.
const LAG_MS: u64 = 300;

/// Guards against shards that are asked on no replica or dropped from the answer.
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

/// Injects one random fault each 100 ms for 2 s, any of them twice or together.
async fn break_randomly(world: support::World) {
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
                world.rt.sleep(Duration::from_millis(below(LAG_MS))).await;
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
    spent: marigoldloom_limits::budget::Spent,
}

fn faulty_run(seed: u64) -> Run {
    support::run(seed, move |rt| async move {
        let plan = fake_fleet::Plan {
            shards: 6,
            crossed: 5,
            lies: seed.is_multiple_of(3),
            ..fake_fleet::Plan::default()
        };
        let world = support::World::new(&rt, plan, engine::Settings::default());
        if seed.is_multiple_of(2) {
            world.drive("start", 150, GAP, SECOND).await;
        }
        rt.spawn(break_randomly(world.clone()));
        let calls = world.drive("q", 120, GAP, Duration::from_millis(400)).await;
        Run {
            calls,
            ledger: world.fleet.ledger(),
            spent: world.engine.attempt_counts(&Arc::from("search")),
        }
    })
}

/// Guards, over 200 seeds of random faults:
/// - the snapshot pinned per query: without it parts of two epochs are merged;
/// - coverage taken from the parts received: it must match the fleet's ledger;
/// - the count of attempts that may have run: without it a refusal says "not run" falsely;
/// - the cold-start ramp and the places kept for abandoned subqueries: without them a cold
///   upstream runs more than its cold slots;
/// - the token buckets: without them faults cause more than 5% hedges or 10% extra load.
#[test]
fn invariants_hold_under_random_faults() {
    let mut answered = 0;
    let mut refused = 0;
    for seed in 0..200 {
        let run = faulty_run(seed);
        for call in &run.calls {
            assert_eq!(support::wrong_parts(call), 0, "seed {seed}: {call:?}");
            assert!(
                support::coverage_true(call, &run.ledger),
                "seed {seed}: {call:?}"
            );
            assert!(
                support::not_run_true(call, &run.ledger),
                "seed {seed}: {call:?}"
            );
            match call.result {
                Ok(_) => answered += 1,
                Err(_) => refused += 1,
            }
        }
        assert_eq!(run.ledger.overrun, 0, "seed {seed}: cold capacity exceeded");
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
        "answered {answered}, refused {refused}: the runs show little"
    );
}
