//! Tests that instances that report warm upstreams to each other keep to the cold capacity, and
//! how soon a restarted instance answers again.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use marigoldloom_runtime::runtime::{self, Runtime};
use support::tier::Tier;

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(15);
const INSTANCES: usize = 4;

const fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Restarts all instances but one at the same moment. Returns the time until each of them has
/// given a complete answer, and the ledger's `cold_excess`.
fn restart_time(seed: u64, informed: bool) -> (Duration, u32) {
    support::run(seed, move |rt| async move {
        let tier = Tier::start(&rt, INSTANCES);
        tier.warm_up().await;
        if !informed {
            tier.clear_warm_reports();
        }
        let restarted = rt.now();
        let first = |index| {
            let tier = tier.clone();
            async move {
                while !tier.answers_in_full(index, millis(280)).await {
                    tier.rt.sleep(GAP).await;
                }
            }
        };
        for index in 1..INSTANCES {
            tier.restart(index);
            // Until then, an instance with an unknown shard forwards requests to another one.
            let unknown = tier.engine(index).has_unknown_shard("search");
            assert_eq!(unknown, !informed, "seed {seed}");
        }
        future::join_all((1..INSTANCES).map(first)).await;
        (rt.now().since(restarted), tier.fleet.ledger().cold_excess)
    })
}

/// Guards against restarted instances that treat all upstreams as cold. They could only answer
/// once each of them held a dispatch lease for a replica of each shard.
#[test]
fn restarted_instances_answer_at_once() {
    for informed in [false, true] {
        let mut times = Vec::new();
        for seed in 0..100 {
            let (time, cold_excess) = restart_time(seed, informed);
            assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
            assert!(!informed || time < millis(300), "seed {seed}: {time:?}");
            times.push(time);
        }
        times.sort_unstable();
        println!(
            "informed {informed}: median {:?}, worst {:?}",
            times[50], times[99]
        );
    }
}

/// Injects a random fault every 150 to 350 ms: upstreams restart without warning or lose their
/// connections, instances restart, pause and resume, messages between instances are lost.
async fn inject_random_faults(tier: Tier, faults: u32) {
    let below = |n: usize| runtime::random_below(&tier.rt, n as u64) as usize;
    let names = tier.fleet.names();
    for _ in 0..faults {
        let name = &names[below(names.len())];
        let index = below(INSTANCES);
        match below(7) {
            0 | 1 => tier.fleet.crash(name, millis(below(300) as u64)),
            2 => tier.restart(index),
            3 => tier.pause(index),
            4 | 5 => tier.resume_all(),
            _ => tier.set_message_loss(below(60) as u64),
        }
        tier.rt.sleep(millis(150 + below(200) as u64)).await;
    }
    tier.resume_all();
}

/// Guards against load meant for a warm process that reaches its cold successor after a restart.
/// The sender may have seen the process warm itself, know it from a report, have been paused, or
/// have missed a message.
#[test]
fn cold_capacity_holds_while_instances_and_upstreams_restart() {
    let (mut answered, mut refused) = (0, 0);
    for seed in 0..100 {
        let (calls, cold_excess) = support::run(seed, |rt| async move {
            let tier = Tier::start(&rt, INSTANCES);
            tier.warm_up().await;
            rt.spawn(inject_random_faults(tier.clone(), 16));
            let calls = tier.drive(300, GAP, millis(400)).await;
            (calls, tier.fleet.ledger().cold_excess)
        });
        assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
        answered += calls.0;
        refused += calls.1;
    }
    println!("{answered} full answers, {refused} other results");
    assert!(answered > refused, "too few full answers");
}

/// Guards against a failure domain that returns with its old processes and is treated as warm, by
/// an instance that ran the whole time or by one that starts after its return.
#[test]
fn returned_domain_is_cold_for_a_new_instance_too() {
    for seed in 0..50 {
        support::run(seed, move |rt| async move {
            let tier = Tier::start(&rt, INSTANCES);
            tier.warm_up().await;
            tier.set_domain(1, true);
            rt.sleep(SECOND * 3).await;
            tier.set_domain(1, false);
            let warm = |name: &Arc<str>| !tier.engine(1).health(name).unwrap().cold;
            assert!(!tier.upstreams_in(1).iter().any(warm), "seed {seed}");
            rt.sleep(SECOND).await;
            tier.restart(0);
            for name in tier.upstreams_in(1) {
                let view = tier.engine(0).health(&name).unwrap();
                assert!(view.cold, "seed {seed}: {name}");
            }
        });
    }
}
