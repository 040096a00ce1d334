//! Guards cold capacity while instances tell each other which upstreams are warm, and the
//! time in which a restarted instance answers again.

#![allow(clippy::print_stdout, reason = "runs print their figures")]

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

/// Restarts all instances but one at the same moment. Returns the time until each of them
/// gave a complete answer.
fn restart_time(seed: u64, told: bool) -> (Duration, u32) {
    support::run(seed, move |rt| async move {
        let tier = Tier::start(&rt, INSTANCES);
        tier.warm_up().await;
        if !told {
            tier.forget();
        }
        let restarted = rt.now();
        let first = |index| {
            let tier = tier.clone();
            async move {
                while !tier.full(index, millis(280)).await {
                    tier.rt.sleep(GAP).await;
                }
            }
        };
        for index in 1..INSTANCES {
            tier.restart(index);
            // Decides whether requests are forwarded to another instance meanwhile.
            let unknown = tier.engine(index).has_unknown_shard("search");
            assert_eq!(unknown, !told, "seed {seed}");
        }
        future::join_all((1..INSTANCES).map(first)).await;
        (rt.now().since(restarted), tier.fleet.ledger().overrun)
    })
}

/// Guards against restarted instances that put their services back into cold start, which
/// took until each of them held a dispatch lease for a replica of each shard.
#[test]
fn restarted_instances_answer_at_once() {
    for told in [false, true] {
        let mut times = Vec::new();
        for seed in 0..100 {
            let (time, overrun) = restart_time(seed, told);
            assert_eq!(overrun, 0, "seed {seed}: cold capacity exceeded");
            assert!(!told || time < millis(300), "seed {seed}: {time:?}");
            times.push(time);
        }
        times.sort_unstable();
        println!("told {told}: median {:?}, worst {:?}", times[50], times[99]);
    }
}

/// One random fault each 150 to 350 ms: upstreams restart without warning or lose their
/// connections, instances restart, pause and resume, news between instances are lost.
async fn disturb(tier: Tier, faults: u32) {
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
            _ => tier.lose(below(60) as u64),
        }
        tier.rt.sleep(millis(150 + below(200) as u64)).await;
    }
    tier.resume_all();
}

/// Guards against load for a warm process that reaches its restarted, cold successor: from
/// instances that have it warm, that were told so, that were paused meanwhile, or that
/// missed the news.
#[test]
fn cold_capacity_holds_while_instances_and_upstreams_restart() {
    let (mut answered, mut refused) = (0, 0);
    for seed in 0..100 {
        let (calls, overrun) = support::run(seed, |rt| async move {
            let tier = Tier::start(&rt, INSTANCES);
            tier.warm_up().await;
            rt.spawn(disturb(tier.clone(), 16));
            let calls = tier.drive(300, GAP, millis(400)).await;
            (calls, tier.fleet.ledger().overrun)
        });
        assert_eq!(overrun, 0, "seed {seed}: cold capacity exceeded");
        answered += calls.0;
        refused += calls.1;
    }
    println!("{answered} full answers, {refused} other results");
    assert!(answered > refused, "the runs show little");
}

/// Guards against a failure domain that returns under its old processes and is taken for
/// warm by an instance that ran all the time, or by one that starts after its return.
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
            assert!(!tier.inside(1).iter().any(warm), "seed {seed}");
            rt.sleep(SECOND).await;
            tier.restart(0);
            for name in tier.inside(1) {
                let view = tier.engine(0).health(&name).unwrap();
                assert!(view.cold, "seed {seed}: {name}");
            }
        });
    }
}
