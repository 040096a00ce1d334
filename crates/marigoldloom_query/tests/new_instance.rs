//! Tests an instance that loses an upstream right after its start, before its requests have
//! earned retry budget.

mod support;

use std::time::Duration;

use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::fake_fleet::Mode;
use support::tier::Tier;

const SEEDS: u64 = 50;
const GAP: Duration = Duration::from_millis(15);
const TIMEOUT: Duration = Duration::from_secs(1);
const REQUESTS: usize = 20;

/// How an upstream becomes unavailable.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The upstream refuses connections.
    Down,
    /// The upstream crashes while it runs requests and doesn't restart during the test.
    Crash,
}

/// Counts the incomplete answers of an instance that restarts right before an upstream is lost.
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
            if !tier.answers_in_full(1, TIMEOUT).await {
                incomplete += 1;
            }
            rt.sleep(GAP).await;
        }
        incomplete
    })
}

/// Guards against a retry that waits for budget although the shard's other replica is ready. A new
/// instance hasn't earned any budget, and an attempt that was never sent caused no load.
#[test]
fn lost_replica_costs_a_new_instance_no_coverage() {
    for loss in [Loss::Down, Loss::Crash] {
        let failed = (0..SEEDS).map(|seed| (seed, incomplete(seed, loss)));
        let failed: Vec<_> = failed.filter(|(_, count)| *count > 0).collect();
        assert!(failed.is_empty(), "{loss:?}: seed and answers: {failed:?}");
    }
}
