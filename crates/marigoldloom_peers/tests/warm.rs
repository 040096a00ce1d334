//! Tests that entries about warm upstreams reach only the home set and stay within the limit on
//! control traffic.
#![allow(clippy::print_stdout)] // Prints the figures that docs/cold-start.md states.

mod fleet;

use std::sync::Arc;

use fleet::{Fleet, secs};
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

/// Number of instances in the home set.
const HOME_SIZE: usize = 13;

/// Number of upstreams of the service. The target is 5,300 upstreams in 100 services.
const UPSTREAM_COUNT: usize = 53;

fn home_set(fleet: &Fleet) -> Vec<Arc<str>> {
    let home = fleet.instances[..HOME_SIZE].iter();
    home.map(|i| Arc::clone(&i.identity.name)).collect()
}

fn publish_warm(fleet: &Fleet, from: usize, stamp: u64) {
    for number in 0..UPSTREAM_COUNT {
        fleet.instances[from].peers.exchange().publish(Entry {
            space: Space::Warm,
            name: Arc::from(format!("search/u{number}")),
            stamp,
            value: Some(Arc::from("12345678901234567890")),
            expires: None,
        });
    }
}

fn entry_count(fleet: &Fleet, index: usize) -> usize {
    let exchange = fleet.instances[index].peers.exchange();
    exchange.scan(Space::Warm, "search/").len()
}

/// Guards against entries that reach instances outside the home set, that a home instance misses
/// because a message was lost, or that a restarted home instance can't fetch.
#[test]
fn warm_entries_reach_only_the_home_set() {
    for seed in 0..20 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let mut fleet = Fleet::start(&rt, HOME_SIZE + 3, 3).await;
            let home = home_set(&fleet);
            for instance in &fleet.instances {
                let exchange = instance.peers.exchange();
                exchange.set_recipients(Space::Warm, "search/", home.clone());
            }
            fleet.set_loss(10);
            publish_warm(&fleet, 0, 1);
            let reached = |f: &Fleet| (0..HOME_SIZE).all(|i| entry_count(f, i) == UPSTREAM_COUNT);
            let time = fleet.wait(secs(20), reached).await;
            assert!(time.is_some(), "seed {seed}");
            fleet.set_loss(0);
            assert!(
                (HOME_SIZE..HOME_SIZE + 3).all(|i| entry_count(&fleet, i) == 0),
                "seed {seed}"
            );
            fleet.kill(1, false);
            fleet.restart(1);
            rt.sleep(secs(3)).await;
            let exchange = fleet.instances[1].peers.exchange();
            exchange.fetch(Space::Warm, &home[2]).await.unwrap();
            assert_eq!(entry_count(&fleet, 1), UPSTREAM_COUNT, "seed {seed}");
        });
    }
}

/// Guards against more than 9 KB/s of control traffic at an instance whose failure domain has
/// recovered, and which publishes all upstreams of a service to the home set every 10 s.
#[test]
fn warm_entries_stay_within_the_traffic_limit() {
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = Fleet::start(&rt, 32, 6).await;
        let names = home_set(&fleet);
        let exchange = fleet.instances[0].peers.exchange();
        exchange.set_recipients(Space::Warm, "search/", names);
        rt.sleep(secs(5)).await;
        fleet.take_bytes();
        for stamp in 1..=4 {
            publish_warm(&fleet, 0, stamp);
            rt.sleep(secs(10)).await;
        }
        let greatest = fleet.take_bytes().into_iter().max().unwrap_or(0) / 40;
        println!("greatest {greatest} B/s");
        assert!(greatest <= 9_000, "{greatest} B/s");
    });
}
