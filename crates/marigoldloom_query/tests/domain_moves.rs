//! Tests moves out of failure domains and back at short notice, with several instances that learn
//! of each move at different times.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::time::Duration;

use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::fake_fleet::{self, Mode};
use support::tier::Tier;

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_millis(400);
const INSTANCES: usize = 4;

/// Time after which a domain that is out receives no new subqueries.
const MAX_MOVE_TIME: Duration = Duration::from_secs(3);

/// Maximum delay until an instance applies a configuration change, in milliseconds. The rest of
/// [`MAX_MOVE_TIME`] is for subqueries sent before.
const MAX_APPLY_DELAY_MS: u64 = 2_500;

/// With a median service time of 40 ms the load uses 26 of the 36 slots that are left when one of
/// three domains is out; with 20 ms it uses 13 of the 18 slots of a single domain.
fn plan(median_ms: u64) -> fake_fleet::Plan {
    fake_fleet::Plan {
        shards: 6,
        replicas: 3,
        median: Duration::from_millis(median_ms),
        ..fake_fleet::Plan::default()
    }
}

/// Sends requests for `duration` in the background.
fn spawn_load(tier: &Tier, duration: Duration) {
    let (tier, count) = (tier.clone(), duration.as_millis() / GAP.as_millis());
    tier.rt.clone().spawn(async move {
        tier.drive(count as usize, GAP, TIMEOUT).await;
    });
}

/// Counts the subqueries that reached the domain between two times.
fn subqueries_between(tier: &Tier, domain: u32, since: Timestamp, until: Timestamp) -> usize {
    let inside = tier.upstreams_in(domain);
    let ledger = tier.fleet.ledger();
    let entries = ledger.entries.iter();
    let between = entries.filter(|e| e.at > since && e.at < until);
    between.filter(|e| inside.contains(&e.upstream)).count()
}

/// Restarts all upstreams of a domain, so that they are cold when the domain returns.
fn restart_upstreams(tier: &Tier, domain: u32) {
    for name in tier.upstreams_in(domain) {
        tier.fleet.crash(&name, Duration::ZERO);
    }
}

/// Guards against new subqueries in a domain that is out, running ones that are cut off, overload
/// of the remaining domains, and load on a returning domain beyond its cold capacity.
#[test]
fn domain_leaves_and_returns_under_load() {
    let (mut full, mut other, mut peak) = (0, 0, 0);
    for seed in 0..40 {
        let (calls, ledger) = support::run(seed, move |rt| async move {
            let tier = Tier::with_plan(&rt, INSTANCES, plan(40));
            tier.warm_up().await;
            tier.fleet.reset_peak();
            tier.set_domain_within(1, true, MAX_APPLY_DELAY_MS);
            let out = rt.now();
            let calls = tier.drive(500, GAP, TIMEOUT).await;
            let inside = tier.upstreams_in(1);
            assert_eq!(
                subqueries_between(&tier, 1, out + MAX_MOVE_TIME, rt.now()),
                0,
                "seed {seed}"
            );
            let ledger = tier.fleet.ledger();
            let cut = |e: &&fake_fleet::Entry| {
                inside.contains(&e.upstream) && e.at > out && e.ran && !e.answered
            };
            // Hedged subqueries are cancelled when the other attempt succeeds first.
            let cut = ledger.entries.iter().filter(cut).count();
            let sent = subqueries_between(&tier, 1, out, rt.now());
            assert!(cut * 10 <= sent, "seed {seed}: {cut} of {sent} cut off");
            restart_upstreams(&tier, 1);
            tier.set_domain_within(1, false, MAX_APPLY_DELAY_MS);
            let back = rt.now();
            tier.drive(600, GAP, TIMEOUT).await;
            let used = subqueries_between(&tier, 1, back, rt.now());
            assert!(used > 0, "seed {seed}: the returned domain gets no work");
            (calls, tier.fleet.ledger())
        });
        assert_eq!(ledger.cold_excess, 0, "seed {seed}: cold capacity exceeded");
        full += calls.0;
        other += calls.1;
        peak = peak.max(ledger.peak_requests);
    }
    println!("{full} full answers, {other} others, at most {peak} subqueries at one upstream");
    assert!(
        other * 100 <= full,
        "{other} others while the domain was out"
    );
    // 3 slots; the queue that the instances cause beyond them must stay short.
    assert!(peak <= 3 * 3, "{peak} subqueries at one upstream");
}

