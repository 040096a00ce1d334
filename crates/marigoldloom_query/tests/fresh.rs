//! Guards an instance that has just started against upstreams that are lost before its own
//! requests have earned a budget for retries.

mod support;

use std::time::Duration;

use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::fake_fleet::Mode;
use support::tier::Tier;

const SEEDS: u64 = 50;
const GAP: Duration = Duration::from_millis(15);
const TIMEOUT: Duration = Duration::from_secs(1);
const REQUESTS: usize = 20;

/// How an upstream is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It refuses connections.
    Down,
    /// It crashes while it runs requests and stays away.
    Crash,
}

/// Answers that lack shards, of an instance that restarts right before an upstream is lost.
fn incomplete(seed: u64, loss: Loss) -> usize {
    support::run(seed, move |rt| async move {
        let tier = Tier::start(&rt, 2);
        tier.warm_up().await;
        tier.restart(1);
        let mut incomplete = 0;
        for number in 0..REQUESTS {
            if number == 1 {
                let (fleet, clock) = (tier.fleet.clone(), rt.clone());
                rt.spawn(async move {
                    clock.sleep(Duration::from_millis(5)).await;
                    match loss {
                        Loss::Down => fleet.set_mode("search-000-0", Mode::Down),
                        Loss::Crash => fleet.crash("search-000-0", TIMEOUT * 10),
                    }
                });
            }
            if !tier.full(1, TIMEOUT).await {
                incomplete += 1;
            }
            rt.sleep(GAP).await;
        }
        incomplete
    })
}

/// Guards against a retry that waits for a budget which nothing earns: the shard's other
/// replica is ready, and an attempt that was never sent is no load on anyone.
#[test]
fn lost_replica_costs_a_new_instance_no_coverage() {
    for loss in [Loss::Down, Loss::Crash] {
        let failed = (0..SEEDS).map(|seed| (seed, incomplete(seed, loss)));
        let failed: Vec<_> = failed.filter(|(_, count)| *count > 0).collect();
        assert!(failed.is_empty(), "{loss:?}: seed and answers: {failed:?}");
    }
}