/// Guards against moves applied in the wrong order: domains leave and return at short notice, and
/// each instance learns of each move after its own delay.
#[test]
fn several_moves_at_short_notice() {
    let mut answered = 0;
    for seed in 0..50 {
        let (full, cold_excess) = support::run(seed, move |rt| async move {
            let tier = Tier::with_plan(&rt, INSTANCES, plan(20));
            tier.warm_up().await;
            let below = |n| runtime::random_below(&rt, n);
            spawn_load(&tier, SECOND * 8);
            for _ in 0..8 {
                let domain = below(2) as u32;
                match tier.is_out(domain) {
                    true => {
                        restart_upstreams(&tier, domain);
                        tier.set_domain_within(domain, false, 500);
                    }
                    false => tier.set_domain_within(domain, true, 500),
                }
                rt.sleep(Duration::from_millis(below(1_000))).await;
            }
            for domain in 0..2 {
                tier.set_domain_within(domain, true, 500);
            }
            let out = rt.now();
            rt.sleep(MAX_MOVE_TIME + SECOND).await;
            let late = (0..2).map(|d| subqueries_between(&tier, d, out + MAX_MOVE_TIME, rt.now()));
            assert_eq!(late.sum::<usize>(), 0, "seed {seed}");
            let (full, _) = tier.drive(50, GAP, TIMEOUT).await;
            (full, tier.fleet.ledger().cold_excess)
        });
        assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
        answered += full;
    }
    println!("{answered} of 2500 full answers from the domain that is left");
    assert!(answered > 2_250, "{answered} full answers");
}

/// Tests a move out of one domain while another is unreachable: the third carries the load, and the
/// unreachable domain is used again after it is reachable.
#[test]
fn domain_leaves_while_another_is_cut_off() {
    let mut answered = 0;
    for seed in 0..30 {
        let (full, cold_excess) = support::run(seed, move |rt| async move {
            let tier = Tier::with_plan(&rt, INSTANCES, plan(20));
            tier.warm_up().await;
            for name in tier.upstreams_in(2) {
                tier.fleet.set_mode(&name, Mode::Down);
            }
            spawn_load(&tier, SECOND * 3);
            rt.sleep(SECOND).await;
            tier.set_domain_within(1, true, MAX_APPLY_DELAY_MS);
            let out = rt.now();
            rt.sleep(MAX_MOVE_TIME).await;
            let (full, _) = tier.drive(100, GAP, TIMEOUT).await;
            assert_eq!(
                subqueries_between(&tier, 1, out + MAX_MOVE_TIME, rt.now()),
                0,
                "seed {seed}"
            );
            for name in tier.upstreams_in(2) {
                tier.fleet.set_mode(&name, Mode::Up);
            }
            let reconnected = rt.now();
            // Ejected upstreams are probed after at most 30 s.
            tier.drive(800, GAP * 4, TIMEOUT).await;
            assert!(
                subqueries_between(&tier, 2, reconnected, rt.now()) > 0,
                "seed {seed}"
            );
            (full, tier.fleet.ledger().cold_excess)
        });
        assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
        answered += full;
    }
    println!("{answered} of 3000 full answers from the domain that is left");
    assert!(answered > 2_700, "{answered} full answers");
}

/// Tests a platform outage in the middle of a move: one instance learned of the move from the
/// platform, the others learn of it only from that instance.
#[test]
fn platform_down_in_the_middle_of_a_move() {
    for seed in 0..60 {
        let cold_excess = support::run(seed, move |rt| async move {
            let tier = Tier::with_plan(&rt, INSTANCES, plan(20));
            tier.warm_up().await;
            spawn_load(&tier, SECOND * 7);
            tier.apply_domain(0, 1, true);
            let out = rt.now();
            // An instance that restarts during the outage receives the newest state from its peers.
            tier.restart(1);
            tier.set_domain_within(1, true, MAX_APPLY_DELAY_MS);
            rt.sleep(MAX_MOVE_TIME + SECOND).await;
            assert_eq!(
                subqueries_between(&tier, 1, out + MAX_MOVE_TIME, rt.now()),
                0,
                "seed {seed}"
            );
            restart_upstreams(&tier, 1);
            tier.set_domain_within(1, false, MAX_APPLY_DELAY_MS);
            rt.sleep(MAX_MOVE_TIME + SECOND).await;
            tier.fleet.ledger().cold_excess
        });
        assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
    }
}

/// Guards against overload of the remaining domains when one leaves under full load. An instance
/// may send up to twice the 3 slots of a replica in its own domain, and once in another.
#[test]
fn remaining_domains_are_not_overloaded() {
    let mut peak = 0;
    for seed in 0..10 {
        peak = peak.max(support::run(seed, move |rt| async move {
            let tier = Tier::with_plan(&rt, INSTANCES, plan(80));
            tier.warm_up().await;
            tier.set_domain_within(1, true, MAX_APPLY_DELAY_MS);
            rt.sleep(MAX_MOVE_TIME).await;
            tier.fleet.reset_peak();
            tier.drive(1_000, GAP / 4, TIMEOUT).await;
            tier.fleet.ledger().peak_requests
        }));
    }
    println!("at most {peak} subqueries at one upstream");
    // Two of the four instances are in one domain.
    assert!(peak <= 2 * 6 + 2 * 3, "{peak} subqueries at one upstream");
}
